"""What operators and the platform ask a daemon: its readiness and its metrics."""

from __future__ import annotations

import http
from collections import abc

import prometheus_client

from endivevane.serving import http_server, model, responder


def make_readiness(is_ready: abc.Callable[[], bool]) -> http_server.Handler:
    """Return the handler that says whether clients may be sent here."""

    async def answer_readiness(
        _request: model.ClientRequest, answer: responder.Responder
    ) -> None:
        status = http.HTTPStatus.OK
        if not is_ready():
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        answer.send(responder.Response(status))

    return answer_readiness


async def answer_metrics(
    _request: model.ClientRequest, answer: responder.Responder
) -> None:
    """Send the metrics of this process as text."""
    body = prometheus_client.generate_latest()
    content_type = prometheus_client.CONTENT_TYPE_LATEST
    answer.send(responder.Response(http.HTTPStatus.OK, body, content_type=content_type))
