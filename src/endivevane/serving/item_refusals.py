"""Refusals of an item: those that pass, and those that would come each time.

A target rejects a request that is larger than its memory as if it were full. Only what
else it does tells the two apart: a refusal is telling if the target is taking other
requests.
"""

from __future__ import annotations

import collections
import dataclasses
import http
import random
import time
from collections import abc

from endivevane.serving import load_table, model, target_registry

# An item with so many telling refusals in a row lets all others go before it.
_MIN_DOUBTFUL = 4
# A target that is full at times refuses a share q of all requests. An item that fits
# meets 1 / (1 - q) refusals for each telling one, and all of so many in a row with a
# probability of at most exp(-12), whatever q is.
_MIN_PROVEN = 12
# At least so many of them at each service of the item's route.
_MIN_AT_SERVICE = 3
# Share of the choices that are drawn among all services.
_OTHER_SERVICE_SHARE = 0.5
# Pause after a refusal, doubled with each telling one of a doubtful item.
_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 4.0
# The same once the item may be abandoned, so that a new owner needs a few seconds to
# find out.
_MAX_OVERDUE_BACKOFF_S = 1.0
_MAX_DOUBLINGS = 6
# Above this share of its slots, a target may be full for reasons of its own.
_ROOMY_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class ItemRefusals:
    """Telling refusals of an item since its last run."""

    _by_service: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def record(self, service: str) -> None:
        """Record a telling refusal by a target of a service."""
        self._by_service[service] += 1

    def clear(self) -> None:
        """Forget the refusals, since a target has taken the item."""
        self._by_service.clear()

    @property
    def is_doubtful(self) -> bool:
        """Whether the item may be one that no target ever takes."""
        return self._by_service.total() >= _MIN_DOUBTFUL

    def are_final(self, services: abc.Iterable[str]) -> bool:
        """Return whether no target of some services will take the item.

        :param services: those of its route that have targets
        """
        return self._by_service.total() >= _MIN_PROVEN and all(
            self._by_service[service] >= _MIN_AT_SERVICE for service in services
        )

    def choose_service(
        self, services: abc.Sequence[str], generator: random.Random
    ) -> str:
        """Return the service that has refused the item the least, or another one.

        That service may have no room for long, while another one has.
        """
        if generator.random() < _OTHER_SERVICE_SHARE:
            return generator.choice(services)
        return min(services, key=lambda service: self._by_service[service])

    def find_backoff_s(self, is_overdue: bool) -> float:
        """Return the pause until the item's next run.

        :param is_overdue: whether the item may be abandoned
        """
        if not self.is_doubtful:
            return _BACKOFF_S
        longest_s = _MAX_OVERDUE_BACKOFF_S if is_overdue else _MAX_BACKOFF_S
        doublings = min(self._by_service.total(), _MAX_DOUBLINGS)
        return min(longest_s, _BACKOFF_S * 2.0**doublings)


class RefusalJudge:
    """Judges what refusals show of the items that were refused."""

    def __init__(self, loads: load_table.LoadTable) -> None:
        self._loads = loads
        # Route -> tokens of the smallest item that is doubtful.
        self._doubtful_tokens: dict[str, int] = {}

    def goes_last(self, route: str, tokens: int, refusals: ItemRefusals) -> bool:
        """Return whether other items go before one that may be too large.

        One that is as large as a doubtful item of its route is not tried first either.

        :param tokens: size of the item
        """
        if refusals.is_doubtful:
            return True
        least = self._doubtful_tokens.get(route)
        return least is not None and tokens >= least

    def record_taken(self, route: str, tokens: int, refusals: ItemRefusals) -> None:
        """Record that a target has taken an item."""
        refusals.clear()
        if tokens >= self._doubtful_tokens.get(route, tokens + 1):
            del self._doubtful_tokens[route]

    def record_refusal(
        self,
        route: str,
        tokens: int,
        refusals: ItemRefusals,
        known: target_registry.KnownTarget,
        reply: model.TargetReply,
    ) -> None:
        """Record that a target has refused an item."""
        now_s = time.monotonic()
        if not refusals.is_doubtful:
            # The refusal of a doubtful item says nothing of the target's room.
            known.health.record_full(now_s)
        if self._is_telling(known, reply, now_s):
            refusals.record(known.target.service)
        if refusals.is_doubtful:
            least = self._doubtful_tokens.get(route, tokens)
            self._doubtful_tokens[route] = min(least, tokens)

    def _is_telling(
        self,
        known: target_registry.KnownTarget,
        reply: model.TargetReply,
        now_s: float,
    ) -> bool:
        """Return whether a target that refused an item has room for others.

        It has if it took the latest of this daemon's online requests of the last
        seconds, or, where there were none, if it is at most half full by the counts of
        all daemons.
        """
        if reply.status != http.HTTPStatus.SERVICE_UNAVAILABLE or reply.is_wrong_target:
            return False
        is_taking = known.health.is_taking(now_s)
        if is_taking is not None:
            return is_taking
        load = self._loads.total(known.target.target_id).total
        return load <= _ROOMY_SHARE * known.target.slots
