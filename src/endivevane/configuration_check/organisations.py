"""Rules about organisations and their keys."""

from __future__ import annotations

from collections import abc

from endivevane.configuration_check import entries, findings


def check(
    organisations: abc.Sequence[entries.Organisation],
) -> abc.Iterator[findings.Finding]:
    """Find organisations that can't send what they should."""
    holders: dict[bytes, entries.Organisation] = {}
    for organisation in organisations:
        yield from _check_keys(organisation, holders)
        if organisation.burst and not organisation.rate_per_s:
            yield findings.Finding(
                findings.Rule.BURST_WITHOUT_RATE,
                organisation.find("burst"),
                f"organisation {organisation.name} has a burst of "
                f"{organisation.burst:g} requests and no rate, so that nearly all "
                "others are refused",
            )


def _check_keys(
    organisation: entries.Organisation, holders: dict[bytes, entries.Organisation]
) -> abc.Iterator[findings.Finding]:
    place = organisation.find("keys")
    if not organisation.key_digests:
        yield findings.Finding(
            findings.Rule.ORGANISATION_WITHOUT_KEYS,
            place,
            f"organisation {organisation.name} has no keys, so that nobody can send "
            "requests for it",
        )
    for number, digest in enumerate(organisation.key_digests):
        holder = holders.setdefault(digest, organisation)
        if holder is not organisation:
            yield findings.Finding(
                findings.Rule.KEY_SHARED,
                place,
                f"key {number + 1} of organisation {organisation.name} belongs to "
                f"organisation {holder.name} in line {holder.place.line}",
            )
        elif digest in organisation.key_digests[:number]:
            yield findings.Finding(
                findings.Rule.KEY_REPEATED,
                place,
                f"key {number + 1} of organisation {organisation.name} is listed twice",
            )
