"""Log entries and metrics of online requests and their attempts."""

from __future__ import annotations

import time

from endivevane import logs, metrics
from endivevane.serving import attempts, failures, model


def record_end(
    request: model.ClientRequest,
    progress: attempts.Progress,
    outcome: attempts.Outcome,
) -> None:
    """Log the end of a request and update its metrics."""
    ended_s = time.monotonic()
    metrics.ONLINE_REQUESTS.labels(outcome.value).inc()
    first_s = progress.first_event_s
    if first_s is not None:
        metrics.FIRST_TOKEN_SECONDS.observe(first_s - request.received_s)
    logs.limited_info(
        "request_ended",
        request=progress.request_id,
        route=progress.route.name,
        config=progress.version,
        service=progress.service,
        outcome=outcome.value,
        targets=",".join(sorted(progress.ran_on)) or None,
        refused_by=",".join(sorted(progress.refused_by)) or None,
        coordinator=progress.coordinator or None,
        sends=progress.sends,
        events=progress.delivered_events,
        stream=progress.stream if progress.stream != progress.request_id else None,
        software=progress.stream_version,
        wait_ms=_measure_ms(request.received_s, progress.slot_granted_s or None),
        first_ms=_measure_ms(request.received_s, first_s),
        total_ms=int((ended_s - request.received_s) * 1000),
        causes="; ".join(progress.causes) or None,
    )


def record_broken_attempt(
    request: model.ClientRequest,
    target: model.Target,
    error: failures.TargetCallError,
    events: int,
    run_s: float,
) -> None:
    """Log an attempt without a complete response.

    :param events: events that the target sent in this attempt
    :param run_s: time since the slot was granted
    """
    logs.limited_info(
        "attempt_broken",
        request=request.attempt_id.decode("latin-1"),
        target=target.target_id,
        software=target.version or None,
        segments=",".join(request.prompt_segments) or None,
        may_have_run=error.may_have_run,
        events=events,
        run_ms=int(run_s * 1000),
        cause=error.cause,
    )


def _measure_ms(start_s: float, end_s: float | None) -> int | None:
    """Return the milliseconds between two times, ``None`` without an end."""
    return None if end_s is None else int((end_s - start_s) * 1000)
