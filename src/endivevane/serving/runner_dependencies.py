"""What the job runner works with."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from endivevane.quarantine import service as quarantine_service
from endivevane.serving import (
    batch_slots,
    item_sender,
    job_changes,
    job_reader,
    load_table,
    routing_table,
    store,
    target_client,
    target_registry,
    target_selection,
)

RoutingTableGetter = abc.Callable[[], routing_table.RoutingTable | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerDependencies:
    """Collaborators of the job runner.

    :param count_daemons: returns the number of daemons that share the store
    """

    targets: target_registry.TargetRegistry
    load_table: load_table.LoadTable
    choices: target_selection.TargetSelector
    slots: batch_slots.BatchSlots
    caller: target_client.TargetClient
    row_store: store.Store
    changes: job_changes.JobChanges
    reader: job_reader.JobReader
    routes: RoutingTableGetter
    encode_headers: item_sender.HeaderEncoder
    decode_segments: item_sender.SegmentDecoder
    quarantine: quarantine_service.QuarantineService
    generator: random.Random
    owner: str
    count_daemons: abc.Callable[[], int]
