"""Fakes of the serving modules' dependencies that need no network."""

import asyncio
import json
import random
import time

from endivevane.locality import location
from endivevane.quarantine import exchange, rows, service
from endivevane.quotas import service as quota_service
from endivevane.quotas import settings as quota_settings
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    admission,
    failures,
    load_table,
    model,
    peer_registry,
    process_pauses,
    slot_queue,
    slot_registry,
    store,
    target_registry,
    target_selection,
)


def make_target(
    name, service="lm", zone="z1", slots=8, leaving=False, born=1, software=""
):
    return model.Target(
        target_id=name,
        service=service,
        host="127.0.0.1",
        port=9,
        availability_zone=zone,
        slots=slots,
        is_draining=leaving,
        started_ms=born,
        version=software,
    )


def make_identity(name="front-1", region="near"):
    return peer_registry.Identity(name, region, "run1", "127.0.0.1", 1)


def make_quarantine(
    name="front-1",
    registry=None,
    store_rows=None,
    send=None,
    seed=1,
    on_target_end=None,
    identity=None,
):
    """Return the quarantine of a daemon, without peers unless a registry is given."""
    identity = identity or make_identity(name)
    news_exchange = exchange.QuarantineExchange(
        identity,
        registry or peer_registry.PeerRegistry(identity),
        send or (lambda _name, _news: None),
    )
    quarantine_rows = rows.QuarantineRows(store_rows or FakeStore())
    generator = random.Random(seed)
    return service.QuarantineService(
        identity.region,
        news_exchange,
        quarantine_rows,
        generator,
        on_target_end or (lambda _run_key, _now_s: None),
    )


def make_limits(targets, identity=None, registry=None, send=None, regions=None):
    """Return the rate limits of a daemon, without peers unless a registry is given."""
    identity = identity or make_identity()
    return rate_limits.RateLimits(
        identity,
        registry or peer_registry.PeerRegistry(identity),
        targets,
        (regions or {"z1": "near", "z2": "far"}).get,
        send or (lambda _name, _message: None),
    )


def make_quotas(identity, registry, find_organisation, limits=None, send=None):
    """Return the quotas of a daemon."""
    return quota_service.Quotas(
        identity,
        registry,
        limits or quota_settings.QuotasSection(),
        process_pauses.ProcessPauses(),
        find_organisation,
        lambda: True,
        send or (lambda _name, _message: None),
    )


def load(data):
    """Return the fields of a datagram."""
    return json.loads(data)


def make_row(key, value, version, table="servers"):
    return store.Row(store.RowKey(table, "", key), value, version)


class Fleet:
    """Targets, a load table and the target selector of one daemon."""

    def __init__(self, names, seed=1, zone="z1", age_s=0.03, zones=None):
        self.targets = {}
        self.directory = target_registry.TargetRegistry(
            lambda key, _value: self.targets[key]
        )
        self.board = load_table.LoadTable()
        place = location.Location(zone, "near", {"z1": "near", "z2": "far"})
        self.board.same_region_age_s = age_s
        self.limits = make_limits(self.directory)
        self.choices = target_selection.TargetSelector(
            place, self.directory, self.board, self.limits, random.Random(seed)
        )
        for number, name in enumerate(names):
            self.add(name, zone=(zones or {}).get(name, "z1"), version=number + 1)

    def make_queue(self, seed=1):
        return slot_queue.SlotQueue(self.choices, self.board, random.Random(seed))

    def make_admission(self, client=None, registry=None, queue=None):
        return admission.Admission(
            queue or self.make_queue(),
            registry or slot_registry.SlotRegistry(self.board),
            client,
        )

    def add(self, name, version=1, **fields):
        self.targets[name] = make_target(name, **fields)
        self.directory.apply(make_row(name, b"x", version), time.monotonic())

    def find(self, name):
        return self.directory.find(name)

    def report(self, peer, loads):
        now_s = time.monotonic()
        counted = {
            name: load_table.Load(online, batch)
            for name, (online, batch) in loads.items()
        }
        self.board.set_report(peer, load_table.LoadReport(counted, now_s))


class FakeStore:
    """Rows in memory, with faults drawn from a seed for each transaction.

    A ``late`` transaction is not answered and is applied before a later one, if its
    conditions still hold then. While the store is down it refuses all calls.
    """

    def __init__(self, seed=0, fault_share=0.0):
        self.is_down = False
        self.rows = {}
        self.version = 0
        self.writes = []
        self._generator = random.Random(seed)
        self._fault_share = fault_share
        self._late = []
        self.lost = 0

    def list_jobs(self, job_id):
        return [key for key in self.rows if key.key == f"job/{job_id}"]

    async def read_rows(self, table, partition, start="", end=""):
        await asyncio.sleep(0)
        self._maybe_refuse("read_rows")
        rows = tuple(
            store.Row(key, value, version)
            for key, (value, version) in sorted(
                self.rows.items(), key=lambda item: item[0].key
            )
            if key.table == table
            and key.partition == partition
            and start <= key.key
            and (not end or key.key < end)
        )
        return store.RowPage(rows, self.version)

    async def read_newest(self, table, partition, start, end):
        return await self.read_rows(table, partition, start, end)

    async def apply(self, change):
        await asyncio.sleep(0)
        self._maybe_refuse("apply")
        while self._late and self._generator.random() < 0.5:
            self._apply(self._late.pop(0))
        if self._generator.random() >= self._fault_share:
            return self._apply(change)
        fault = self._generator.choice(("refused", "lost", "lost_before", "late"))
        if fault == "refused":
            raise failures.StoreRefused("apply", "status 503")
        self.lost += 1
        if fault == "lost":
            self._apply(change)
        if fault == "late":
            self._late.append(change)
        raise failures.StoreUncertain("apply", "no answer")

    def put(self, key, value):
        """Write a row as another daemon does."""
        self.version += 1
        self.rows[key] = (value, self.version)

    async def wait_for_changes(self, table, after_version, wait_s):
        await asyncio.sleep(0.01)
        self._maybe_refuse("wait_for_changes")
        rows = tuple(
            store.Row(key, value, version)
            for key, (value, version) in self.rows.items()
            if key.table == table and version > after_version
        )
        return store.RowPage(rows, self.version)

    async def put_object(self, name, content):
        await asyncio.sleep(0)

    async def get_object(self, name):
        raise failures.StoreRefused("get_object", "no objects here")

    async def delete_object(self, name):
        await asyncio.sleep(0)

    def _maybe_refuse(self, call):
        is_read_fault = call == "read_rows" and (
            self._generator.random() < self._fault_share / 2
        )
        if self.is_down or is_read_fault:
            raise failures.StoreRefused(call, "status 503")

    def _apply(self, change):
        for condition in change.conditions:
            _, version = self.rows.get(condition.row_key, (None, 0))
            if version != condition.version:
                rows = tuple(
                    store.Row(item.row_key, *self.rows[item.row_key])
                    for item in change.conditions
                    if item.row_key in self.rows
                )
                return store.Conflict(rows)
        self.version += 1
        for key, value in change.puts:
            self.rows[key] = (value, self.version)
            self.writes.append((key, value))
        for key in change.deletes:
            self.rows.pop(key, None)
        return store.Applied(self.version)
