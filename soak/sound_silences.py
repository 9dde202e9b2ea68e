"""Sound targets that are silent for a while, beside planned work of the daemons.

No fault of this kind is a reason to end a request, so each one must have its whole
response or be told that it has not run.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections import abc

from features.support import impatient_client, serving_world
from soak import callers, environment, faults
from standins import replica

# Clients abandon a stream after 2 s without an event.
_SILENCE_S = (0.5, 1.8)
# From the end of a target's silence to its next one.
_PAUSE_S = 1.0
_GAP_S = 0.04
_WHOLE_S = 0.1
_TIMEOUT_MS = 4000
_CHANGED_TIMEOUT_MS = 3800
# Time for the daemons to follow the configuration.
_FOLLOW_S = 1.0
_CALLERS = 12
_CALLER_PAUSE_S = (0.0, 0.1)
_WHOLE_PREFIX = "/safe/"
# Streams that may be moved to a second target.
_MOVABLE_PREFIX = "/quote/"
_PREFIXES = (_MOVABLE_PREFIX, "/once/", "/one/", _WHOLE_PREFIX)
_OTHER_SERVICE = "other"
_WHOLE_BODY = b"plain body"
# Statuses that tell a client that its request has not run.
_NOT_RUN = (429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A time in which a target sends nothing, on the monotonic clock."""

    target: str
    start_s: float
    end_s: float


class SoundSilences:
    """Silences of targets, and planned work of the daemons beside them."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env
        self._sound_from_s: dict[str, float] = {}
        self.silences: list[Silence] = []
        self._stopping: set[str] = set()
        self.kinds: abc.Mapping[str, faults.Fault] = {
            "target silent": self._silence_target,
            "all targets silent": self._silence_all,
            "configuration changed": self._change_configuration,
            "daemon reloads": faults.FAULTS["daemon reloads"],
            "daemon stopped": self._stop_daemon,
        }

    async def prepare(self) -> None:
        """Add routes and a second service, and let all targets respond slowly."""
        configuration = self._env.configuration
        base = configuration["routes"][0]
        configuration["routes"] += [
            {**base, "name": "one", "prefix": "/one/", "maxAttempts": 1},
            {
                **base,
                "name": "safe",
                "prefix": _WHOLE_PREFIX,
                "kind": "safe",
                "maxAttempts": 1,
            },
        ]
        for route in configuration["routes"]:
            route["timeoutMs"] = _TIMEOUT_MS
        configuration["services"].append(
            {**configuration["services"][0], "name": _OTHER_SERVICE}
        )
        await self._env.add_target(_OTHER_SERVICE)
        for item in self._env.replicas:
            item.manner.gap_s, item.manner.first_s = _GAP_S, _WHOLE_S
            item.manner.plain_prefixes = (_WHOLE_PREFIX,)
        self._write_configuration()
        await asyncio.sleep(_FOLLOW_S)

    def _write_configuration(self) -> None:
        self._env.configuration["version"] += 1
        self._env.store.write("op", "config", self._env.configuration)

    async def _silence_target(
        self, env: environment.Environment, generator: random.Random, duration_s: float
    ) -> None:
        self._silence(generator.choice(env.replicas), generator.uniform(*_SILENCE_S))

    async def _silence_all(
        self, env: environment.Environment, generator: random.Random, duration_s: float
    ) -> None:
        silence_s = generator.uniform(*_SILENCE_S)
        for item in env.replicas:
            self._silence(item, silence_s)

    def _silence(self, item: replica.Replica, silence_s: float) -> None:
        """Let a target fall silent, unless it has just been."""
        now_s = time.monotonic()
        if now_s < self._sound_from_s.get(item.name, 0.0):
            return
        self._sound_from_s[item.name] = now_s + silence_s + _PAUSE_S
        self.silences.append(Silence(item.name, now_s, now_s + silence_s))
        item.fall_silent(silence_s)

    async def _change_configuration(
        self, env: environment.Environment, generator: random.Random, duration_s: float
    ) -> None:
        """Change a part of the configuration that lets all requests be served."""
        configuration = env.configuration
        routes = {route["name"]: route for route in configuration["routes"]}
        part = generator.choice(("timeout", "idle", "service", "weights", "route"))
        if part == "timeout":
            timeout_ms = generator.choice((_TIMEOUT_MS, _CHANGED_TIMEOUT_MS))
            for route in routes.values():
                route["timeoutMs"] = timeout_ms
        if part == "idle":
            configuration["limits"]["idleTimeoutMs"] = generator.choice((1000, 30000))
        if part == "service":
            services = (environment.SERVICE, _OTHER_SERVICE)
            routes["one"]["service"] = generator.choice(services)
        if part == "weights":
            routes["quote"].pop("service", None)
            routes["quote"]["trafficSplit"] = [
                {"service": environment.SERVICE, "weight": generator.randint(1, 3)},
                {"service": _OTHER_SERVICE, "weight": generator.randint(1, 3)},
            ]
        if part == "route" and "extra" in routes:
            configuration["routes"].remove(routes["extra"])
        elif part == "route":
            extra = {**routes["once"], "name": "extra", "prefix": "/extra/"}
            configuration["routes"].append(extra)
        self._write_configuration()

    async def _stop_daemon(
        self, env: environment.Environment, generator: random.Random, duration_s: float
    ) -> None:
        """Stop a daemon and start it again; the others go on meanwhile."""
        running = [item for item in env.daemons if item.name not in self._stopping]
        if len(running) < len(env.daemons):
            return
        daemon = generator.choice(running)
        self._stopping.add(daemon.name)
        daemon.process.terminate()
        await asyncio.to_thread(daemon.process.wait)
        daemon.start()
        self._stopping.discard(daemon.name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A request that a client has sent."""

    prefix: str
    attempt: str
    daemon: str
    sent_s: float


class SilenceCallers:
    """Clients that expect a whole response or a refusal that holds."""

    def __init__(
        self,
        env: environment.Environment,
        report: callers.Report,
        silences: list[Silence],
        began_s: float,
    ) -> None:
        self._env = env
        self._report = report
        self._silences = silences
        self._began_s = began_s
        self._refused: list[_Sent] = []

    async def run(self, seed: int, end_s: float) -> None:
        """Send requests until a point in time, and check the refusals at the end."""
        await asyncio.gather(
            *(
                self._send_requests(random.Random(f"{seed} silence {number}"), end_s)
                for number in range(_CALLERS)
            )
        )
        ran = {run.attempt for run in self._env.list_runs()}
        for sent in self._refused:
            if sent.attempt in ran:
                self._report.violations.append(f"REFUSED {sent}: but it has run")

    async def _send_requests(self, generator: random.Random, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            prefix = generator.choice(_PREFIXES)
            attempt = f"{generator.getrandbits(48):012x}"
            daemon = generator.choice(self._env.daemons)
            sent = _Sent(prefix, attempt, daemon.name, loop.time() - self._began_s)
            data = serving_world.make_request(
                f"{prefix}{attempt}", attempt, extra=(f"Deadline-Ms: {_TIMEOUT_MS}",)
            )
            is_stream = prefix != _WHOLE_PREFIX
            response = await impatient_client.send_request(daemon.port, data, is_stream)
            self._check(sent, response)
            await asyncio.sleep(generator.uniform(*_CALLER_PAUSE_S))

    def _check(self, sent: _Sent, response: impatient_client.Response) -> None:
        """Count a response, and record what is neither whole nor a true refusal."""
        report = self._report
        if not response.is_sent:
            return
        if response.status == 200 and response.is_complete:
            report.served += 1
            if response.body != _expect(sent):
                report.violations.append(f"MIXED {sent}: {response.body!r}")
            return
        if response.status in _NOT_RUN:
            report.refused += 1
            self._refused.append(sent)
            return
        report.failed += 1
        if not self._met_two_silences(sent, response):
            report.violations.append(f"LOST {sent}: {response.describe()}")

    def _met_two_silences(
        self, sent: _Sent, response: impatient_client.Response
    ) -> bool:
        """Return whether a client has left a stream that may have met two silences.

        A stream that was moved to a second target, which is silent too, is not ended by
        its daemon; which target goes on first can't be known.
        """
        if not response.is_abandoned or sent.prefix != _MOVABLE_PREFIX:
            return False
        sent_s = self._began_s + sent.sent_s
        met = {item.target for item in self._silences if item.end_s > sent_s}
        return len(met) > 1


def _expect(sent: _Sent) -> bytes:
    if sent.prefix == _WHOLE_PREFIX:
        return _WHOLE_BODY
    return b"".join(
        replica.make_event(sent.attempt, number)
        for number in range(1, environment.EVENTS + 1)
    )
