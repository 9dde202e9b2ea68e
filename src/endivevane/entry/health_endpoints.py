"""Handlers of the readiness and metrics endpoints."""

from __future__ import annotations

import http
from collections import abc

import prometheus_client

from endivevane.serving import http_server, model, responder, work_turns


def make_readiness(is_ready: abc.Callable[[], bool]) -> http_server.Handler:
    """Return the readiness handler, which tells whether clients may be routed here."""

    async def answer_readiness(
        _request: model.ClientRequest, answer: responder.Responder
    ) -> None:
        status = http.HTTPStatus.OK
        if not is_ready():
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        answer.send(responder.Response(status))

    return answer_readiness


def make_metrics(turns: work_turns.WorkTurns) -> http_server.Handler:
    """Return the handler of the metrics endpoint.

    :param turns: shared with all connections, since the text takes long to make
    """

    async def answer_metrics(
        request: model.ClientRequest, answer: responder.Responder
    ) -> None:
        """Send the metrics of this process in the Prometheus text format."""
        try:
            body = await turns.run(request, prometheus_client.generate_latest)
        except work_turns.NoTurn:
            answer.send(responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE))
            return
        content_type = prometheus_client.CONTENT_TYPE_LATEST
        answer.send(
            responder.Response(http.HTTPStatus.OK, body, content_type=content_type)
        )

    return answer_metrics
