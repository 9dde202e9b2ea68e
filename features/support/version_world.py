"""Daemons in one process that share targets of several versions, and a store."""

import asyncio
import contextlib
import dataclasses

from endivevane.stream_versions import plan, rows
from features.support import serving_fakes, serving_world
from standins import replica

EVENTS = 30
_GAP_S = 0.02
# A client attempt that waits longer than this for the head has been left hanging.
_MAX_ANSWER_S = 5.0


@dataclasses.dataclass
class Stream:
    """A stream as its client has it, over all of its tries.

    :ivar attempt: id of the first try
    :ivar versions: version of each event
    :ivar statuses: status of each try
    :ivar end_s: time from the last event of the last try to its end
    """

    attempt: str
    versions: list = dataclasses.field(default_factory=list)
    statuses: list = dataclasses.field(default_factory=list)
    is_whole: bool = False
    end_s: float = 0.0

    @property
    def is_joined(self):
        return len(set(self.versions)) > 1


class Fleet:
    """Daemons that come and go before the same targets and the same store."""

    def __init__(self, versions, **configuration):
        self.replicas = {
            name: replica.Replica(name, version) for name, version in versions.items()
        }
        self.row_store = serving_fakes.FakeStore()
        self.configuration = serving_world.make_configuration(**configuration)
        self.daemons = []
        for target in self.replicas.values():
            self.prepare(target)

    def prepare(self, target):
        target.manner.events = EVENTS
        target.manner.gap_s = _GAP_S
        target.manner.shows_version = True

    async def start_daemon(self, row_store=None):
        daemon = serving_world.World(
            self.configuration,
            replicas=dict(self.replicas),
            row_store=row_store or self.row_store,
            name=f"front-{len(self.daemons) + 1}",
        )
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    def age_plan(self, age_s, service="lm"):
        """Let the plan have been in force for longer than any stream goes on."""
        key = rows.make_plan_key(service)
        value, _ = self.row_store.rows[key]
        self.row_store.put(key, make_older(key, value, age_s))

    def add_epoch(self, shares, ended_s):
        """Let other shares have been in force until some seconds ago, and before."""
        key = rows.make_plan_key("lm")
        decoded = rows.decode_plan(key.key, self.read_plan())
        ended_ms = decoded.epochs[-2].ended_ms - int(ended_s * 1000)
        changed = plan.Plan((plan.Epoch(shares, ended_ms), decoded.newest))
        self.row_store.put(key, rows.encode_plan(changed))

    def write_plan(self, content):
        """Write a row in place of the plan, as another program may."""
        self.row_store.put(rows.make_plan_key("lm"), content)

    def read_plan(self):
        value, _ = self.row_store.rows[rows.make_plan_key("lm")]
        return value

    async def add_target(self, name, version, daemons=None):
        target = replica.Replica(name, version)
        self.prepare(target)
        await target.start()
        self.replicas[name] = target
        for daemon in self.daemons if daemons is None else daemons:
            daemon.register(target, 1000 + len(self.replicas))

    def remove_target(self, name, daemons=None):
        target = self.replicas.pop(name)
        for daemon in self.daemons if daemons is None else daemons:
            daemon.unregister(target, 2000 + len(self.replicas))

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()


def make_older(key, value, age_s):
    """Return the row of a plan whose epochs ended earlier by some seconds."""
    decoded = rows.decode_plan(key.key, value)
    epochs = [
        dataclasses.replace(epoch, ended_ms=epoch.ended_ms - int(age_s * 1000))
        for epoch in decoded.epochs[:-1]
    ]
    return rows.encode_plan(plan.Plan((*epochs, decoded.newest)))


async def play(fleet, act):
    """Run a fleet with one daemon during an action."""
    try:
        daemon = await fleet.start_daemon()
        return await act(fleet, daemon)
    finally:
        await fleet.stop()


async def wait_until_loaded(daemon):
    """Wait until a daemon has read the plans of versions."""
    async with asyncio.timeout(_MAX_ANSWER_S):
        while not daemon.versions.is_loaded:
            await asyncio.sleep(0.005)


async def request(daemon, stream, attempt=None, leave_after=None):
    """Request a stream, or the rest of it, and leave it after some events."""
    extra = []
    if stream.versions:
        extra = [f"Last-Event-Id: {len(stream.versions)}", f"Resumes: {stream.attempt}"]
    data = serving_world.make_request(
        path=f"/quote/{stream.attempt}",
        attempt=attempt or stream.attempt,
        extra=extra,
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
    writer.write(data)
    loop = asyncio.get_running_loop()
    last_s = loop.time()
    status = 0
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), _MAX_ANSWER_S)
        status = int(head.split(b" ")[1])
        while status == 200:
            size = int((await reader.readline()).strip(), 16)
            content = await reader.readexactly(size + 2)
            if not size:
                stream.is_whole = True
                break
            found = [line for line in content.split(b"\n") if line.startswith(b"data:")]
            stream.versions += [line.rpartition(b" ")[2].decode() for line in found]
            last_s = loop.time()
            if leave_after is not None and len(stream.versions) >= leave_after:
                break
    except (OSError, ValueError, asyncio.IncompleteReadError):
        # The connection ended before the stream did.
        pass
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
    stream.statuses.append(status)
    stream.end_s = loop.time() - last_s


async def request_all(daemon, streams, suffix="", leave_after=None, interval_s=0.0):
    """Request several streams at once, or one after the other at an interval."""

    async def request_one(number, stream):
        await asyncio.sleep(number * interval_s)
        attempt = stream.attempt + suffix
        await request(daemon, stream, attempt, leave_after)

    calls = (request_one(number, stream) for number, stream in enumerate(streams))
    await asyncio.gather(*calls)
