"""Quarantine of requests that crash targets, identified by fingerprint."""

from __future__ import annotations

import collections
import dataclasses

from endivevane.coordination import clock


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Conditions and duration of a quarantine.

    :param deaths: target crashes after which a fingerprint is quarantined
    :param memory_s: how long a crash counts
    :param duration_s: duration of the quarantine
    :param same_death_s: crashes of one target within this time count as one, since
        several requests with the same fingerprint may report it
    :param max_entries: fingerprints kept, least recently updated evicted first
    """

    deaths: int = 2
    memory_s: float = 600.0
    duration_s: float = 300.0
    same_death_s: float = 2.0
    max_entries: int = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """One crash of a target.

    :param target: its name, empty if unknown
    :param wall_ms: time of the crash by the clock of the daemon that observed it
    :param seen_s: monotonic time when this daemon learnt of it
    """

    target: str
    wall_ms: int
    seen_s: float


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes and quarantine of one fingerprint."""

    deaths: list[_Crash] = dataclasses.field(default_factory=list)
    until_wall_ms: int = 0


class Quarantine:
    """Counts crashes per fingerprint and quarantines fingerprints.

    A published entry is (fingerprint, end of the quarantine in milliseconds since the
    epoch, name of the crashed target). A negative end reports a single crash at that
    time, so that daemons which observe one crash each still count two, even if both
    happen at the same moment. A daemon's own report is not counted when it returns.
    """

    def __init__(
        self, settings: QuarantineSettings, quarantine_clock: clock.Clock
    ) -> None:
        self._settings = settings
        self._clock = quarantine_clock
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._unpublished: dict[str, tuple[int, str]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def remaining_s(self, fingerprint: str) -> float:
        """Return the remaining quarantine of a fingerprint, zero if there is none."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        return max(0.0, (record.until_wall_ms - self._clock.wall_ms()) / 1000)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether at least one crash counts against the fingerprint."""
        record = self._records.get(fingerprint)
        return record is not None and self._count(record) > 0

    def record_death(
        self, fingerprint: str, target_name: str, started_s: float | None = None
    ) -> None:
        """Record the crash of a target that was running the fingerprint.

        :param started_s: monotonic start of the run, if it is known to be the only
            one; tells apart two crashes of a target that was restarted in between
        """
        now_s, now_ms = self._clock.monotonic_s(), self._clock.wall_ms()
        record = self._get_record(fingerprint)
        for crash in record.deaths:
            is_recent = now_s - crash.seen_s < self._settings.same_death_s
            if started_s is not None:
                is_recent = started_s <= crash.seen_s
            if crash.target == target_name and is_recent:
                return
        self._add(fingerprint, record, _Crash(target_name, now_ms, now_s))
        if fingerprint not in self._unpublished:
            self._unpublished[fingerprint] = (-now_ms, target_name)

    def receive(
        self, fingerprint: str, until_wall_ms: int, target_name: str = ""
    ) -> None:
        """Apply an entry that another daemon has published; idempotent.

        The end is capped by the local clock, so that a daemon with a wrong clock can't
        quarantine a fingerprint forever.
        """
        if until_wall_ms <= 0:
            self._receive_crash(fingerprint, -until_wall_ms, target_name)
            return
        now_ms = self._clock.wall_ms()
        if until_wall_ms <= now_ms:
            return
        latest_ms = now_ms + int(self._settings.duration_s * 1000)
        record = self._get_record(fingerprint)
        record.until_wall_ms = max(record.until_wall_ms, min(until_wall_ms, latest_ms))

    def take_unpublished(self) -> list[tuple[str, int, str]]:
        """Remove and return the entries to publish."""
        entries = [(key, *entry) for key, entry in self._unpublished.items()]
        self._unpublished.clear()
        return entries

    def _get_record(self, fingerprint: str) -> _Record:
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > self._settings.max_entries:
            self._records.popitem(last=False)
        return record

    def _receive_crash(self, fingerprint: str, wall_ms: int, target_name: str) -> None:
        """Count a crash that another daemon observed, unless it is known already.

        Two daemons that run the same request at one target observe the same crash, so
        reports with nearly the same time count once.
        """
        record = self._get_record(fingerprint)
        same_ms = self._settings.same_death_s * 1000
        for crash in record.deaths:
            is_other = crash.target and target_name and crash.target != target_name
            if not is_other and abs(crash.wall_ms - wall_ms) < same_ms:
                return
        if wall_ms < self._clock.wall_ms() - self._settings.memory_s * 1000:
            return
        now_s = self._clock.monotonic_s()
        self._add(fingerprint, record, _Crash(target_name, wall_ms, now_s))

    def _add(self, fingerprint: str, record: _Record, crash: _Crash) -> None:
        record.deaths.append(crash)
        record.deaths = record.deaths[-self._settings.deaths :]
        if self._count(record) < self._settings.deaths:
            return
        until_ms = self._clock.wall_ms() + int(self._settings.duration_s * 1000)
        record.until_wall_ms = max(record.until_wall_ms, until_ms)
        self._unpublished[fingerprint] = (record.until_wall_ms, crash.target)

    def _count(self, record: _Record) -> int:
        """Return the number of crashes within the memory time."""
        oldest_s = self._clock.monotonic_s() - self._settings.memory_s
        return sum(crash.seen_s >= oldest_s for crash in record.deaths)
