"""What the end of an attempt means for its item."""

from __future__ import annotations

from endivevane import logs, metrics
from endivevane.batch import attempts, items, work


def settle_item(
    chunk: work.HeldChunk,
    attempt: attempts.Attempt,
    outcome: attempts.Outcome,
    now_s: float,
    max_attempts: int,
) -> None:
    """Keep the result of an attempt, or let its item wait for the next one.

    :param max_attempts: attempts that broke off before the item is given up
    """
    job_id, number = chunk.key
    item = attempt.item
    if outcome.kind in (attempts.Kind.ANSWERED, attempts.Kind.REJECTED):
        chunk.lines[item.index] = items.make_answer_line(
            job_id, number, item, attempt.attempt_id, outcome.status, outcome.body
        )
        chunk.progress_at_s = now_s
        return
    pending = work.PendingItem(
        item,
        attempt.breaks,
        attempt.refusals,
        deaths=attempt.deaths + outcome.is_death,
    )
    problem = _note_failure(pending, outcome, now_s, max_attempts)
    if problem is None:
        chunk.put_back(pending)
        return
    logs.warning(
        "item_failed", job_id=job_id, custom_id=item.custom_id, code=problem.code
    )
    chunk.lines[item.index] = items.make_failure_line(job_id, number, item, problem)
    chunk.progress_at_s = now_s


def _note_failure(
    pending: work.PendingItem,
    outcome: attempts.Outcome,
    now_s: float,
    max_attempts: int,
) -> items.Problem | None:
    """Count a failed attempt; return why the item is given up, if it is."""
    if outcome.kind is attempts.Kind.BROKEN:
        pending.breaks += 1
        pending.ready_at_s = now_s + work.compute_pause_s(pending.breaks - 1)
        metrics.RETRIES.labels("batch_broken").inc()
        if pending.breaks >= max_attempts:
            text = f"given up after {pending.breaks} attempts: {outcome.detail}"
            return items.Problem("attempts_exhausted", text)
    if outcome.kind is attempts.Kind.REFUSED:
        pending.refusals += 1
        pending.ready_at_s = now_s + work.compute_pause_s(pending.refusals - 1)
        metrics.RETRIES.labels("batch_refused").inc()
        if pending.refusals >= work.MAX_REFUSALS:
            text = f"refused {pending.refusals} times: {outcome.detail}"
            return items.Problem("refused", text)
    return None
