"""A large configuration that the operator changes dozens of times in a soak test.

What clients and targets saw tells by which versions a request may have been handled.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import subprocess
import time

from soak import callers, disturbances, environment, faults, settled_reads
from standins import row_store

# Long enough for several fault windows with 5 s without faults between them.
DURATION_S = 24.0
_ROUTE_COUNT = 1400
_OTHER_SERVICE = "other"
_TIMEOUTS_MS = (2500, 3000)
_BURST_CHANGES = (3, 8)
_BURST_S = 1.0
_BURST_PAUSE_S = (1.0, 3.0)
_RECENT_ROUTES = 12
_CLIENTS = 12
_CLIENT_PAUSE_S = (0.0, 0.1)
_JOB_READERS = 3
_WINDOW_S = (1.0, 2.5)
_CALM_S = (6.5, 9.5)
# A version is in force at undisturbed daemons after this time.
_APPLY_S = 4.0
# Requests that were sent close together may be handled in any order.
_ORDER_S = 0.25
_NO_ROUTE = ""
_STORE_FAULTS, _DAEMON_FAULTS = (
    {name: fault for name, fault in faults.FAULTS.items() if name.startswith(part)}
    for part in ("store ", "daemon ")
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """A version of the configuration, and the service of each route by prefix."""

    number: int
    acked_s: float
    services: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class _Handled:
    """A request whose response or run shows by which route it was handled.

    :ivar process: process of the daemon that handled it
    :ivar service: service whose target ran it, ``_NO_ROUTE`` after a 404
    :ivar shown_s: when a target or the client saw that
    :ivar is_stable: whether rules with a time bound hold for the daemon
    """

    request: str
    prefix: str
    process: subprocess.Popen[bytes]
    service: str
    sent_s: float
    shown_s: float
    is_stable: bool


class ConfigurationChanges:
    """The operator, the faults beside its changes, and the clients that check them."""

    def __init__(self, env: environment.Environment, report: callers.Report) -> None:
        self._env = env
        self._report = report
        self._routes: list[dict] = env.configuration["routes"]
        self._fixed_routes = len(self._routes)
        self._added = 0
        self._versions: list[_Version] = []
        self._recent: collections.deque[str] = collections.deque(maxlen=_RECENT_ROUTES)
        self._handled: list[_Handled] = []

    async def prepare(self, route_count: int = _ROUTE_COUNT) -> None:
        """Add the routes and a second service; the daemons count as just started."""
        with self._env.disturbances.record(disturbances.ALL_DAEMONS):
            self._write()
            services = self._env.configuration["services"]
            services.append({**services[0], "name": _OTHER_SERVICE})
            await self._env.add_target(_OTHER_SERVICE)
            self._other_target = self._env.replicas[-1]
            for _ in range(route_count):
                self._add_route()
            self._write()

    async def run(self, seed: int, end_s: float, deadline_s: float) -> list[str]:
        """Change the configuration beside faults, check, and return their names."""
        work = [self._change(random.Random(f"{seed} operator"), end_s)]
        for number in range(_CLIENTS):
            generator = random.Random(f"{seed} change {number}")
            work.append(self._send_requests(generator, end_s))
        for number in range(_JOB_READERS):
            generator = random.Random(f"{seed} reader {number}")
            work.append(self._read_jobs(generator, end_s, deadline_s))
        names, *_ = await asyncio.gather(
            self._inject(random.Random(f"{seed} faults"), end_s), *work
        )
        self._check()
        return names

    async def _inject(self, generator: random.Random, end_s: float) -> list[str]:
        """Inject faults of the store or of daemons, with calm times between."""
        names: list[str] = []
        while True:
            calm_s = generator.uniform(*_CALM_S)
            await asyncio.sleep(min(calm_s, max(0.0, end_s - time.monotonic())))
            until_s = time.monotonic() + generator.uniform(*_WINDOW_S)
            if until_s > end_s:
                return names
            if generator.random() < 0.5:
                kinds = {**_DAEMON_FAULTS, "store connections broken": _break_link}
                names += await faults.inject(self._env, generator, until_s, kinds)
                continue
            with self._env.disturbances.record(disturbances.ALL_DAEMONS):
                kinds = _STORE_FAULTS
                names += await faults.inject(self._env, generator, until_s, kinds)
                # Counts of faults may be left over; late transactions are still due.
                late_s = self._env.store.faults.late_s
                self._env.store.faults = row_store.StoreFaults()
                await asyncio.sleep(late_s)

    def _add_route(self) -> str:
        self._added += 1
        name = f"changed-{self._added}"
        self._routes.append({**self._routes[0], "name": name, "prefix": f"/{name}/"})
        return f"/{name}/"

    def _write(self) -> None:
        """Write the next version, and keep which route leads to which service."""
        configuration = self._env.configuration
        configuration["version"] += 1
        self._env.store.write("op", "config", configuration)
        services = {route["prefix"]: route["service"] for route in self._routes}
        version = _Version(configuration["version"], time.monotonic(), services)
        self._versions.append(version)

    async def _change(self, generator: random.Random, end_s: float) -> None:
        """Change the configuration in bursts until a point in time."""
        while time.monotonic() < end_s:
            count = generator.randint(*_BURST_CHANGES)
            for _ in range(count):
                self._recent.append(self._change_route(generator))
                self._write()
                await asyncio.sleep(generator.uniform(0.0, _BURST_S / count))
            await asyncio.sleep(generator.uniform(*_BURST_PAUSE_S))

    def _change_route(self, generator: random.Random) -> str:
        """Change one route, at times one that was changed before; return its prefix."""
        routes = self._routes[self._fixed_routes :]
        recent = [route for route in routes if route["prefix"] in self._recent]
        if recent and generator.random() < 0.5:
            routes = recent
        route = generator.choice(routes)
        kind = generator.choice(("add", "remove", "move", "timeout"))
        if kind == "add":
            return self._add_route()
        if kind == "remove":
            self._routes.remove(route)
        if kind == "move":
            is_moved = route["service"] == _OTHER_SERVICE
            route["service"] = environment.SERVICE if is_moved else _OTHER_SERVICE
        if kind == "timeout":
            (route["timeoutMs"],) = {*_TIMEOUTS_MS} - {route["timeoutMs"]}
        return route["prefix"]

    async def _read_jobs(
        self, generator: random.Random, end_s: float, deadline_s: float
    ) -> None:
        """Run jobs one after the other until a point in time."""
        while time.monotonic() < end_s:
            reader = settled_reads.TurnReader(self._env, self._report, generator)
            await reader.run(deadline_s)

    async def _send_requests(self, generator: random.Random, end_s: float) -> None:
        """Request routes that were changed a short time ago."""
        while time.monotonic() < end_s:
            await asyncio.sleep(generator.uniform(*_CLIENT_PAUSE_S))
            if self._recent:
                await self._send(generator, generator.choice(self._recent))

    async def _send(self, generator: random.Random, prefix: str) -> None:
        """Request a route, and keep by which service it was handled."""
        attempt = f"{generator.getrandbits(48):012x}"
        daemon = generator.choice(self._env.daemons)
        process, sent_s = daemon.process, time.monotonic()
        response = await callers.send_stream(daemon, prefix, attempt)
        runs = [run for run in self._env.list_runs() if run.attempt == attempt]
        shown_s = min((run.started_s for run in runs), default=time.monotonic())
        service = environment.SERVICE if runs else _NO_ROUTE
        if any(run.attempt == attempt for run in self._other_target.runs):
            service = _OTHER_SERVICE
        if response.status == 404:
            self._report.refused += 1
        else:
            callers.check_stream_response(
                self._env, self._report, prefix, attempt, response
            )
        # A process that was replaced meanwhile may or may not have handled the request.
        if daemon.process is not process or not (runs or response.status == 404):
            return
        is_stable = self._env.disturbances.is_stable(daemon.name, sent_s)
        request = f"{attempt} of {prefix} at {daemon.name}"
        self._handled.append(
            _Handled(request, prefix, process, service, sent_s, shown_s, is_stable)
        )

    def _check(self) -> None:
        """Check by which versions the requests were handled."""
        # When a process has shown which version was in force, at least.
        shown = collections.defaultdict(list)
        for item in sorted(self._handled, key=lambda item: item.sent_s):
            due = sum(v.acked_s + _APPLY_S < item.sent_s for v in self._versions) - 1
            if item.is_stable:
                self._check_version("CONFIG", item, due)
            earlier = shown[item.process]
            seen = [index for at_s, index in earlier if at_s + _ORDER_S < item.sent_s]
            floor = max(seen, default=0)
            if (index := self._check_version("CONFIG BACK", item, floor)) is not None:
                earlier.append((item.shown_s, index))

    def _check_version(self, rule: str, item: _Handled, due: int) -> int | None:
        """Return the first version from a due one on that allows how it was handled."""
        allowing = [
            index
            for index, version in enumerate(self._versions)
            if version.acked_s <= item.shown_s
            and version.services.get(item.prefix, _NO_ROUTE) == item.service
        ]
        for index in allowing:
            if index >= due:
                return index
        latest = [self._versions[index].number for index in allowing[-1:]]
        self._report.violations.append(
            f"{rule} {item.request}, sent at {item.sent_s:.3f}, service "
            f"{item.service!r}: handled by version {latest} or older, and not by "
            f"{self._versions[due].number}, acked at {self._versions[due].acked_s:.3f}"
        )
        return None


async def _break_link(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    """Break the connections of one daemon to the store."""
    number = generator.randrange(len(env.daemons))
    with env.disturbances.record(env.daemons[number].name):
        env.store_links[number].reset()
