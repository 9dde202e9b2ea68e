"""Operator routes: status, services, targets, drain and explain."""

from __future__ import annotations

import dataclasses
import datetime
import typing
from collections import abc

import werkzeug.wrappers

from endivevane import types
from endivevane.cluster import tasks
from endivevane.configuration import snapshot
from endivevane.daemon import history, load_board, settings
from endivevane.web import app, errors


@dataclasses.dataclass(frozen=True, slots=True)
class AdminDependencies:
    """Dependencies of the operator routes.

    :param count_streams: returns the number of online requests in flight or queued
    :param get_leaving: returns the names of targets that receive no new work
    :param get_unready_reasons: returns the reasons why the daemon is not ready
    :param request_drain: starts a graceful shutdown of the daemon
    """

    settings: settings.Settings
    cluster: tasks.ClusterTask
    loads: load_board.LoadTable
    history: history.RequestHistory
    count_streams: abc.Callable[[], int]
    get_leaving: abc.Callable[[], frozenset[str]]
    get_unready_reasons: abc.Callable[[], list[str]]
    request_drain: abc.Callable[[], None]


class AdminApi:
    """Handlers of the operator routes."""

    def __init__(self, dependencies: AdminDependencies) -> None:
        self._dependencies = dependencies

    def routes(self) -> list[app.Route]:
        """Return the routes; all require a key with the operator role."""
        role = types.Role.OPERATOR
        explain = "/admin/explain/<request_id>"
        return [
            app.Route("GET", "/admin/status", self._show_status, role=role),
            app.Route("GET", "/admin/services", self._list_services, role=role),
            app.Route("GET", "/admin/targets", self._list_targets, role=role),
            app.Route("POST", "/admin/drain", self._drain, role=role),
            app.Route("GET", explain, self._explain, role=role),
        ]

    def _show_status(self, call: app.Call) -> werkzeug.wrappers.Response:
        dependencies = self._dependencies
        session = dependencies.cluster.session()
        obstacles = dependencies.get_unready_reasons()
        members = [
            {
                "name": item.name,
                "zone": item.description.zone,
                "region": item.description.region,
                "state": item.state.name.lower(),
                "incarnation": item.incarnation,
            }
            for item in dependencies.cluster.members()
        ]
        return app.make_json_response(
            {
                "daemon": dependencies.settings.daemon.name,
                "zone": dependencies.settings.daemon.zone,
                "ready": not obstacles,
                "obstacles": obstacles,
                "revision": call.snapshot.revision,
                "session_epoch": session.epoch,
                "session_valid": session.is_valid,
                "open_streams": dependencies.count_streams(),
                "members": members,
            }
        )

    def _list_services(self, call: app.Call) -> werkzeug.wrappers.Response:
        rows = [
            {
                "name": service.name,
                "type": service.model.type,
                "models": [item.name for item in service.model.models],
                "organisations": list(service.model.organisations),
                "targets": len(service.targets),
            }
            for _, service in sorted(call.snapshot.services.items())
        ]
        return app.make_json_response(
            {"revision": call.snapshot.revision, "services": rows}
        )

    def _list_targets(self, call: app.Call) -> werkzeug.wrappers.Response:
        leaving = self._dependencies.get_leaving()
        rows = [
            self._describe_target(target, leaving)
            for _, service in sorted(call.snapshot.services.items())
            for target in service.targets
        ]
        return app.make_json_response({"targets": rows})

    def _describe_target(
        self, target: snapshot.Target, leaving: frozenset[str]
    ) -> dict[str, typing.Any]:
        report = self._dependencies.loads.load_report(target.name)
        state = "leaving" if target.name in leaving else "reported"
        if report is None and target.name not in leaving:
            state = "no report"
        return {
            "name": target.name,
            "service": target.service,
            "zone": target.zone,
            "address": str(target.address),
            "state": state,
            "running": report.running if report else None,
            "waiting": report.waiting if report else None,
            "slots": report.slots if report else target.slots,
            "checks_orders": target.checks_orders,
            "checks_fencing": target.checks_fencing,
        }

    def _drain(self, call: app.Call) -> werkzeug.wrappers.Response:
        self._dependencies.request_drain()
        name = self._dependencies.settings.daemon.name
        return app.make_json_response({"daemon": name, "draining": True}, status=202)

    def _explain(self, call: app.Call) -> werkzeug.wrappers.Response:
        request_id = str(call.arguments["request_id"])
        events = self._dependencies.history.find(request_id)
        if not events:
            name = self._dependencies.settings.daemon.name
            raise errors.NotFound(f"{name} has no record of {request_id}")
        rows = [
            {
                "time": datetime.datetime.fromtimestamp(
                    item.wall_ms / 1000, datetime.UTC
                ).isoformat(timespec="milliseconds"),
                "event": item.event,
                "detail": item.detail,
            }
            for item in events
        ]
        return app.make_json_response({"request_id": request_id, "events": rows})
