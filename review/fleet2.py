"""A small deployment on loopback: daemons as the deploy file starts them, stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import replica2 as replica
import store2 as store
import wire2 as wire

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
HOST = "shop.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
_START_S = 25.0


class NotRun(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def add(self, *words: object) -> None:
        """Write a line with the time since the start."""
        passed_s = time.monotonic() - self._began_s
        line = " ".join(str(word) for word in words)
        self._file.write(f"{passed_s:8.3f} {line}\n")
        self._file.flush()

    def conclude(self, line: str) -> None:
        """Write a line and show it."""
        self.add(line)
        print(line)


def find_free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free at all addresses."""
    found: list[int] = []
    held: list[socket.socket] = []
    while len(found) < count:
        first = socket.socket()
        first.bind((hosts[0], 0))
        port = first.getsockname()[1]
        held.append(first)
        try:
            for host in hosts[1:]:
                item = socket.socket()
                held.append(item)
                item.bind((host, port))
        except OSError:
            continue
        found.append(port)
    for item in held:
        item.close()
    return found


class Daemon:
    """One daemon process, with settings as the template of the deploy file gives."""

    def __init__(
        self, number: int, ports: list[int], store_port: int, folder: str, memory_mb: int
    ) -> None:
        self.name = f"front-z1-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.front, self.ready, self.internal, self.metrics = ports
        self.path = pathlib.Path(folder) / f"{self.name}.toml"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self.path.write_text(
            f'[vm]\nname = "{self.name}"\nip = "{self.ip}"\n'
            'availability_zone = "z1"\nregion = "willamette"\n'
            f"core_share = 0.717\ncore_speed = 3\nmemory_mb = {memory_mb}\n"
            f'[listen]\nclients = "{self.ip}:{self.front}"\n'
            f'readiness = "{self.ip}:{self.ready}"\n'
            f"internal_port = {self.internal}\nmetrics_port = {self.metrics}\n"
            f'[store]\naddress = "127.0.0.1:{store_port}"\n'
            '[peers]\nseeds = []\n[stopping]\ngrace_s = 8\n[retention]\njob_s = 120\n'
            '[regions]\nz1 = "willamette"\n'
        )

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        program = shutil.which(command[0]) or sys.executable
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "ENDIVEVANE_SETTINGS": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [program, *command[1:]],
                cwd=REPOSITORY,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=variables,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.is_running:
            self.process.kill()
            self.process.wait(5)

    def measure_memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None or not self.is_running:
            return 0.0
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Ask as the platform does whether clients may be sent here."""
        answer = await wire.call(
            self.ip, self.ready, "GET", "/api/ready", {"Host": "x"}, wait_s=1.0
        )
        return answer.status == 200


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 5000,
        "goalMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 3,
        **fields,
    }


class Fleet:
    """Daemons, the store and replicas of one service."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self.store = store.Store()
        self.daemons: list[Daemon] = []
        self.replicas: list[replica.Replica] = []
        self._folder = tempfile.TemporaryDirectory()

    async def start(
        self,
        routes: list[dict],
        service: str,
        daemons: int = 3,
        replicas: int = 3,
        slots: int = 8,
        memory_mb: int = 340,
    ) -> None:
        """Start everything and wait until all daemons are ready."""
        if not (REPOSITORY / "target/deps").is_dir():
            raise NotRun("target/deps is missing: run the build of deploy/system.toml")
        await self.store.start()
        configuration = {
            "version": 1,
            "routes": routes,
            "services": [
                {"name": service, "healthPath": "/health", "maxConns": 360, "engine": {}}
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.write("op", "config", configuration)
        for number in range(replicas):
            item = replica.Replica(f"i-{number + 1}", slots, self.record.add)
            await item.start()
            self.replicas.append(item)
            self.store.write("servers", item.name, item.describe(service))
        hosts = [f"127.0.0.{11 + number}" for number in range(daemons)]
        ports = find_free_ports(hosts, 4)
        for number in range(daemons):
            daemon = Daemon(
                number + 1, ports, self.store.port, self._folder.name, memory_mb
            )
            self.daemons.append(daemon)
            daemon.start()
        until_s = time.monotonic() + _START_S
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until_s or not daemon.is_running:
                    raise NotRun(f"{daemon.name}: {daemon.log_path.read_text()[-800:]}")
                await asyncio.sleep(0.1)
        self.record.add("all daemons are ready")
        await asyncio.sleep(3.0)

    async def call(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        headers: dict,
        body: bytes = b"",
        wait_s: float = 6.0,
    ) -> wire.Message:
        """Call a daemon as a client, on a new connection."""
        return await wire.call(
            daemon.ip,
            daemon.front,
            method,
            path,
            {"Host": HOST, **headers},
            body,
            wait_s,
        )

    async def submit(
        self, daemon: Daemon, route: str, job: str, items: list, wait_ms: int = 4000
    ) -> wire.Message:
        """Hand in a batch job and record the answer."""
        body = json.dumps({"items": items}).encode()
        answer = await self.call(
            daemon,
            "POST",
            f"/{route}/{job}",
            {
                "Attempt-Id": job,
                "Content-Type": "application/json",
                "Deadline-Ms": wait_ms,
            },
            body,
            wait_ms / 1000 + 1.5,
        )
        self.record.add("job", job, len(body), "bytes", daemon.name, answer.status)
        return answer

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for daemon in self.daemons:
            daemon.kill()
        for item in self.replicas:
            item.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder.name, keep, dirs_exist_ok=True)
        self._folder.cleanup()


def run(folder: pathlib.Path, play) -> int:
    """Play a case; return its exit code."""

    async def play_in_fleet() -> int:
        fleet = Fleet(folder)
        task = asyncio.current_task()
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await play(fleet)
        except (Exception, asyncio.CancelledError) as error:
            fleet.record.conclude(f"could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            fleet.stop()

    return asyncio.run(play_in_fleet())


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
