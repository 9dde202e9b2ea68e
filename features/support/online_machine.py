"""Front end and relay in this process, with engines as child processes."""

import contextlib
import hashlib
import random
import threading
import time

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.daemon import health
from endivevane.online import (
    contract,
    front,
    messages,
    relay,
    relay_settings,
    routing,
    scheduler,
)
from endivevane.web import app, server
from features.support import engine_caller
from standins import completions
from tools import ports, processes

MODEL = "small-lm"
KEY = "caller-key"
_OTHER_KEY = "other-key"


class Engine:
    """An engine stand-in that runs as a process."""

    def __init__(self, process, name, address):
        self.process = process
        self.name = name
        self.address = address

    def set_faults(self, **faults):
        status, _, _ = engine_caller.post(self.address, "/_control/faults", faults)
        assert status == 200

    def runs(self):
        return engine_caller.get(self.address, "/_record")[2]["runs"]


class Engines:
    """Starts and stops engine stand-ins."""

    def __init__(self):
        self._processes = processes.Processes()
        self._ports = ports.Ports()

    def start(self, count, *arguments):
        engines = []
        for index in range(count):
            address = self._ports.reserve_address()
            name = f"engine-{index}"
            line = ["--listen", address, "--model", MODEL, *arguments]
            process = self._processes.start("standins.engine", line, name)
            engines.append(Engine(process, name, address))
        for engine in engines:
            engine.process.wait_for_line("listening")
        return engines

    def close(self):
        self._processes.close()
        self._ports.release()


def make_snapshot(targets, online):
    """Return a configuration with one service.

    :param targets: addresses by name
    """
    listed = [
        {"name": name, "address": address, "zone": "zone-a", "slots": 64}
        for name, address in targets.items()
    ]
    model = {"name": MODEL, "adapters": ["tuned"]}
    documents = {
        "fleet": {"kind": "fleet", "zones": [{"name": "zone-a", "region": "west"}]},
        "services/small": {
            "kind": "service",
            "name": "small",
            "type": "model",
            "organisations": ["orchard"],
            "models": [model],
            "online": online,
            "targets": listed,
        },
    }
    for name, key in (("orchard", KEY), ("mirrors", _OTHER_KEY)):
        digest = hashlib.sha256(key.encode()).hexdigest()
        documents[f"organisations/{name}"] = {
            "kind": "organisation",
            "name": name,
            "keys": [{"id": "key-1", "sha256": digest}],
        }
    return snapshot.build_snapshot(1, documents)


def make_attempt(address):
    """Return an attempt whose target has the given address."""
    service = make_snapshot({"target": address}, {}).services["small"]
    request = contract.OnlineRequest(
        request_id="req-1",
        organisation="orchard",
        service=service,
        model=MODEL,
        priority=types.Priority.NORMAL,
        body={},
        is_streamed=True,
        is_deterministic=False,
        received_s=0.0,
        deadline_s=60.0,
        fingerprint="f",
    )
    return contract.Attempt("req-1.1", request, service.targets[0], 1, 0.0)


class Front:
    """HTTP server, routes and relay with a fixed configuration."""

    def __init__(
        self,
        targets,
        online=None,
        relay_limits=None,
        server_limits=None,
        region="west",
    ):
        self.snapshot = make_snapshot(targets, online or {})
        self.clock = clock.SystemClock()
        place = routing.Place("daemon-1", "zone-a", region)
        self.scheduler = scheduler.Scheduler(place, self.clock, random.Random(7))
        limits = relay_settings.RelaySettings(**(relay_limits or {}))
        self.relay = relay.RelayTask(
            limits, self.clock, self.scheduler, lambda message: None
        )
        routes = [*front.routes(self.relay), *health.routes(lambda: [])]
        settings = server.ServerSettings(
            types.Address("127.0.0.1", 0), **(server_limits or {})
        )
        application = app.Application(
            routes, lambda: self.snapshot, settings.max_body_bytes
        )
        self.server = server.HttpServer(settings, application)
        self.relay.post(messages.SnapshotChanged(self.snapshot))
        self.relay.start()
        self.server.start()
        self._is_stopped = False

    @property
    def address(self):
        return str(self.server.address)

    def drain(self, timeout_s):
        """Shut down gracefully; return whether all requests finished."""
        deadline_s = time.monotonic() + timeout_s
        is_answered = self.server.drain(deadline_s)
        return self.relay.drain(deadline_s) and is_answered

    def stop(self):
        if not self._is_stopped:
            self._is_stopped = True
            self.server.stop()
            self.relay.stop()


class Background:
    """Runs a function on a thread and stores its result or exception."""

    def __init__(self, function, *arguments):
        self._function = function
        self._arguments = arguments
        self._result = None
        self._error = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def is_running(self):
        return self._thread.is_alive()

    def result(self, timeout_s=20.0):
        self._thread.join(timeout_s)
        assert not self._thread.is_alive(), f"still running after {timeout_s} s"
        if self._error is not None:
            raise self._error
        return self._result

    def _run(self):
        try:
            self._result = self._function(*self._arguments)
        except Exception as error:
            self._error = error


def expected_text(prompt, tokens):
    return completions.expected_text(engine_caller.make_messages(prompt), tokens)


def close_quietly(item):
    with contextlib.suppress(OSError):
        item.close()
