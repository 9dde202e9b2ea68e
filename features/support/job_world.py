"""Daemons without a network that run the items of jobs."""

import asyncio
import random

from endivevane.platform import headers
from endivevane.serving import (
    batch_slots,
    follower,
    job_changes,
    job_reader,
    job_registry,
    job_runner,
    jobs,
    model,
    routing_table,
    runner_dependencies,
    slot_registry,
)
from features.support import serving_fakes


class Daemon:
    """The parts of a daemon that change jobs."""

    def __init__(self, rows, name):
        self.owner = f"{name}/1"
        self.rows = rows
        self.registry = job_registry.JobRegistry()
        self.state = follower.TableFollower(rows, "state", "", self._on_row)
        self.changes = job_changes.JobChanges(
            rows, self.state, self.registry, self.owner
        )
        self.feed = asyncio.ensure_future(self.state.run())

    def _on_row(self, row):
        if row.row_key.key.startswith(jobs.JOB_PREFIX):
            self.registry.apply(row)


def make_table(routes):
    """Return the routing table of a configuration that has only routes."""
    return routing_table.RoutingTable(
        model.Configuration(1, tuple(routes), {}, model.ClientLimits())
    )


def make_runner(daemon, fleet, caller, get_table, slots=None):
    """Return the job runner of a daemon.

    :param get_table: returns the routing table in force
    :param slots: registry of its slots, ``None`` for a new one
    """
    return job_runner.JobRunner(
        runner_dependencies.RunnerDependencies(
            targets=fleet.directory,
            load_table=fleet.board,
            choices=fleet.choices,
            slots=batch_slots.BatchSlots(
                fleet.choices,
                fleet.board,
                slots or slot_registry.SlotRegistry(fleet.board),
            ),
            caller=caller,
            row_store=daemon.rows,
            changes=daemon.changes,
            reader=job_reader.JobReader(daemon.registry, daemon.changes),
            routes=get_table,
            encode_headers=headers.HeaderCodec().encode_item_headers,
            decode_segments=headers.HeaderCodec().decode_item_segments,
            quarantine=serving_fakes.make_quarantine(),
            generator=random.Random(1),
            owner=daemon.owner,
        )
    )
