"""Whom a daemon asks for tokens, when, and for how many."""

from __future__ import annotations

import itertools
import math
import typing
from collections import abc

from endivevane.quotas import issuer, messages, pool

# An unanswered question is repeated after this time, longer than a round trip.
_REPEAT_INTERVAL_S = 0.03
_REMOTE_REPEAT_INTERVAL_S = 0.06
# A daemon that has not answered this many times is passed over for a while.
_MAX_UNANSWERED = 2
_PASSED_OVER_S = 1.0
# A question is given up after this time, when no request waits for it any longer.
_GIVE_UP_AFTER_S = 0.3
# Tokens for another region's requests last this long at the demand of the moment: until
# it is known that the issuer is dead, and another one has begun.
_REMOTE_AHEAD_S = 2.2
# One question in so many goes to the second daemon of the issuer's region, which holds
# tokens for as long at the demand of all.
DEPUTY_PERIOD = 8
# Within a region a daemon asks ahead only where questions for each request would be too
# many.
_NEAR_AHEAD_S = 0.1
# What is held ahead is for so much of the life of tokens, and is exchanged for new ones
# in so much of it.
_AHEAD_LIFE_SHARE = 0.6
_EXCHANGE_LIFE_SHARE = 0.25
# Tokens are asked for when less than this share of those wanted is held.
_REFILL_SHARE = 0.75


class View(issuer.View, typing.Protocol):
    """What a daemon that asks has to know of the others."""

    def list_sources(self, organisation: str) -> abc.Sequence[str]:
        """Return the daemons to ask for tokens, in order; empty for the issuer."""

    def list_first(self, organisation: str) -> abc.Sequence[str]:
        """Return the daemons that rank first over all regions, without this one."""

    def is_issuer(self, organisation: str) -> bool:
        """Whether this daemon ranks first."""

    def is_region_first(self, organisation: str) -> bool:
        """Whether this daemon ranks first in its region."""

    def is_remote(self, name: str) -> bool:
        """Whether a daemon is in another region."""


class Asking:
    """Makes the questions of one daemon, one message to each other daemon in a step.

    :param first_number: differs from one run of the daemon to the next
    """

    def __init__(self, view: View, first_number: int) -> None:
        self._view = view
        self._numbers = itertools.count(first_number)
        self._turns = itertools.count(1)
        # Pools that may need a question, by organisation.
        self._due: dict[str, pool.Pool] = {}
        self._passed_over_s: dict[str, float] = {}

    def next_number(self) -> int:
        """Return a number that no other question has."""
        return next(self._numbers)

    def list_sources(
        self, organisation: str, found: pool.Pool, now_s: float
    ) -> abc.Sequence[str]:
        """Return the daemons to ask, those of all regions on behalf of others."""
        if found.serves_others(now_s):
            return self._view.list_first(organisation)
        return self._view.list_sources(organisation)

    def request(self, organisation: str, found: pool.Pool) -> None:
        """Ask for the tokens of the requests that wait, unless this has been asked."""
        self._due[organisation] = found

    def request_ahead(self, organisation: str, found: pool.Pool, now_s: float) -> None:
        """Ask for tokens for the requests to come, if so many are expected."""
        if found.open is not None or now_s < found.ahead_after_s:
            return
        if self._count_ahead(organisation, found, now_s):
            self._due[organisation] = found

    def record_answer(self, source: str) -> None:
        """Record that a daemon answers."""
        self._passed_over_s.pop(source, None)

    def collect(self, now_s: float) -> list[tuple[str, messages.QuotaAsk]]:
        """Return the messages that are due, with their recipients."""
        if not self._due:
            return []
        needs: dict[tuple[str, int], list[messages.Need]] = {}
        numbers: dict[str, int] = {}
        for organisation, found in self._due.items():
            asked = self._ask(organisation, found, numbers, now_s)
            if asked is not None:
                needs.setdefault((asked.source, asked.number), []).append(asked.need)
        self._due = {}
        return [
            (source, messages.QuotaAsk(number, tuple(parts)))
            for (source, number), parts in needs.items()
        ]

    def give_up(self, found: pool.Pool, now_s: float) -> None:
        """Forget a question that nobody waits for any longer."""
        asked = found.open
        if asked is None or found.waiters:
            return
        if now_s - asked.first_sent_s >= _GIVE_UP_AFTER_S:
            found.open = None

    def _ask(
        self,
        organisation: str,
        found: pool.Pool,
        numbers: dict[str, int],
        now_s: float,
    ) -> pool.OpenAsk | None:
        """Return the question to send about an organisation now, new or repeated.

        :param numbers: numbers of the questions of this step by recipient
        """
        source, purpose = self._choose_source(organisation, found, now_s)
        asked = found.open
        if source is None:
            found.open = None
            return None
        waiting = found.count_missing(now_s)
        if asked is not None and asked.source == source:
            if now_s - asked.sent_s < self._find_repeat_interval_s(source):
                return None
            is_late = now_s - asked.first_sent_s >= _GIVE_UP_AFTER_S
            if asked.sent_count >= _MAX_UNANSWERED or is_late:
                self._passed_over_s[source] = now_s + _PASSED_OVER_S
            if not is_late and (asked.need.waiting or not waiting):
                asked.sent_s = now_s
                asked.sent_count += 1
                return asked
        ahead = self._count_ahead(organisation, found, now_s)
        if not waiting and not ahead:
            return None
        number = numbers.get(source)
        if number is None:
            number = numbers[source] = self.next_number()
        within_s = _EXCHANGE_LIFE_SHARE * found.life_s
        returned = tuple(
            messages.Remainder(item.number, item.count)
            for item in found.remove_ending(source, now_s, within_s)
        )
        held = found.list_held(source, now_s)
        need = messages.Need(organisation, waiting, ahead, held, returned, purpose)
        found.refused = 0
        found.open = pool.OpenAsk(source, number, need, now_s, now_s)
        return found.open

    def _choose_source(
        self, organisation: str, found: pool.Pool, now_s: float
    ) -> tuple[str | None, messages.Purpose]:
        """Return the daemon to ask, one that has answered lately if there is any."""
        sources = self.list_sources(organisation, found, now_s)
        purpose = messages.Purpose.OWN
        is_region_first = self._view.is_region_first(organisation)
        if is_region_first or found.serves_others(now_s):
            purpose = messages.Purpose.OTHERS
        if found.open is not None:
            if not self._is_passed_over(found.open.source, now_s):
                return found.open.source, found.open.need.purpose
        elif purpose is messages.Purpose.OWN and self._is_deputy_turn(
            organisation, sources, now_s
        ):
            return sources[1], messages.Purpose.SAMPLE
        for source in sources:
            if not self._is_passed_over(source, now_s):
                return source, purpose
        return (sources[0] if sources else None), purpose

    def _is_passed_over(self, source: str, now_s: float) -> bool:
        return now_s < self._passed_over_s.get(source, 0.0)

    def _is_deputy_turn(
        self, organisation: str, sources: abc.Sequence[str], now_s: float
    ) -> bool:
        """Whether to ask the second daemon of the issuer's region this time."""
        first = self._view.list_first(organisation)
        if len(sources) < 2 or sources[0] != first[0]:
            return False
        if any(self._is_passed_over(name, now_s) for name in sources[:2]):
            return False
        return not next(self._turns) % DEPUTY_PERIOD

    def _find_repeat_interval_s(self, source: str) -> float:
        if self._view.is_remote(source):
            return _REMOTE_REPEAT_INTERVAL_S
        return _REPEAT_INTERVAL_S

    def _count_ahead(self, organisation: str, found: pool.Pool, now_s: float) -> int:
        """Return how many more tokens to hold for the requests to come."""
        if found.is_quiet(now_s):
            return 0
        sources = self.list_sources(organisation, found, now_s)
        if not sources:
            return 0
        demand_per_s = found.find_demand_per_s(now_s)
        is_region_first = self._view.is_region_first(organisation)
        is_deputy = found.serves_others(now_s) and not is_region_first
        if not is_deputy and not self._view.is_remote(sources[0]):
            wanted = int(demand_per_s * _NEAR_AHEAD_S)
            return wanted - found.count(now_s) if not found.count(now_s) else 0
        ahead_s = min(_REMOTE_AHEAD_S, _AHEAD_LIFE_SHARE * found.life_s)
        wanted = math.ceil(demand_per_s * ahead_s) + 1
        held = found.count(now_s, _EXCHANGE_LIFE_SHARE * found.life_s)
        return wanted - held if held < _REFILL_SHARE * wanted else 0
