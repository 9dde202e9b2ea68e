"""Differences between two configurations."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections import abc

from endivevane.configuration_check import entries


class Change(enum.StrEnum):
    """How an entry differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One entry, or one field of an entry, that differs.

    :param entry: kind and name, for example ``route quote``
    :param field: the field that changed, empty for a whole entry
    :param before: value of the field in force, ``None`` for a whole entry
    :param after: its value in the file
    """

    change: Change
    entry: str
    field: str = ""
    before: typing.Any = None
    after: typing.Any = None


def compare(
    before: entries.Configuration, after: entries.Configuration
) -> list[Difference]:
    """Return what a configuration changes, without any key of an organisation."""
    found: list[Difference] = []
    found += _compare_named("route", before.routes, after.routes)
    found += _compare_named("service", before.services, after.services)
    found += _compare_named("organisation", before.organisations, after.organisations)
    found += _compare_fields("limits", before.limits, after.limits)
    return found


_Named = entries.Route | entries.Service | entries.Organisation


def _compare_named(
    kind: str, before: abc.Sequence[_Named], after: abc.Sequence[_Named]
) -> abc.Iterator[Difference]:
    former = {entry.name: entry for entry in before}
    for entry in after:
        label = f"{kind} {entry.name}"
        known = former.pop(entry.name, None)
        if known is None:
            yield Difference(Change.ADDED, label)
            continue
        yield from _compare_fields(label, known, entry)
        if isinstance(known, entries.Organisation):
            yield from _compare_keys(label, known, entry)
    for name in former:
        yield Difference(Change.REMOVED, f"{kind} {name}")


def _compare_fields(
    label: str, before: entries.Entry, after: entries.Entry
) -> abc.Iterator[Difference]:
    for field in sorted({*before.written, *after.written}):
        values = before.written.get(field), after.written.get(field)
        if values[0] != values[1]:
            yield Difference(Change.CHANGED, label, field, *values)


def _compare_keys(
    label: str, before: entries.Organisation, after: _Named
) -> abc.Iterator[Difference]:
    """Compare keys, of which only the numbers are shown."""
    if not isinstance(after, entries.Organisation):
        return
    former, current = set(before.key_digests), set(after.key_digests)
    for field, count in (
        ("keys added", len(current - former)),
        ("keys removed", len(former - current)),
    ):
        if count:
            yield Difference(Change.CHANGED, label, field, None, count)
