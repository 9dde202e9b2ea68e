"""Messages by which daemons share the tokens of organisations with quotas.

Times are sent as time left, since daemons share no clock.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
import typing
from collections import abc

from endivevane import json_fields

_ASK_KIND = "quota_ask"
_GRANTS_KIND = "quota_grants"
_PROBE_KIND = "quota_probe"
_WITNESS_KIND = "quota_witness"
KINDS = frozenset((_ASK_KIND, _GRANTS_KIND, _PROBE_KIND, _WITNESS_KIND))
# Above the requests of an organisation that a daemon can hold.
MAX_TOKENS = 100_000
# Above the life of any token.
_MAX_TIME_MS = 86_400_000


class Purpose(enum.IntEnum):
    """Whose requests a daemon asks for: its own, or others' as well.

    A sample is its own too, but it asks another daemon most of the time. What is asked
    for others is not passed on again.
    """

    OWN = 0
    SAMPLE = 1
    OTHERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Remainder:
    """Tokens of a grant that have not been used.

    :param number: the request that they were granted for
    """

    number: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """The tokens of one organisation that a daemon asks for.

    :param waiting: tokens for requests that wait
    :param ahead: tokens for requests that are expected
    :param held: what the sender holds of the recipient's earlier grants; of all others
        before this request it holds nothing
    :param returned: what it gives up of them
    """

    organisation: str
    waiting: int
    ahead: int = 0
    held: tuple[Remainder, ...] = ()
    returned: tuple[Remainder, ...] = ()
    purpose: Purpose = Purpose.OWN


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Request for tokens of some organisations.

    :param number: higher than those of the sender's earlier requests; a repetition has
        the same number
    """

    number: int
    needs: tuple[Need, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens of one organisation, each the right to send one request to a target.

    Without tokens and without a time to come back, the need waits for its answer.

    :param life_s: time after the request for them was first sent at which they are void
    :param retry_after_s: time until another token is likely due
    """

    organisation: str
    count: int
    life_s: float
    retry_after_s: float = 0.0

    @property
    def is_queued(self) -> bool:
        """Whether the need waits for its answer."""
        return not self.count and not self.retry_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrants:
    """Answer to some of the needs of a request."""

    number: int
    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaProbe:
    """Question whether the recipient hears daemons that the sender does not.

    :param missing: these daemons
    """

    number: int
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaWitness:
    """Answer to a probe.

    :param gone_ages_s: for each daemon, the time since which the sender has not heard
        it, ``None`` for one that it hears
    """

    number: int
    gone_ages_s: tuple[float | None, ...]


Message = QuotaAsk | QuotaGrants | QuotaProbe | QuotaWitness


@functools.singledispatch
def encode_fields(message: typing.Any) -> tuple[typing.Any, ...]:
    """Return the fields of a datagram."""
    raise TypeError(f"not a message about quotas: {type(message).__name__}")


@encode_fields.register
def _(message: QuotaAsk) -> tuple[typing.Any, ...]:
    needs = [_encode_need(message.number, need) for need in message.needs]
    return (_ASK_KIND, message.number, needs)


@encode_fields.register
def _(message: QuotaGrants) -> tuple[typing.Any, ...]:
    # Milliseconds are rounded down, so that no token outlives its grant.
    grants = [
        (
            grant.organisation,
            grant.count,
            int(grant.life_s * 1000),
            math.ceil(grant.retry_after_s * 1000),
        )
        for grant in message.grants
    ]
    return (_GRANTS_KIND, message.number, grants)


@encode_fields.register
def _(message: QuotaProbe) -> tuple[typing.Any, ...]:
    return (_PROBE_KIND, message.number, message.missing)


@encode_fields.register
def _(message: QuotaWitness) -> tuple[typing.Any, ...]:
    ages_s = [None if age is None else round(age, 2) for age in message.gone_ages_s]
    return (_WITNESS_KIND, message.number, ages_s)


def decode_fields(kind: str, fields: abc.Sequence[typing.Any]) -> Message:
    """Return the message in the fields of a datagram.

    :raises ValueError: when they are malformed; ``TypeError`` may be raised too
    """
    number, entries = fields
    number = json_fields.read_count(number)
    if kind == _ASK_KIND:
        needs = json_fields.read_list(entries)
        return QuotaAsk(number, tuple(_decode_need(number, *item) for item in needs))
    if kind == _PROBE_KIND:
        return QuotaProbe(number, json_fields.read_texts(entries))
    if kind == _WITNESS_KIND:
        ages_s = json_fields.read_list(entries)
        return QuotaWitness(number, tuple(_decode_gone_age_s(age) for age in ages_s))
    grants = json_fields.read_list(entries)
    return QuotaGrants(number, tuple(_decode_grant(*item) for item in grants))


def _encode_need(number: int, need: Need) -> tuple[typing.Any, ...]:
    """Return the fields of a need, without those at the end that are usually zero."""
    if not (need.ahead or need.held or need.returned or need.purpose):
        return (need.organisation, need.waiting)
    return (
        need.organisation,
        need.waiting,
        need.ahead,
        int(need.purpose),
        _encode_remainders(number, need.held),
        _encode_remainders(number, need.returned),
    )


def _encode_remainders(
    number: int, remainders: abc.Iterable[Remainder]
) -> list[tuple[int, int]]:
    """Return the fields of remainders, with the distance to the present number."""
    return [(number - item.number, item.count) for item in remainders]


def _decode_remainders(number: int, raw: typing.Any) -> tuple[Remainder, ...]:
    return tuple(
        Remainder(
            number - json_fields.read_count(distance),
            json_fields.read_count(count, MAX_TOKENS),
        )
        for distance, count in raw
    )


def _decode_need(
    number: int,
    organisation: typing.Any,
    waiting: typing.Any,
    ahead: typing.Any = 0,
    purpose: typing.Any = Purpose.OWN,
    held: typing.Any = (),
    returned: typing.Any = (),
) -> Need:
    return Need(
        json_fields.read_text(organisation),
        json_fields.read_count(waiting, MAX_TOKENS),
        json_fields.read_count(ahead, MAX_TOKENS),
        _decode_remainders(number, held),
        _decode_remainders(number, returned),
        Purpose(json_fields.read_count(purpose)),
    )


def _decode_gone_age_s(value: typing.Any) -> float | None:
    return None if value is None else json_fields.read_age_s(value)


def _decode_grant(
    organisation: typing.Any,
    count: typing.Any,
    life_ms: typing.Any,
    retry_after_ms: typing.Any,
) -> Grant:
    return Grant(
        json_fields.read_text(organisation),
        json_fields.read_count(count, MAX_TOKENS),
        json_fields.read_count(life_ms, _MAX_TIME_MS) / 1000.0,
        json_fields.read_count(retry_after_ms, _MAX_TIME_MS) / 1000.0,
    )
