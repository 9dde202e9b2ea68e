"""Aggregation of the demand of all daemons at the owners of the engine groups."""

from __future__ import annotations

import dataclasses
import math
import queue
import typing
from collections import abc

import result

from endivevane import logs, types
from endivevane.coordination import clock, fencing, rendezvous, store

KIND = "demand"
Services = abc.Mapping[str, abc.Mapping[str, types.ModelDemand]]

# Up to this many daemons, each reports to the owners directly.
_DIRECT_DAEMONS = 18
# Multiple of the square root of the number of daemons. More collectors send more
# messages to the owners; with fewer, each collector receives more messages.
_COLLECTORS_FACTOR = 3
_MIN_INTERVAL_S = 10.0
# Bounds the traffic of collectors and owners at any number of daemons.
_INTERVAL_S_PER_DAEMON = 0.1
# A report stays valid for this many intervals, so that one may be lost.
_VALID_INTERVALS = 2.5
# Share of the live daemons whose demand must be known before it is used.
_MIN_COVERED_SHARE = 0.5
_OWNERS_MAX_AGE_S = 60.0
_OWNERS_MIN_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Demand of one or more daemons.

    :param daemons: number of daemons covered
    """

    daemons: int
    services: Services
    received_s: float


class DemandExchange:
    """Sums the demand of all daemons at the owner of each group.

    Each daemon sends its demand to a collector, chosen by rendezvous hashing, and each
    collector sends the sum to the owners; a small cluster has no collectors. Only
    :meth:`receive` is thread-safe.

    :param read_own: returns the demand at this daemon
    :param table_store: holds the owners of the groups
    """

    def __init__(
        self,
        daemon: str,
        exchange_clock: clock.Clock,
        read_own: abc.Callable[[], Services],
        table_store: store.TableStore,
    ) -> None:
        self._daemon = daemon
        self._clock = exchange_clock
        self._read_own = read_own
        self._store = table_store
        self._inbox: queue.SimpleQueue[tuple[str, typing.Any]] = queue.SimpleQueue()
        self._collected: dict[str, _Report] = {}
        self._sums: dict[str, _Report] = {}
        self._interval_s = _MIN_INTERVAL_S
        self._due_s = 0.0
        self._owners: dict[str, str] = {}
        self._owners_read_s = -math.inf

    def receive(self, sender: str, body: typing.Any) -> None:
        """Queue a message from another daemon."""
        self._inbox.put((sender, body))

    def run(
        self, daemons: abc.Collection[str], groups: abc.Collection[str]
    ) -> list[tuple[str, dict[str, typing.Any]]]:
        """Return the due messages, each with its receiver.

        :param daemons: names of the live daemons
        :param groups: names of the model services
        """
        now_s = self._clock.monotonic_s()
        self._apply_inbox(daemons, now_s)
        if now_s < self._due_s:
            return []
        self._interval_s = max(_MIN_INTERVAL_S, _INTERVAL_S_PER_DAEMON * len(daemons))
        self._due_s = now_s + self._interval_s
        own = _Report(1, self._read_own(), now_s)
        collectors = _choose_collectors(daemons)
        collector = rendezvous.choose_member(self._daemon, collectors) or self._daemon
        if not collectors or collector == self._daemon:
            self._collected[self._daemon] = own
        else:
            self._collected.pop(self._daemon, None)
            return [
                (collector, _encode(own, is_sum=False)),
                *self._send_sums(daemons, groups, now_s),
            ]
        return self._send_sums(daemons, groups, now_s)

    def compute_slots(
        self, service: str, daemons: abc.Collection[str]
    ) -> abc.Mapping[str, float] | None:
        """Return the slots that the demand would occupy, by model.

        ``None`` when fewer than half of the daemons are covered.
        """
        covered = 0
        models: dict[str, types.ModelDemand] = {}
        for report in self._sums.values():
            if service not in report.services:
                continue
            covered += report.daemons
            for model, demand in report.services[service].items():
                models[model] = models.get(model, types.ModelDemand()) + demand
        if not covered or covered < _MIN_COVERED_SHARE * len(daemons):
            return None
        return {model: demand.compute_slots() for model, demand in models.items()}

    def _apply_inbox(self, daemons: abc.Collection[str], now_s: float) -> None:
        while not self._inbox.empty():
            sender, body = self._inbox.get_nowait()
            try:
                is_sum, report = _decode(body, now_s)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                logs.warning("demand_malformed", sender=sender, error=error)
                continue
            (self._sums if is_sum else self._collected)[sender] = report
        oldest_s = now_s - _VALID_INTERVALS * self._interval_s
        for reports in (self._collected, self._sums):
            for name in list(reports):
                if name not in daemons or reports[name].received_s < oldest_s:
                    del reports[name]

    def _send_sums(
        self, daemons: abc.Collection[str], groups: abc.Collection[str], now_s: float
    ) -> list[tuple[str, dict[str, typing.Any]]]:
        """Return messages to the owners with the sums that this daemon collected."""
        if not self._collected:
            return []
        self._refresh_owners(daemons, groups, now_s)
        by_owner: dict[str, dict[str, dict[str, types.ModelDemand]]] = {}
        for group in groups:
            owner = self._owners.get(group)
            if owner is None or owner not in daemons:
                continue
            # A group without demand is included, so that its owner knows it has none.
            models = by_owner.setdefault(owner, {}).setdefault(group, {})
            for report in self._collected.values():
                for model, demand in report.services.get(group, {}).items():
                    models[model] = models.get(model, types.ModelDemand()) + demand
        covered = sum(report.daemons for report in self._collected.values())
        sums = {
            owner: _Report(covered, services, now_s)
            for owner, services in by_owner.items()
        }
        own = sums.pop(self._daemon, None)
        if own is not None:
            self._sums[self._daemon] = own
        return [(owner, _encode(item, is_sum=True)) for owner, item in sums.items()]

    def _refresh_owners(
        self, daemons: abc.Collection[str], groups: abc.Collection[str], now_s: float
    ) -> None:
        age_s = now_s - self._owners_read_s
        is_stale = any(self._owners.get(group) not in daemons for group in groups)
        if age_s < (_OWNERS_MIN_AGE_S if is_stale else _OWNERS_MAX_AGE_S):
            return
        outcome = self._store.scan(fencing.TABLE, "")
        self._owners_read_s = now_s
        if isinstance(outcome, result.Ok):
            self._owners = {
                row.key: str(row.value["owner"]) for row in outcome.ok_value
            }


def _choose_collectors(daemons: abc.Collection[str]) -> dict[str, float]:
    if len(daemons) <= _DIRECT_DAEMONS:
        return {}
    size = math.ceil(_COLLECTORS_FACTOR * math.sqrt(len(daemons)))
    weights = dict.fromkeys(daemons, 1.0)
    return dict.fromkeys(rendezvous.choose_subset(KIND, weights, size), 1.0)


def _encode(report: _Report, *, is_sum: bool) -> dict[str, typing.Any]:
    """Return the body, with figures in hundredths to keep messages small."""
    services = {
        service: {
            model: [round(figure * 100) for figure in dataclasses.astuple(demand)]
            for model, demand in models.items()
        }
        for service, models in report.services.items()
    }
    return {"sum": int(is_sum), "n": report.daemons, "s": services}


def _decode(body: typing.Any, now_s: float) -> tuple[bool, _Report]:
    services = {
        str(service): {
            str(model): types.ModelDemand(
                *(max(0, int(item)) / 100 for item in figures)
            )
            for model, figures in models.items()
        }
        for service, models in body["s"].items()
    }
    return bool(body["sum"]), _Report(max(1, int(body["n"])), services, now_s)
