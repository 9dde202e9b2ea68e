"""Effect of the outcome of an attempt on its item."""

from __future__ import annotations

from endivevane import logs, metrics
from endivevane.batch import attempts, items, work


def resolve_item(
    chunk: work.HeldChunk,
    attempt: attempts.Attempt,
    outcome: attempts.Outcome,
    now_s: float,
    max_attempts: int,
) -> None:
    """Store the result of an attempt, or put its item back for another attempt.

    :param max_attempts: broken attempts after which the item fails
    """
    job_id, number = chunk.key
    item = attempt.item
    if outcome.kind in (attempts.Kind.ANSWERED, attempts.Kind.REJECTED):
        chunk.lines[item.index] = items.make_response_line(
            job_id, number, item, attempt.attempt_id, outcome.status, outcome.body
        )
        chunk.progress_at_s = now_s
        return
    pending = work.PendingItem(
        item,
        attempt.broken_attempts,
        attempt.refusals,
        engine_crashes=attempt.engine_crashes + outcome.is_engine_crash,
    )
    problem = _record_failure(pending, outcome, now_s, max_attempts)
    if problem is None:
        chunk.put_back(pending)
        return
    logs.warning(
        "item_failed", job_id=job_id, custom_id=item.custom_id, code=problem.code
    )
    chunk.lines[item.index] = items.make_failure_line(job_id, number, item, problem)
    chunk.progress_at_s = now_s


def _record_failure(
    pending: work.PendingItem,
    outcome: attempts.Outcome,
    now_s: float,
    max_attempts: int,
) -> items.Problem | None:
    """Count a failed attempt; return a problem when no attempts are left."""
    if outcome.kind is attempts.Kind.BROKEN:
        pending.broken_attempts += 1
        pending.ready_at_s = now_s + work.compute_backoff_s(pending.broken_attempts - 1)
        metrics.RETRIES.labels("batch_broken").inc()
        if pending.broken_attempts >= max_attempts:
            text = f"failed after {pending.broken_attempts} attempts: {outcome.detail}"
            return items.Problem("attempts_exhausted", text)
    if outcome.kind is attempts.Kind.REFUSED:
        pending.refusals += 1
        pending.ready_at_s = now_s + work.compute_backoff_s(pending.refusals - 1)
        metrics.RETRIES.labels("batch_refused").inc()
        if pending.refusals >= work.MAX_REFUSALS:
            text = f"refused {pending.refusals} times: {outcome.detail}"
            return items.Problem("refused", text)
    return None
