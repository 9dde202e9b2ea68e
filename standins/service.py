"""Stand-in for a plain service: records each call with its Idempotency-Key."""

from __future__ import annotations

import asyncio
import hashlib
import time
import typing

from aiohttp import web

from standins import faults, serving


class ServiceRoutes:
    """Responds to any path.

    :param name: name that is part of each response
    :param work_ms: duration of a call
    """

    def __init__(self, name: str, work_ms: float) -> None:
        self._name = name
        self._work_ms = work_ms
        self._calls: list[dict[str, typing.Any]] = []

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_get("/readyz", self.show_ready)
        for method in ("GET", "POST", "PUT", "DELETE"):
            app.router.add_route(method, "/{path:(?!_).*}", self.call)

    def record(self) -> dict[str, typing.Any]:
        """Return the calls in the order in which they took effect."""
        return {"name": self._name, "calls": self._calls}

    async def show_ready(self, _request: web.Request) -> web.Response:
        """Respond to a readiness check, which is not recorded as a call."""
        return web.Response(text="ready\n")

    async def call(self, request: web.Request) -> web.Response:
        """Record the call and respond with a digest of its body."""
        body = await request.read()
        current = request.app[faults.FAULTS]
        if current.consume("reject"):
            headers = {"X-Run-State": "not-run"}
            return web.json_response({"error": "busy"}, status=503, headers=headers)
        entry = {
            "number": len(self._calls) + 1,
            "method": request.method,
            "path": request.path,
            "query": request.query_string,
            "key": request.headers.get("Idempotency-Key"),
            "request_id": request.headers.get("X-Request-Id"),
            "body": body.decode("utf-8", "replace")[:4096],
            "at_s": time.time(),
            "answered": False,
        }
        self._calls.append(entry)
        await asyncio.sleep(self._work_ms / 1000)
        if request.method != "GET" and current.consume("lose_answer"):
            faults.break_connection(request)
        else:
            entry["answered"] = True
        return web.json_response(
            {
                "service": self._name,
                "number": entry["number"],
                "path": request.path,
                "body_sha256": hashlib.sha256(body).hexdigest(),
            }
        )


def main() -> None:
    """Serve a plain service."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--work-ms", type=float, default=1.0)
    arguments = parser.parse_args()
    routes = ServiceRoutes(arguments.name, arguments.work_ms)
    app = serving.make_app()
    routes.add(app)
    serving.run(app, arguments, routes.record)


if __name__ == "__main__":
    main()
