"""Clients of daemon processes whose targets are silent for a while and go on."""

import asyncio
import collections
import dataclasses
import itertools
import time

from features.support import impatient_client, serving_world
from standins import replica

EVENTS = 30
GAP_S = 0.04
SERVICE = "lm"
_WHOLE_S = 0.1
_WHOLE_BODY = b"plain body"
_TIMEOUT_MS = 6000
_INTERVAL_S = 0.06
# Statuses that tell a client that its request has not run.
_NOT_RUN = (429, 503)
_WHOLE_PREFIXES = ("/safe-one/", "/safe-two/", "/unsafe/")
_STREAM_PREFIXES = ("/one/", "/two/", "/once/")
_PREFIXES = tuple(
    itertools.chain.from_iterable(zip(_STREAM_PREFIXES, _WHOLE_PREFIXES, strict=True))
)
_MAX_ATTEMPTS = {"/one/": 1, "/two/": 2, "/safe-one/": 1, "/safe-two/": 2}
_ONE_RUN_PREFIXES = ("/once/", "/unsafe/")


def make_routes():
    """Return routes for streams and whole responses, with one attempt and with two."""
    base = serving_world.make_configuration(timeoutMs=_TIMEOUT_MS)["routes"][0]
    kinds = {
        "one": {"maxAttempts": 1},
        "two": {"maxAttempts": 2},
        "once": {"maxAttempts": 2, "resumable": False},
        "safe-one": {"kind": "safe", "maxAttempts": 1},
        "safe-two": {"kind": "safe", "maxAttempts": 2},
        "unsafe": {"kind": "unsafe", "maxAttempts": 2},
    }
    return [
        {**base, "name": name, "prefix": f"/{name}/", **changes}
        for name, changes in kinds.items()
    ]


@dataclasses.dataclass
class Answer:
    """What a client received."""

    prefix: str
    attempt: str
    daemon: str
    sent_s: float
    response: impatient_client.Response = dataclasses.field(
        default_factory=impatient_client.Response
    )

    @property
    def is_whole(self):
        response = self.response
        return (
            response.status == 200
            and response.is_complete
            and response.body == _expect(self.prefix, self.attempt)
        )

    def describe(self):
        return (
            f"{self.prefix} at {self.sent_s:.2f} s by {self.daemon}: "
            f"{self.response.describe()}"
        )


def _expect(prefix, attempt):
    if prefix in _WHOLE_PREFIXES:
        return _WHOLE_BODY
    return b"".join(replica.make_event(attempt, n) for n in range(1, EVENTS + 1))


class SilenceTrial:
    """Plays clients while actions are taken, such as a target that falls silent.

    :ivar answers: what the clients received
    :ivar actions: functions without arguments, with the time at which each is called
    :ivar held: number of runs that each silence met
    :ivar all_silent_s: start and end of each time in which all targets are silent
    """

    def __init__(self, fleet):
        self.answers = []
        self.actions = []
        self.held = []
        self.all_silent_s = []
        self._fleet = fleet
        self._began_s = 0.0
        for item in fleet.replicas:
            prepare_target(item)

    def add_silence(self, at_s, target, duration_s):
        """Let a target fall silent at a time of the play."""

        def fall_silent():
            self.held.append(sum(run.ended == "running" for run in target.runs))
            target.fall_silent(duration_s)

        self.actions.append((at_s, fall_silent))

    def play(self, duration_s):
        """Play until all requests of that time have ended."""
        self._fleet.loop.run(self._play(duration_s), duration_s + 20)

    async def _play(self, duration_s):
        self._began_s = time.monotonic()
        clients = []
        acting = asyncio.ensure_future(self._act())
        for number in itertools.count():
            if self._elapsed_s() > duration_s:
                break
            clients.append(asyncio.ensure_future(self._request(number)))
            await asyncio.sleep(_INTERVAL_S)
        await acting
        await asyncio.gather(*clients)

    async def _act(self):
        for at_s, function in sorted(self.actions, key=lambda action: action[0]):
            await asyncio.sleep(at_s - self._elapsed_s())
            function()

    def _elapsed_s(self):
        return time.monotonic() - self._began_s

    async def _request(self, number):
        # Each kind of request goes to each daemon in turn.
        prefix = _PREFIXES[number % len(_PREFIXES)]
        daemons = self._fleet.daemons
        daemon = daemons[number // len(_PREFIXES) % len(daemons)]
        attempt = f"attempt{number}"
        answer = Answer(prefix, attempt, daemon.name, self._elapsed_s())
        self.answers.append(answer)
        data = serving_world.make_request(
            f"{prefix}{number}", attempt, extra=(f"Deadline-Ms: {_TIMEOUT_MS}",)
        )
        is_stream = prefix in _STREAM_PREFIXES
        answer.response = await impatient_client.send_request(
            daemon.port, data, is_stream
        )

    def has_run(self, answer):
        """Return whether a target has begun to run the request."""
        return any(
            run.attempt == answer.attempt
            for item in self._fleet.replicas
            for run in item.runs
        )

    def find_ended(self, is_allowed=lambda answer: False):
        """Return descriptions of requests that neither succeeded nor were refused."""
        found = []
        for answer in self.answers:
            if not answer.response.is_sent or answer.is_whole or is_allowed(answer):
                continue
            if answer.response.status in _NOT_RUN and not self.has_run(answer):
                continue
            found.append(answer.describe())
        return found

    def list_servable(self):
        """Return the requests that were sent while a target was not silent."""
        return [
            answer
            for answer in self.answers
            if not any(
                start_s <= answer.sent_s < end_s for start_s, end_s in self.all_silent_s
            )
        ]

    def find_repeated(self):
        """Return attempts that must run at most once and have run more often."""
        attempts = [
            run.attempt
            for item in self._fleet.replicas
            for run in item.runs
            if run.path.startswith(_ONE_RUN_PREFIXES)
        ]
        return {item for item in attempts if attempts.count(item) > 1}

    def find_over_budget(self):
        """Return requests that ran on more targets than their route allows."""
        ran_on = collections.defaultdict(set)
        for item in self._fleet.replicas:
            for run in item.runs:
                ran_on[run.attempt].add(item.name)
        return [
            (answer.describe(), ran_on[answer.attempt])
            for answer in self.answers
            if len(ran_on[answer.attempt]) > _MAX_ATTEMPTS.get(answer.prefix, 1)
        ]


def prepare_target(item):
    """Let a target respond slowly enough that a silence falls into many responses."""
    item.manner.events, item.manner.gap_s = EVENTS, GAP_S
    item.manner.plain_prefixes, item.manner.first_s = _WHOLE_PREFIXES, _WHOLE_S
