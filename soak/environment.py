"""The store, the targets behind faulty proxies, and the daemons of the soak test."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile
import time
from collections import abc

from features.support import serving_processes, serving_world
from soak import disturbances, proxy
from standins import replica, row_store

_DAEMON_COUNT = 3
_TARGET_COUNT = 3
_START_TIMEOUT_S = 20.0
EVENTS = 12
SERVICE = "lm"


class Environment:
    """Starts and stops everything that the soak test runs.

    :ivar store_links: the way of each daemon to the store
    :ivar disturbances: when faults disturb which daemons
    :ivar target_version: software version of the targets that are added
    :ivar on_target_added: called with each target before it is registered
    """

    def __init__(self) -> None:
        self.store = row_store.RowStore()
        self.replicas: list[replica.Replica] = []
        self.stopped_replicas: list[replica.Replica] = []
        self.proxies: list[proxy.FaultyProxy] = []
        self.daemons: list[serving_processes.Daemon] = []
        self.store_links: list[proxy.FaultyProxy] = []
        self.disturbances = disturbances.Disturbances()
        self.configuration = serving_processes.make_fleet_configuration()
        self.configuration["routes"].append(
            {
                **self.configuration["routes"][0],
                "name": "once",
                "prefix": "/once/",
                "resumable": False,
            }
        )
        self.target_version = "v1"
        self.on_target_added: abc.Callable[[replica.Replica], None] | None = None
        self._folder = tempfile.TemporaryDirectory()
        self._started = 0

    async def start(self) -> None:
        """Start all components and wait until the daemons are ready."""
        store_port = await self.store.start()
        self.store.write("op", "config", self.configuration)
        for _ in range(_TARGET_COUNT):
            await self.add_target()
        (internal_port,) = serving_processes.find_free_ports(1)
        for number in range(_DAEMON_COUNT):
            link = proxy.FaultyProxy(store_port)
            await link.start()
            self.store_links.append(link)
            daemon = serving_processes.Daemon(
                number + 1, link.port, internal_port, self._folder.name
            )
            self.daemons.append(daemon)
        for daemon in self.daemons:
            daemon.start()
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while not await asyncio.to_thread(self._are_ready):
            if time.monotonic() > deadline_s:
                raise TimeoutError(self.read_logs()[-2000:])
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the daemons, by their own handles, and the stand-ins."""
        for daemon in self.daemons:
            daemon.stop()
        for item in (*self.replicas, *self.proxies, *self.store_links):
            await item.stop()
        await self.store.stop()
        self._folder.cleanup()

    async def replace_target(self, number: int) -> None:
        """Crash a target and start a new one."""
        removed = self.replicas.pop(number)
        self.stopped_replicas.append(removed)
        await removed.stop()
        await self.proxies.pop(number).stop()
        self.store.write("servers", removed.name, None)
        await self.add_target()

    def change_configuration(self, generator: random.Random) -> None:
        """Write the next version, with one route added or removed."""
        routes = self.configuration["routes"]
        if routes[-1]["name"] == "extra":
            routes.pop()
        elif generator.random() < 0.8:
            routes.append({**routes[0], "name": "extra", "prefix": "/extra/"})
        self.configuration["version"] += generator.randint(1, 5)
        self.store.write("op", "config", self.configuration)

    def list_runs(self) -> list[replica.Run]:
        """Return the runs of all targets, including replaced ones."""
        return [
            run
            for item in (*self.stopped_replicas, *self.replicas)
            for run in item.runs
        ]

    def read_logs(self) -> str:
        """Return the logs of the daemons."""
        paths = sorted(pathlib.Path(self._folder.name).glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()}" for path in paths)

    def _are_ready(self) -> bool:
        return all(daemon.is_ready() for daemon in self.daemons)

    async def add_target(self, service: str = SERVICE) -> None:
        """Start a target behind a proxy and register it."""
        self._started += 1
        item = replica.Replica(f"i-{self._started}", self.target_version)
        item.manner.events, item.manner.gap_s = EVENTS, 0.02
        if self.on_target_added is not None:
            self.on_target_added(item)
        await item.start()
        before = proxy.FaultyProxy(item.port)
        await before.start()
        self.replicas.append(item)
        self.proxies.append(before)
        entry = {**item.describe(service), "address": f"127.0.0.1:{before.port}"}
        self.store.write("servers", item.name, entry)


def make_stream(prefix: str, attempt: str) -> bytes:
    """Return the bytes of an online request."""
    return serving_world.make_request(
        f"{prefix}{attempt}", attempt, b"hello", ("Deadline-Ms: 3000",)
    )
