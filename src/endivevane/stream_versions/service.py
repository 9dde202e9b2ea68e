"""The version of each resumable stream, from its first event on.

A stream's version is the one that all plans assign to it which may have been in force
at its begin. Where they differ, it is the one that its record names. A daemon tells it
only from plans that are as of the moment at which it is asked.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import time

from endivevane import logs, metrics
from endivevane.serving import (
    copy_age,
    failures,
    model,
    peer_registry,
    store_clock,
    target_registry,
)
from endivevane.stream_versions import plan as plans
from endivevane.stream_versions import plan_reader, plan_table, records

# A first event waits this long for the record of its stream.
_RECORD_WAIT_S = 0.1
# Added to the time for which a stream can have gone on: a daemon that was cut off from
# the store may have followed an earlier plan for so long.
_LATE_PLAN_S = 20.0
# Streams begin by plans that are older than this only while all daemons are cut off.
_MAX_LONE_AGE_S = 12.0
# Plans are older than this where the store does not answer.
_MAX_SOUND_AGE_S = 3.0
# Plans of this age count if they can't be read. An epoch takes effect later than this.
_TRUSTED_AGE_S = 0.5
# A client that resumes a stream waits this long for the plans.
_CONFIRM_WAIT_S = 0.8
# A new stream waits this long for the plans where they have become old.
_BEGIN_WAIT_S = 0.1
# Route timeouts within which a stream begins, breaks off and is resumed by its client.
_STREAM_TIMEOUTS = 2.0
_DEFAULT_TIMEOUT_S = 30.0


class Source(enum.StrEnum):
    """What told the version of a stream that a client resumes."""

    MEMORY = "memory"
    PLAN = "plan"
    RECORD = "record"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The version of a stream that a client resumes.

    :param version: ``None`` if it is not known
    """

    version: str | None
    source: Source


class StreamVersions:
    """Assigns versions to new streams, and finds those of streams that go on."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        peers: peer_registry.PeerRegistry,
        table: plan_table.PlanTable,
        reader: plan_reader.PlanReader,
        stream_records: records.StreamRecords,
        clock: store_clock.StoreClock,
    ) -> None:
        self._targets = targets
        self._peers = peers
        self._table = table
        self._reader = reader
        self._records = stream_records
        self._clock = clock
        # Versions by service, at one revision of the targets.
        self._served: dict[str, frozenset[str]] = {}
        self._served_revision = -1
        table.call_when_changed(self._record_moved)

    def choose(self, service: str, attempt: str) -> str | None:
        """Return the version that a stream must begin at, ``None`` for any."""
        epoch = self._table.find_in_force(service, self._clock.read_ms())
        if epoch is None:
            # Without a plan the stream gets a record, wherever it begins.
            return None
        assigned = epoch.assign(attempt)
        return None if self._list_served(service) == {assigned} else assigned

    def can_begin(self, service: str, version: str) -> bool:
        """Return whether a target of a version may take work now."""
        now_s = time.monotonic()
        return any(
            known.target.version == version
            and not known.health.is_paused(now_s)
            and not known.health.is_unresponsive(now_s)
            for known in self._targets.list_usable(service)
        )

    async def may_begin(self) -> bool:
        """Return whether the plans are good enough for a stream to begin by them.

        The other daemons allow for streams that began by an earlier plan, for a time.
        Where all are cut off from the store, none has read a later one; a daemon that
        hears less than half of them can't tell. Nor can one that has just gone on after
        it stood still: what it hears may have waited.
        """
        age_s = self._table.measure_age_s()
        if age_s > _MAX_SOUND_AGE_S:
            self._reader.start()
        if age_s <= _MAX_LONE_AGE_S:
            return True
        if await self._reader.confirm(copy_age.read_clock_s(), _BEGIN_WAIT_S):
            return True
        others = len(self._peers.peers)
        if not others:
            return True
        hears_most = 2 * len(self._peers.list_alive()) >= others
        return hears_most and self._reader.is_cut_off()

    def prepare(self, route: model.Route, stream: records.BegunStream) -> None:
        """Start to write the record of a stream, if it is going to need one.

        The record is then written while the target prepares the first event.
        """
        if not stream.attempt or self._records.is_failing(time.monotonic()):
            return
        candidates = self._list_candidates(stream.service, stream.attempt, route)
        if candidates != {stream.version}:
            self._records.write(stream)

    async def begin(self, route: model.Route, stream: records.BegunStream) -> bool:
        """Take note of the first event of a stream; return whether it may go on.

        It may not at a version that the plans contradict, or a record of an attempt
        that failed, nor by an epoch that takes effect later. Where the plans leave
        several open, it waits a moment for its own record.
        """
        if not stream.attempt:
            # No client can name it.
            return True
        effective = self._table.find_effective(stream.service, self._clock.read_ms())
        beginnable = self._list_of(effective, stream.attempt, route)
        if stream.version not in beginnable and None not in beginnable:
            return False
        candidates = self._list_candidates(stream.service, stream.attempt, route)
        if candidates != {stream.version}:
            written = self._records.write(stream)
            if not self._records.is_failing(time.monotonic()):
                await asyncio.wait((written,), timeout=_RECORD_WAIT_S)
            if self._records.may_contradict(stream):
                return False
        self._records.remember(stream)
        return True

    def end(self, attempt: str) -> None:
        """Forget a stream that its client has whole."""
        self._records.forget(attempt)

    async def find(self, route: model.Route, service: str, attempt: str) -> Finding:
        """Return the version of a stream that a client resumes.

        :param attempt: id of the attempt that brought its first event, empty if the
            client has not named it
        """
        finding = await self._find(route, service, attempt)
        metrics.STREAMS_RESUMED.labels(finding.source.value).inc()
        if finding.version is not None and attempt:
            stream = records.BegunStream(
                attempt, service, finding.version, time.monotonic()
            )
            self._records.remember(stream, finding.source is Source.RECORD)
        return finding

    async def _find(self, route: model.Route, service: str, attempt: str) -> Finding:
        begun = self._records.find(attempt)
        if begun is not None:
            # At another service, nothing goes on with it.
            is_here = begun.service == service
            return Finding(begun.version if is_here else None, Source.MEMORY)
        if not await self._confirm_plans():
            return Finding(None, Source.UNCONFIRMED)
        candidates = self._list_candidates(service, attempt, route)
        if len(candidates) == 1 and None not in candidates:
            return Finding(next(iter(candidates)), Source.PLAN)
        if not attempt:
            return Finding(None, Source.UNKNOWN)
        try:
            version = await self._records.read(service, attempt)
        except failures.StoreFailure as error:
            logs.limited_info("stream_record_not_read", stream=attempt, cause=error)
            version = None
        if version is None:
            return Finding(None, Source.UNKNOWN)
        return Finding(version, Source.RECORD)

    async def _confirm_plans(self) -> bool:
        """Return whether the plans tell the versions of streams that have begun."""
        asked_s = copy_age.read_clock_s()
        if await self._reader.confirm(asked_s, _CONFIRM_WAIT_S):
            return True
        age_s = self._table.measure_age_s()
        if age_s <= _TRUSTED_AGE_S:
            return True
        logs.limited_info("version_plans_out_of_date", age_s=age_s)
        return False

    def _list_served(self, service: str) -> frozenset[str]:
        """Return the versions that the usable targets of a service have."""
        if self._served_revision != self._targets.revision:
            self._served.clear()
            self._served_revision = self._targets.revision
        if service not in self._served:
            self._served[service] = frozenset(
                known.target.version for known in self._targets.list_usable(service)
            )
        return self._served[service]

    def _list_candidates(
        self, service: str, attempt: str, route: model.Route
    ) -> frozenset[str | None]:
        """Return the versions that the plans leave open, ``None`` for any."""
        return self._list_of(self._table.find(service), attempt, route)

    def _list_of(
        self, plan: plans.Plan | None, attempt: str, route: model.Route
    ) -> frozenset[str | None]:
        """Return the versions that a plan leaves open, ``None`` for any."""
        if plan is None or not self._table.is_loaded:
            return frozenset((None,))
        timeout_s = route.timeout_s or _DEFAULT_TIMEOUT_S
        lasting_s = _STREAM_TIMEOUTS * timeout_s + _LATE_PLAN_S
        now_ms = self._clock.read_ms()
        # Without the store's clock every epoch may be recent.
        since_ms = 0.0 if now_ms is None else now_ms - lasting_s * 1000
        if not attempt:
            return plan.list_versions(since_ms)
        return plan.list_candidates(attempt, since_ms)

    def _record_moved(self) -> None:
        """Write records of the streams that a new plan assigns to another version."""
        for stream in self._records.list_unwritten():
            plan = self._table.find(stream.service)
            if plan is None or plan.newest.assign(stream.attempt) == stream.version:
                continue
            self._records.write(stream)
