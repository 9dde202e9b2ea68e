"""Failure rates of the targets, as observed by all daemons.

A target that fails fast always has free slots, so it would attract the requests of
every daemon if they did not share the outcomes of theirs.
"""

from __future__ import annotations

import dataclasses
from collections import abc

# After this time a response counts half.
_HALF_LIFE_S = 2.0
# Successful responses credited to every target in advance, so that one failure among
# few responses does not eject it.
_PRIOR_SUCCESSES = 6.0
# Failure rate from which on a target is ejected: other targets get its work.
_EJECTION_RATE = 0.4
# Maximum failures of a target that count from one peer: the fault may be in the network
# path of that peer.
_MAX_FAILURES_PER_PEER = 2.0
# Counts below this are dropped.
_MIN_COUNT = 0.05


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Response counts of one target; older responses count less.

    :param answers: all responses
    :param failures: failed responses; a late response counts in part
    """

    answers: float = 0.0
    failures: float = 0.0


class OutcomeTable:
    """Collects the outcomes of calls by this daemon and its peers, by target."""

    def __init__(self) -> None:
        self._own: dict[str, Outcomes] = {}
        self._decayed_s = 0.0
        self._reports: dict[str, dict[str, Outcomes]] = {}
        self._peers: dict[str, Outcomes] | None = None

    def record(self, target_id: str, now_s: float, failed: float) -> None:
        """Record a response of a target.

        :param failed: 0 for a success, 1 for a failure, between them for a late
            response
        """
        self._decay(now_s)
        own = self._own.setdefault(target_id, Outcomes())
        own.answers += 1.0
        own.failures += failed

    def find_failure_rate(self, target_id: str, now_s: float) -> float:
        """Return the recent failure rate of a target, 0 to 1."""
        self._decay(now_s)
        own = self._own.get(target_id)
        peers = self._sum_peers().get(target_id)
        failures = (own.failures if own else 0.0) + (peers.failures if peers else 0.0)
        if failures < _MIN_COUNT:
            return 0.0
        answers = (own.answers if own else 0.0) + (peers.answers if peers else 0.0)
        return failures / (answers + _PRIOR_SUCCESSES)

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Return whether a target fails so often that it should get no work."""
        return self.find_failure_rate(target_id, now_s) >= _EJECTION_RATE

    def list_own(self, now_s: float) -> dict[str, Outcomes]:
        """Return this daemon's counts of targets with failures."""
        self._decay(now_s)
        return {
            target_id: own
            for target_id, own in self._own.items()
            if own.failures >= _MIN_COUNT
        }

    def sum_with(self, peers: abc.Iterable[str], now_s: float) -> dict[str, Outcomes]:
        """Return the sums of this daemon's and some peers' counts with failures."""
        summed: dict[str, Outcomes] = {}
        _add(summed, self.list_own(now_s))
        for peer in peers:
            _add(summed, self._reports.get(peer, {}))
        return summed

    def set_report(
        self,
        peer: str,
        outcomes: abc.Mapping[str, Outcomes],
        covers_region: bool = False,
    ) -> None:
        """Replace the outcomes that a peer has reported.

        :param covers_region: whether the report covers all daemons of a region
        """
        self.drop_report(peer)
        if not outcomes:
            return
        max_failures = float("inf") if covers_region else _MAX_FAILURES_PER_PEER
        report = {
            target_id: Outcomes(each.answers, min(each.failures, max_failures))
            for target_id, each in outcomes.items()
        }
        self._reports[peer] = report
        self._peers = None

    def drop_report(self, peer: str) -> None:
        """Drop the outcomes that a peer has reported."""
        if self._reports.pop(peer, None) is not None:
            self._peers = None

    def _sum_peers(self) -> dict[str, Outcomes]:
        """Return the sums of all reports, recomputed after a change."""
        if self._peers is None:
            self._peers = {}
            for report in self._reports.values():
                _add(self._peers, report)
        return self._peers

    def _decay(self, now_s: float) -> None:
        """Decay this daemon's own counts by the time elapsed."""
        elapsed_s = now_s - self._decayed_s
        if elapsed_s <= 0:
            return
        self._decayed_s = now_s
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        for target_id, own in list(self._own.items()):
            own.answers *= factor
            own.failures *= factor
            if own.answers < _MIN_COUNT:
                del self._own[target_id]


def _add(summed: dict[str, Outcomes], outcomes: abc.Mapping[str, Outcomes]) -> None:
    """Add outcomes to sums by target."""
    for target_id, each in outcomes.items():
        entry = summed.setdefault(target_id, Outcomes())
        entry.answers += each.answers
        entry.failures += each.failures
