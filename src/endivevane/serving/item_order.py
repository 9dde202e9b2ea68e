"""The order in which the items of a daemon's jobs start."""

from __future__ import annotations

import time
from collections import abc

from endivevane.serving import (
    item_estimates,
    item_refusals,
    item_requests,
    owned_jobs,
)


class ItemOrder:
    """Orders items by their urgency, and those that may be too large behind others."""

    def __init__(
        self,
        estimates: item_estimates.ItemEstimator,
        refusal_judge: item_refusals.RefusalJudge,
    ) -> None:
        self._estimates = estimates
        self._refusal_judge = refusal_judge

    def list_ready(
        self, owned_all: abc.Collection[owned_jobs.OwnedJob], now_s: float
    ) -> list[item_requests.Ready]:
        """Return the items that may start, most urgent first."""
        ready = []
        for owned in owned_all:
            for run in owned.list_ready(now_s):
                run.goes_last = self._refusal_judge.goes_last(
                    owned.entry.job.route, run.item.tokens, run.refusals
                )
                ready.append((self.classify_urgency(owned, run), owned, run))
        # Of items with the same due time, those with more progress go first, and those
        # that more lost owners have run come last.
        ready.sort(
            key=lambda entry: (
                entry[0],
                entry[2].goes_last,
                entry[1].entry.job.due_ms,
                -entry[2].last_event,
                entry[1].records.count_unknown(entry[2].item.item_id),
            )
        )
        return item_requests.order_by_shares(ready, owned_all)

    def classify_urgency(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun
    ) -> item_estimates.Urgency:
        """Return how urgent an item is."""
        if run.goes_last:
            return item_estimates.Urgency.LATE
        return self._estimates.classify_urgency(run.last_event, get_time_left_s(owned))


def get_time_left_s(owned: owned_jobs.OwnedJob) -> float:
    """Return the time until a job's results are due, negative when overdue."""
    return owned.entry.job.due_ms / 1000.0 - time.time()
