"""Limits how often batch items that crash engines run."""

from __future__ import annotations

import collections

from endivevane import logs
from endivevane.batch import attempts, items, ports, work

# Delay of an item while another one with the same fingerprint runs.
_DUPLICATE_DELAY_S = 0.5
_MAX_ANSWERED = 4096


class CrashGuard:
    """Checks the quarantine before each send and reports engine crashes to it.

    This daemon runs one item per fingerprint at a time, so that copies within a job
    crash one engine rather than one each. A fingerprint that got a response may run
    any number of times.

    :param known: quarantined requests; ``None`` admits every item
    """

    def __init__(self, known: ports.Quarantine | None) -> None:
        self._known = known
        self._running: collections.Counter[str] = collections.Counter()
        self._answered: collections.OrderedDict[str, None] = collections.OrderedDict()

    def admit(self, choice: work.Choice, now_s: float) -> str | None:
        """Return the fingerprint of an item that may be sent now.

        A quarantined item fails; a duplicate of a running item is postponed. The
        result is then ``None``.
        """
        if self._known is None:
            return ""
        chunk, pending = choice.chunk, choice.pending
        item = pending.item
        fingerprint = self._known.make_fingerprint(item.model, item.decode_body())
        if self._known.remaining_s(fingerprint) > 0:
            text = (
                "requests with this fingerprint have crashed targets; change the item"
            )
            chunk.fail_item(item, items.Problem("request_quarantined", text))
            chunk.progress_at_s = now_s
            logs.warning(
                "item_quarantined", job_id=chunk.job.job_id, custom_id=item.custom_id
            )
            return None
        if self._running[fingerprint] and fingerprint not in self._answered:
            pending.ready_at_s = now_s + _DUPLICATE_DELAY_S
            # Fresh items are sent in order, so this one would block those behind it.
            chunk.suspects.append(pending)
            return None
        self._running[fingerprint] += 1
        return fingerprint

    def record_ended(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Record the outcome of an attempt."""
        if self._known is None:
            return
        fingerprint = attempt.fingerprint
        self._running[fingerprint] -= 1
        if self._running[fingerprint] <= 0:
            del self._running[fingerprint]
        if outcome.is_engine_crash:
            self._known.record_death(
                fingerprint, attempt.target.name, attempt.started_s
            )
        if outcome.kind is attempts.Kind.ANSWERED:
            self._answered[fingerprint] = None
            if len(self._answered) > _MAX_ANSWERED:
                self._answered.popitem(last=False)
