"""Log entry and metric of requests whose connection ends without a whole response."""

from __future__ import annotations

import enum
import time

from endivevane import logs, metrics
from endivevane.serving import model


class Cause(enum.StrEnum):
    """Why a connection ended under a request that had been read."""

    CLIENT_LEFT = "client_left"
    CLIENT_SLOW = "client_slow"
    BROKEN_OFF = "broken_off"
    HANDLER_FAILED = "handler_failed"
    STOPPED = "stopped"


def record(
    request: model.ClientRequest, cause: Cause, has_begun: bool, detail: str | None
) -> None:
    """Log a request without a whole response, and count it by its cause.

    :param has_begun: whether the head of a response was written
    :param detail: the exception behind the cause, if there is one
    """
    metrics.UNANSWERED_REQUESTS.labels(cause.value).inc()
    logs.limited_info(
        "request_unanswered",
        request=request.attempt_id.decode("latin-1"),
        cause=cause.value,
        has_begun=has_begun,
        total_ms=int((time.monotonic() - request.received_s) * 1000),
        detail=detail,
    )
