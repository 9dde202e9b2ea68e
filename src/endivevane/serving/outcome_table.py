"""How often the answers of each target fail, as all daemons have seen it.

A target that fails fast always has room, so that it attracts the requests of every
daemon unless they tell each other what became of theirs.
"""

from __future__ import annotations

import dataclasses
from collections import abc

# After this time an answer counts half.
_HALF_LIFE_S = 2.0
# Sound answers that every target is taken to have given, so that one failure among
# few answers does not eject it.
_PRIOR_ANSWERS = 6.0
# Share of failed answers from which on a target is ejected: others get its work.
_EJECTION_SHARE = 0.4
# Failures of a target that count from one peer, whose own path may be what fails.
_MOST_FAILURES_OF_PEER = 2.0
# Counts below this are forgotten.
_LEAST_COUNT = 0.05


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Answers of one target; older ones count less.

    :param answers: all answers
    :param failures: those that failed; an answer of little use counts in part
    """

    answers: float = 0.0
    failures: float = 0.0


class OutcomeTable:
    """Collects what became of the calls of this daemon and of its peers, by target."""

    def __init__(self) -> None:
        self._own: dict[str, Outcomes] = {}
        self._aged_s = 0.0
        self._reports: dict[str, dict[str, Outcomes]] = {}
        self._peers: dict[str, Outcomes] | None = None

    def record(self, target_id: str, now_s: float, failed: float) -> None:
        """Take in an answer of a target.

        :param failed: 0 for a sound answer, 1 for a failure, between them for an
            answer of less use
        """
        self._age(now_s)
        own = self._own.setdefault(target_id, Outcomes())
        own.answers += 1.0
        own.failures += failed

    def find_failure_rate(self, target_id: str, now_s: float) -> float:
        """Return the share of a target's answers that failed lately, 0 to 1."""
        self._age(now_s)
        own = self._own.get(target_id)
        peers = self._sum_peers().get(target_id)
        failures = (own.failures if own else 0.0) + (peers.failures if peers else 0.0)
        if failures < _LEAST_COUNT:
            return 0.0
        answers = (own.answers if own else 0.0) + (peers.answers if peers else 0.0)
        return failures / (answers + _PRIOR_ANSWERS)

    def is_ejected(self, target_id: str, now_s: float) -> bool:
        """Whether so many answers of a target fail that it should get no work."""
        return self.find_failure_rate(target_id, now_s) >= _EJECTION_SHARE

    def list_own(self, now_s: float) -> dict[str, Outcomes]:
        """Return what this daemon has seen of targets with failures."""
        self._age(now_s)
        return {
            target_id: own
            for target_id, own in self._own.items()
            if own.failures >= _LEAST_COUNT
        }

    def sum_with(self, peers: abc.Iterable[str], now_s: float) -> dict[str, Outcomes]:
        """Return what this daemon and some peers have seen of targets with failures."""
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

        :param is_of_region: whether it speaks for all daemons of its region
        """
        self.drop_report(peer)
        if not outcomes:
            return
        most = float("inf") if covers_region else _MOST_FAILURES_OF_PEER
        report = {
            target_id: Outcomes(each.answers, min(each.failures, most))
            for target_id, each in outcomes.items()
        }
        self._reports[peer] = report
        self._peers = None

    def drop_report(self, peer: str) -> None:
        """Forget the outcomes that a peer has reported."""
        if self._reports.pop(peer, None) is not None:
            self._peers = None

    def _sum_peers(self) -> dict[str, Outcomes]:
        """Return the sums of all reports, made anew after a change."""
        if self._peers is None:
            self._peers = {}
            for report in self._reports.values():
                _add(self._peers, report)
        return self._peers

    def _age(self, now_s: float) -> None:
        """Let the own counts lose weight with time."""
        elapsed_s = now_s - self._aged_s
        if elapsed_s <= 0:
            return
        self._aged_s = now_s
        factor = 0.5 ** (elapsed_s / _HALF_LIFE_S)
        for target_id, own in list(self._own.items()):
            own.answers *= factor
            own.failures *= factor
            if own.answers < _LEAST_COUNT:
                del self._own[target_id]


def _add(summed: dict[str, Outcomes], outcomes: abc.Mapping[str, Outcomes]) -> None:
    """Add outcomes to sums by target."""
    for target_id, each in outcomes.items():
        entry = summed.setdefault(target_id, Outcomes())
        entry.answers += each.answers
        entry.failures += each.failures
