"""Graceful shutdown of the daemon."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from endivevane import logs
from endivevane.serving import admission, http_server, job_changes, job_runner, peers

# The platform stops routing clients here about this long after readiness first fails.
_LEAVE_ROTATION_S = 2.6
# A graceful shutdown ends this long before the grace period, after which the process is
# killed.
_GRACE_MARGIN_S = 1.2
_STOP_POLL_S = 0.05
# Time for the last answers to be sent.
_LAST_ANSWERS_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StoppingParts:
    """Components that have work to finish or to hand over."""

    client_server: http_server.Server
    slots: admission.Admission
    network: peers.PeerNetwork
    changes: job_changes.JobChanges
    runner: job_runner.JobRunner


async def stop(parts: StoppingParts, grace_s: float) -> None:
    """Release the jobs and finish the requests in flight.

    :param grace_s: time after which the process is killed
    """
    began_s = time.monotonic()
    server = parts.client_server
    server.announce_stop()
    logs.info("daemon_stopping", busy=server.active_connections)
    parts.network.announce_stop()
    parts.changes.stop_owning()
    release_task = asyncio.ensure_future(parts.runner.release_jobs())
    await asyncio.sleep(_LEAVE_ROTATION_S)
    # Accept no connections from here on: releasing the jobs may wait for the store
    # until the end, which would cut requests that start in the meantime.
    server.close_listener()
    while time.monotonic() < began_s + grace_s - _GRACE_MARGIN_S:
        server.close_idle()
        await asyncio.sleep(_STOP_POLL_S)
        if not server.active_connections and release_task.done():
            break
    cut = server.active_connections
    # What waits for a slot has not run, and is refused as such.
    parts.slots.stop()
    await asyncio.sleep(_STOP_POLL_S)
    await server.close_connections(_LAST_ANSWERS_S)
    logs.info(
        "daemon_stopped",
        cut=cut,
        took_ms=int((time.monotonic() - began_s) * 1000),
    )
