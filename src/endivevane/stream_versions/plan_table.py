"""The plans that this daemon has read from the store."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import exceptions, logs
from endivevane.serving import copy_age, store
from endivevane.stream_versions import plan as plans
from endivevane.stream_versions import rows

# Copies of the plans are trusted for some time without the store. At each daemon, an
# epoch takes effect this long after it was read, when none of those copies counts.
_EFFECT_DELAY_S = 0.6
# An epoch that was written this long ago has been read by the daemons in step.
_SETTLED_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownPlan:
    """A plan as this daemon has read it.

    :param version: version of its row, 0 for no row
    :param read_s: when each epoch but the oldest was read first, by its begin (time of
        the store's clock)
    """

    version: int
    plan: plans.Plan | None
    read_s: abc.Mapping[int, float]


_UNKNOWN = _KnownPlan(0, None, {})


class PlanTable:
    """Holds the newest plan of each service.

    :ivar is_loaded: whether all plans have been read since the start
    :ivar revision: incremented with each change
    :ivar age: when all plans were read last
    """

    def __init__(self) -> None:
        self.is_loaded = False
        self.revision = 0
        self.age = copy_age.CopyAge()
        self._feed_age = self.age
        self._rows: dict[str, _KnownPlan] = {}
        self._observers: list[abc.Callable[[], None]] = []

    def call_when_changed(self, observer: abc.Callable[[], None]) -> None:
        """Call a function after each change of a plan."""
        self._observers.append(observer)

    def follow(self, feed_age: copy_age.CopyAge) -> None:
        """Take the plans for as old as the feed that hands over their rows."""
        self._feed_age = feed_age

    def is_as_of(self, moment_s: float) -> bool:
        """Return whether all changes up to a time of the boot clock are known."""
        return self.age.is_as_of(moment_s) or self._feed_age.is_as_of(moment_s)

    def measure_age_s(self) -> float:
        """Return the time since the plans were known to be complete, or infinity."""
        return min(self.age.measure_s(), self._feed_age.measure_s())

    def find(self, service: str) -> plans.Plan | None:
        """Return the plan of a service, ``None`` if none is known."""
        return self._find(service).plan

    def find_row_version(self, service: str) -> int:
        """Return the version of the row of a service's plan, 0 for no row."""
        return self._find(service).version

    def find_in_force(self, service: str, now_ms: int | None) -> plans.Epoch | None:
        """Return the epoch that new streams of a service begin by.

        :param now_ms: time of the store's clock, ``None`` if it is not known
        """
        effective = self.find_effective(service, now_ms)
        if effective is None or not effective.newest.shares:
            return None
        return effective.newest

    def find_effective(self, service: str, now_ms: int | None) -> plans.Plan | None:
        """Return the plan of a service without the epochs that take effect later.

        :param now_ms: time of the store's clock, ``None`` if it is not known
        """
        known = self._find(service)
        if known.plan is None:
            return None
        latest_s = copy_age.read_clock_s() - _EFFECT_DELAY_S
        for position in range(len(known.plan.epochs) - 1, 0, -1):
            begin_ms = known.plan.epochs[position - 1].ended_ms or 0
            is_settled = now_ms is not None and begin_ms <= now_ms - _SETTLED_MS
            if is_settled or known.read_s[begin_ms] <= latest_s:
                return plans.Plan(known.plan.epochs[: position + 1])
        return plans.Plan(known.plan.epochs[:1])

    def apply_row(self, row: store.Row) -> None:
        """Apply a row unless a newer version of it is known.

        One that can't be read is no plan, and is replaced by one.
        """
        key = row.row_key.key
        known = self._rows.get(key, _UNKNOWN)
        if row.version <= known.version:
            return
        try:
            decoded = None if row.value is None else rows.decode_plan(key, row.value)
        except exceptions.ProtocolError as error:
            logs.error("version_plan_unreadable", key=key, cause=error)
            decoded = None
        version = 0 if row.value is None else row.version
        self._rows[key] = _KnownPlan(version, decoded, _find_read_s(decoded, known))
        self.revision += 1
        for observer in self._observers:
            observer()

    def _find(self, service: str) -> _KnownPlan:
        return self._rows.get(rows.make_plan_key(service).key, _UNKNOWN)


def _find_read_s(plan: plans.Plan | None, known: _KnownPlan) -> dict[int, float]:
    """Return when the epochs of a plan were read first, as far back as it goes."""
    if plan is None:
        return {}
    now_s = copy_age.read_clock_s()
    begins_ms = [epoch.ended_ms or 0 for epoch in plan.epochs[:-1]]
    return {begin_ms: known.read_s.get(begin_ms, now_s) for begin_ms in begins_ms}
