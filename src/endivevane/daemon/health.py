"""Routes for load balancers and monitoring."""

from __future__ import annotations

from collections import abc

import prometheus_client
import werkzeug.wrappers

from endivevane.web import app, errors


def routes(get_unready_reasons: abc.Callable[[], list[str]]) -> list[app.Route]:
    """Return ``/healthz``, ``/readyz`` and ``/metrics``.

    :param get_unready_reasons: returns why the daemon is not ready; empty when it is
    """

    def answer_health(call: app.Call) -> werkzeug.wrappers.Response:
        return app.make_json_response({"status": "ok"})

    def answer_ready(call: app.Call) -> werkzeug.wrappers.Response:
        reasons = get_unready_reasons()
        if reasons:
            # Not raised, so that probes are neither logged nor counted as refusals.
            error = errors.Unavailable("not ready: " + "; ".join(reasons))
            return app.make_error_response(error)
        return app.make_json_response({"status": "ready"})

    def answer_metrics(call: app.Call) -> werkzeug.wrappers.Response:
        return werkzeug.wrappers.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return [
        app.Route("GET", "/healthz", answer_health, role=None),
        app.Route("GET", "/readyz", answer_ready, role=None),
        app.Route("GET", "/metrics", answer_metrics, role=None),
    ]
