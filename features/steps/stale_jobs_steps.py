import asyncio
import contextlib
import dataclasses
import time
from unittest import mock

from behave import given, then, when

from endivevane.serving import (
    job_sweeper,
    job_takeover,
    jobs,
    peer_registry,
    process_pauses,
)
from features.support import job_world, serving_fakes

_HOUR_S = 3600.0
_RETENTION_S = 60.0
_STOOD_STILL_S = 3.0
_GOES_ON_S = 2.0
_HEARTBEAT_S = 0.2


def _make_peers():
    """Return the peers of b, of which there is a, the owner."""
    own = peer_registry.Identity("b", "r", "1", "10.0.0.2", 1)
    return peer_registry.PeerRegistry(own)


def _hear_owner(peers):
    seen = peer_registry.Peer("a", "r", "10.0.0.1", 1, "1")
    peers.record_heartbeat(dataclasses.replace(seen, last_seen_s=time.monotonic()))


@given("a job whose owner sends heartbeats")
def step_owned_job(context):
    context.rows = serving_fakes.FakeStore()


@when("another daemon stands still for 3 s and goes on for 2 s")
def step_stand_still(context):
    async def run():
        owner = job_world.JobDaemon(context.rows, "a")
        other = job_world.JobDaemon(context.rows, "b")
        await owner.changes.accept(job_world.make_submission("job"))
        peers, pauses = _make_peers(), process_pauses.ProcessPauses()
        claims = job_takeover.JobTakeover(
            peer_registry.Identity("b", "r", "1", "10.0.0.2", 1),
            peers,
            other.state,
            other.registry,
            other.changes,
            job_world.make_runner(other, serving_fakes.Fleet([]), None),
            pauses,
        )
        # As if the daemon had been running for long.
        claims._warmed_up_s = 0.0
        tasks = [asyncio.ensure_future(claims.run())]
        async with asyncio.timeout(_GOES_ON_S):
            while "job" not in other.registry.entries:
                await asyncio.sleep(0.01)
        _hear_owner(peers)
        tasks.append(asyncio.ensure_future(pauses.watch()))
        await asyncio.sleep(0)
        # The overdue tasks run before the owner is heard again.
        time.sleep(_STOOD_STILL_S)
        until_s = time.monotonic() + _GOES_ON_S
        while time.monotonic() < until_s:
            await asyncio.sleep(_HEARTBEAT_S)
            _hear_owner(peers)
        context.owner = (await owner.changes.find_stored("job")).job.owner
        for task in (*tasks, owner.feed, other.feed):
            task.cancel()

    asyncio.run(run())


@then("its owner still has the job")
def step_still_owner(context):
    assert context.owner == "a/1", context.owner


def _shift_time(text):
    """Return a patch with which the time of day is that of a step's text."""
    by_s = {"just now": 0.0, "with a clock 1 h late": -_HOUR_S}.get(text, _HOUR_S)
    real = time.time
    return mock.patch.object(time, "time", lambda: real() + by_s)


@given("a job that has ended, accepted {accepted}")
def step_ended_job(context, accepted):
    context.accepted = accepted


@when("a daemon sweeps, {swept}")
def step_sweep(context, swept):
    async def run():
        rows = serving_fakes.FakeStore()
        daemon = job_world.JobDaemon(rows, "a")
        with _shift_time(context.accepted):
            await daemon.changes.accept(job_world.make_submission("job"))
        assert await daemon.changes.end("job", time.monotonic() + _GOES_ON_S)
        sweeper = job_sweeper.JobSweeper(
            rows,
            daemon.registry,
            peer_registry.PeerRegistry(serving_fakes.make_identity("a")),
            "a",
            _RETENTION_S,
        )
        with _shift_time(swept):
            await sweeper.sweep()
        context.is_stored = jobs.make_job_key("job") in rows.rows
        daemon.feed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await daemon.feed

    asyncio.run(run())


@then("the job is still stored")
def step_still_stored(context):
    assert context.is_stored
