"""Inspection of a deployment through the platform's store."""

from __future__ import annotations

import dataclasses
import time

from endivevane import exceptions, logs
from endivevane.entry import membership
from endivevane.platform import records, table_store
from endivevane.quarantine import rows as quarantine_rows
from endivevane.serving import full_read, http_client, jobs, model, store

_CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """A daemon as it registered at its last start.

    :param cores: processor share of its VM
    """

    name: str
    region: str
    address: str
    incarnation: str
    cores: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """A registered target.

    :param version: version of its software, empty if it names none
    :param problem: why the registration is invalid, empty if it is valid
    """

    name: str
    service: str = ""
    zone: str = ""
    address: str = ""
    slots: int = 0
    state: str = ""
    version: str = ""
    problem: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteView:
    """A route of the configuration in force."""

    name: str
    host: str
    prefix: str
    kind: str
    services: str
    timeout_s: float
    objective_s: float
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A batch job.

    :param due_in_s: time until it is due, negative once that has passed
    :param failed_runs: failed runs of its unfinished items
    """

    job_id: str
    route: str
    state: str
    owner: str
    listed: int
    total: int
    due_in_s: float
    failed_runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineView:
    """Traits of requests that are refused since they crash targets.

    :param traits: prompt segments, or the fingerprint of a single request
    :param tries: requests that were tried since the decision
    :param retry_in_s: time until the next try, negative once it is due
    """

    traits: str
    tries: int
    age_s: float
    retry_in_s: float


class FleetReader:
    """Reads the rows of daemons, targets, routes, jobs and quarantines; read-only.

    :param host: host of the store
    :param port: port of the store
    """

    def __init__(self, host: str, port: int) -> None:
        endpoint = http_client.Endpoint(host, port)
        pool = http_client.ConnectionPool(_CONNECT_TIMEOUT_S)
        self._store = table_store.TableStore(pool, lambda: [endpoint])

    async def read_members(self) -> list[MemberView]:
        """Return the daemons, including those that have stopped since.

        :raises failures.StoreFailure: when the store does not answer
        """
        members = []
        for row in await self._read_state(jobs.MEMBER_PREFIX):
            name = row.row_key.key.removeprefix(jobs.MEMBER_PREFIX)
            try:
                member = membership.decode_member(name, row.value or b"")
            except exceptions.ProtocolError as error:
                logs.warning("member_row_unreadable", member=name, cause=error)
                continue
            address = f"{member.host}:{member.port}"
            members.append(
                MemberView(
                    name, member.region, address, member.incarnation, member.weight
                )
            )
        return members

    async def read_targets(self) -> list[TargetView]:
        """Return the registered targets, including those with invalid registrations.

        :raises failures.StoreFailure: when the store does not answer
        """
        page = await full_read.read_all(self._store, records.TARGETS_TABLE, "")
        return [_view_target(row) for row in page.rows]

    async def read_configuration(self) -> model.Configuration | None:
        """Return the configuration in force, ``None`` if there is none yet.

        :raises failures.StoreFailure: when the store does not answer
        :raises exceptions.ProtocolError: when it is invalid
        """
        content = await self.read_configuration_content()
        return None if content is None else records.decode_configuration(content)

    async def read_configuration_content(self) -> bytes | None:
        """Return the configuration in force as it is stored, ``None`` for none.

        :raises failures.StoreFailure: when the store does not answer
        """
        page = await full_read.read_all(self._store, records.CONFIGURATION_TABLE, "")
        for row in page.rows:
            if row.row_key.key == records.CONFIGURATION_KEY and row.value is not None:
                return row.value
        return None

    async def read_jobs(self) -> list[JobView]:
        """Return the batch jobs, sorted by due time.

        :raises failures.StoreFailure: when the store does not answer
        """
        views = []
        for row in await self._read_state(jobs.JOB_PREFIX):
            try:
                views.append(_view_job(jobs.decode_job(row.value or b"")))
            except ValueError as error:
                logs.warning("job_row_unreadable", row=row.row_key.key, cause=error)
        views.sort(key=lambda view: view.due_in_s)
        return views

    async def read_quarantines(self) -> list[QuarantineView]:
        """Return the quarantines that the store holds.

        :raises failures.StoreFailure: when the store does not answer
        """
        views = []
        now_ms = time.time() * 1000
        for row in await self._read_state(quarantine_rows.ROW_PREFIX):
            entry_id = row.row_key.key.removeprefix(quarantine_rows.ROW_PREFIX)
            try:
                stored = quarantine_rows.decode(entry_id, row.value or b"")
            except exceptions.ProtocolError as error:
                logs.warning("quarantine_row_unreadable", entry=entry_id, cause=error)
                continue
            views.append(
                QuarantineView(
                    traits=",".join(stored.traits),
                    tries=stored.tries,
                    age_s=round((now_ms - stored.decided_ms) / 1000, 1),
                    retry_in_s=round((stored.retry_ms - now_ms) / 1000, 1),
                )
            )
        return views

    async def _read_state(self, prefix: str) -> tuple[store.Row, ...]:
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        page = await full_read.read_all(
            self._store, jobs.STATE_TABLE, jobs.PARTITION, prefix, end
        )
        return page.rows


def view_route(route: model.Route) -> RouteView:
    """Return the view of a route for operators."""
    services = ",".join(
        f"{service.name}:{service.weight:g}" for service in route.services
    )
    return RouteView(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=route.kind.value,
        services=services,
        timeout_s=route.timeout_s,
        objective_s=route.objective_s,
        attempts=route.max_attempts,
    )


def _view_target(row: store.Row) -> TargetView:
    name = row.row_key.key
    try:
        target = records.decode_target(name, row.value or b"")
    except exceptions.ProtocolError as error:
        return TargetView(name, problem=error.format_message())
    return TargetView(
        name=name,
        service=target.service,
        zone=target.availability_zone,
        address=f"{target.host}:{target.port}",
        slots=target.slots,
        state="leaving" if target.is_draining else "ready",
        version=target.version,
    )


def _view_job(job: jobs.Job) -> JobView:
    return JobView(
        job_id=job.job_id,
        route=job.route,
        state=job.state.value,
        owner=job.owner,
        listed=job.listed,
        total=job.total,
        due_in_s=round(job.due_ms / 1000.0 - time.time(), 1),
        failed_runs=sum(job.failed_runs.values()),
    )
