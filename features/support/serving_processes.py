"""Daemon processes, with the store and the targets on an event loop of the test."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from features.support import serving_world
from standins import replica, row_store
from tools import ports

_START_S = 20.0
_PORTS = ports.Ports()


def find_free_ports(count):
    """Return ports that no other test run and no outgoing connection uses.

    They stay reserved until this process ends.
    """
    return [_PORTS.reserve() for _ in range(count)]


def make_fleet_configuration():
    """Return a configuration with a resumable and a batch route."""
    configuration = serving_world.make_configuration()
    configuration["routes"].append(
        {
            "name": "digest",
            "host": serving_world.HOST,
            "prefix": "/digest/",
            "kind": "batch",
            "timeoutMs": 4000,
            "goalMs": 400,
            "priority": 2,
            "service": "lm",
            "maxAttempts": 3,
            "completionTargetMs": 18000,
            "retentionS": 60,
            "cap": 100000,
        }
    )
    return configuration


class Loop:
    """An event loop on a thread, for stand-ins that run while steps block."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def begin(self, coroutine):
        """Run a coroutine; return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def run(self, coroutine, timeout_s=30):
        return self.begin(coroutine).result(timeout_s)

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class Daemon:
    """One daemon process.

    :ivar launcher: program and arguments that run the command of the process
    """

    launcher = ()

    def __init__(self, number, store_port, internal_port, folder):
        self.name = f"front-{number}"
        # All daemons use the same internal port, so each one has its own address.
        self.ip = f"127.0.0.{number + 1}"
        self.internal_port = internal_port
        ports = find_free_ports(3)
        self.port, self.ready_port, self.metrics_port = ports
        self.path = pathlib.Path(folder) / f"{self.name}.toml"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self.write_settings(store_port)
        self.process = None

    def write_settings(self, store_port):
        self.path.write_text(
            f'[vm]\nname = "{self.name}"\nip = "{self.ip}"\n'
            'availability_zone = "z1"\nregion = "near"\n'
            f'[listen]\nclients = "127.0.0.1:{self.port}"\n'
            f'readiness = "127.0.0.1:{self.ready_port}"\n'
            f"internal_port = {self.internal_port}\n"
            f"metrics_port = {self.metrics_port}\n"
            f'[store]\naddress = "127.0.0.1:{store_port}"\n'
            '[peers]\nseeds = ["127.0.0.2:1", "127.0.0.3:1"]\n'
            '[regions]\nz1 = "near"\n'
        )

    def start(self):
        # Appends, since a daemon may be stopped and started again.
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    *self.launcher,
                    sys.executable,
                    "-m",
                    "endivevane.entry.start",
                    "--config",
                    str(self.path),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": "src"},
            )

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready_port), 1) as item:
                item.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in item.recv(100)
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)


class Fleet:
    """A store, targets and daemons."""

    def __init__(self, targets, daemons, make_daemon=Daemon):
        self.loop = Loop()
        self.folder = tempfile.TemporaryDirectory()
        self.store = self.loop.run(self._make_store())
        self.replicas = [replica.Replica(f"i-{n}") for n in range(targets)]
        self._replacements = []
        self.configuration = make_fleet_configuration()
        self.loop.run(self._prepare())
        (internal_port,) = find_free_ports(1)
        self.daemons = [
            make_daemon(n + 1, self.store_port, internal_port, self.folder.name)
            for n in range(daemons)
        ]
        for item in self.daemons:
            item.start()
        self._wait_ready()

    async def _make_store(self):
        store = row_store.RowStore()
        self.store_port = await store.start()
        return store

    async def _prepare(self):
        self.store.write("op", "config", self.configuration)
        for item in self.replicas:
            await item.start()
            self.store.write("servers", item.name, item.describe("lm"))

    def _wait_ready(self):
        until_s = time.monotonic() + _START_S
        while time.monotonic() < until_s:
            if all(item.is_ready() for item in self.daemons):
                # Daemons learn of each other within one report interval.
                time.sleep(1.0)
                return
            time.sleep(0.05)
        logs = [item.log_path.read_text()[-2000:] for item in self.daemons]
        raise AssertionError(logs)

    def call(self, function, *arguments):
        """Call a function on the stand-ins' loop."""

        async def run():
            return function(*arguments)

        return self.loop.run(run())

    def set_manner(self, **manner):
        for item in self.replicas:
            for name, value in manner.items():
                setattr(item.manner, name, value)

    def restart_after_crashes(self, delay_s):
        """Replace each target that crashes by a new incarnation after a time."""

        async def replace(crashed):
            await asyncio.sleep(delay_s)
            self.store.write("servers", crashed.name, None)
            fresh = replica.Replica(f"{crashed.name}x")
            fresh.manner = crashed.manner
            fresh.on_crash = crashed.on_crash
            await fresh.start()
            self.replicas.append(fresh)
            self.store.write("servers", fresh.name, fresh.describe("lm"))

        def begin(crashed):
            self._replacements.append(asyncio.ensure_future(replace(crashed)))

        for item in self.replicas:
            item.on_crash = begin

    def ask(self, daemon, data, wait_s=10.0):
        return self.loop.run(
            serving_world.send_request(daemon.port, data, wait_s), timeout_s=wait_s + 5
        )

    def stop(self):
        for item in self.daemons:
            item.stop()
        with contextlib.suppress(TimeoutError):
            self.loop.run(self._stop_standins(), 10)
        self.loop.stop()
        self.folder.cleanup()

    async def _stop_standins(self):
        for item in self._replacements:
            item.cancel()
        for item in self.replicas:
            await item.stop()
        await self.store.stop()


def make_job(job_id, count, wait_ms=4000):
    """Return the bytes of a submission."""
    items = [
        {
            "id": f"{job_id}item{number}",
            "path": f"/digest/{number}",
            "headers": {"Model": "m", "Token-Usage": "10,20"},
            "body": base64.b64encode(f"item {number}".encode()).decode(),
            "tokens": 30,
        }
        for number in range(count)
    ]
    body = json.dumps({"items": items}).encode()
    extra = ("Content-Type: application/json", f"Deadline-Ms: {wait_ms}")
    return serving_world.make_request("/digest/" + job_id, job_id, body, extra)


def make_call(method, path):
    """Return the bytes of a call on a job."""
    return f"{method} {path} HTTP/1.1\r\nHost: {serving_world.HOST}\r\n\r\n".encode()


def send_signal(daemon, number=signal.SIGTERM):
    daemon.process.send_signal(number)
