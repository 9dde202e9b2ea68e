import asyncio
import contextlib
import time
from unittest import mock

from behave import given, then, when

from endivevane.serving import (
    job_sweeper,
    jobs,
    peer_registry,
)
from features.steps import serving_state_steps
from features.support import serving_fakes

_HOUR_S = 3600.0
_RETENTION_S = 60.0
_GOES_ON_S = 2.0


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
        daemon = serving_state_steps._Daemon(rows, "a")
        with _shift_time(context.accepted):
            await daemon.changes.accept(serving_state_steps._submission("job"))
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
