"""Session leases: the holder's side and the observer's side."""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing
from collections import abc

import result

from endivevane.coordination import clock, store

TABLE = "sessions"
EPOCH_FIELD = "epoch"
TERM_FIELD = "term_s"
_MAX_ASKED = 4096


class Action(enum.Enum):
    """What a daemon may want to do while it can't renew its session."""

    SERVE_ONLINE = "serve_online"
    RUN_CLAIMED_ITEM = "run_claimed_item"
    COMMIT_CHUNK = "commit_chunk"
    CLAIM_CHUNK = "claim_chunk"
    SEND_ENGINE_ORDER = "send_engine_order"
    ACCEPT_JOB = "accept_job"
    CALL_AT_MOST_ONCE = "call_at_most_once"


_ALWAYS_ALLOWED = frozenset(
    {Action.SERVE_ONLINE, Action.RUN_CLAIMED_ITEM, Action.COMMIT_CHUNK}
)
_NEEDS_LEASE = frozenset({Action.SEND_ENGINE_ORDER, Action.CLAIM_CHUNK})


def is_allowed(action: Action, is_lease_valid: bool, is_store_answering: bool) -> bool:
    """Tell whether a daemon may do something.

    A commit is always allowed because its own conditions decide; an order to an engine
    has no such conditions and needs the lease.

    :param is_lease_valid: whether the session's term still runs
    :param is_store_answering: whether the last call to the table service succeeded
    """
    if action in _ALWAYS_ALLOWED:
        return True
    if action in _NEEDS_LEASE and not is_lease_valid:
        return False
    return is_store_answering or action is Action.SEND_ENGINE_ORDER


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try to acquire or renew a session, to be run by :func:`run_attempt`.

    :param sent_s: monotonic time before the try; the term counts from here
    :param epoch: epoch to renew; ``None`` asks for a new one
    :param row_revision: row revision to replace; ``None`` when it must be read first
    :param least_epoch: lower bound for a new epoch
    """

    operation_id: str
    daemon: str
    fields: abc.Mapping[str, typing.Any]
    sent_s: float
    epoch: int | None
    row_revision: int | None
    least_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """A successful attempt."""

    attempt: Attempt
    epoch: int
    row_revision: int


class SessionLease:
    """The session of this daemon, as its holder sees it.

    An epoch that has lapsed is never used again: work that was claimed under it may
    have been taken over. The lease decides on its own monotonic clock, and counts the
    term from before the renewal was sent, so it ends before any observer ends it.

    :param daemon: name of this daemon
    :param fields: what the row says besides epoch and term
    :param term_s: how long a renewal lasts
    :param lease_clock: the wall clock only raises the lower bound of new epochs
    """

    def __init__(
        self,
        daemon: str,
        fields: abc.Mapping[str, typing.Any],
        term_s: float,
        lease_clock: clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._fields = dict(fields)
        self._term_s = term_s
        self._clock = lease_clock
        self._epoch: int | None = None
        self._expires_s = lease_clock.monotonic_s()
        self._row_revision: int | None = None
        self._last_epoch = 0
        self._attempts = 0

    @property
    def epoch(self) -> int | None:
        """The epoch in force, or ``None`` when the session has lapsed."""
        self._drop_lapsed()
        return self._epoch

    def is_valid(self) -> bool:
        """Tell whether the term still runs."""
        return self.epoch is not None

    def compute_remaining_s(self) -> float:
        """Return the rest of the term, 0 after a lapse."""
        if not self.is_valid():
            return 0.0
        return self._expires_s - self._clock.monotonic_s()

    def start_attempt(self) -> Attempt:
        """Return the next try to renew or acquire the session."""
        self._drop_lapsed()
        self._attempts += 1
        # Rows are deleted on a planned stop, which also deletes the last epoch; the
        # wall clock keeps a restarted daemon from repeating one.
        least_epoch = max(self._last_epoch + 1, self._clock.wall_ms())
        return Attempt(
            operation_id=f"session-{self._daemon}-{least_epoch}-{self._attempts}",
            daemon=self._daemon,
            fields={**self._fields, TERM_FIELD: self._term_s},
            sent_s=self._clock.monotonic_s(),
            epoch=self._epoch,
            row_revision=self._row_revision,
            least_epoch=least_epoch,
        )

    def record(self, outcome: result.Result[Renewed, store.StoreError]) -> None:
        """Apply the outcome of an attempt."""
        self._drop_lapsed()
        if isinstance(outcome, result.Err):
            self._row_revision = None
            if isinstance(outcome.err_value, store.StoreConflict):
                self._drop_epoch()
            return
        renewed = outcome.ok_value
        self._row_revision = renewed.row_revision
        self._last_epoch = max(self._last_epoch, renewed.epoch)
        is_late = renewed.attempt.epoch is not None and self._epoch is None
        if is_late:
            return
        expires_s = renewed.attempt.sent_s + self._term_s
        if expires_s <= self._clock.monotonic_s():
            self._drop_epoch()
            return
        self._epoch = renewed.epoch
        self._expires_s = max(self._expires_s, expires_s)

    def _drop_lapsed(self) -> None:
        if self._epoch is not None and self._clock.monotonic_s() >= self._expires_s:
            self._drop_epoch()

    def _drop_epoch(self) -> None:
        self._epoch = None


def run_attempt(
    table_store: store.TableStore, attempt: Attempt
) -> result.Result[Renewed, store.StoreError]:
    """Renew or acquire a session by a conditional write; blocks on the store.

    A renewal whose row carries another epoch is a conflict: another process with this
    name has taken the session.
    """
    revision = attempt.row_revision
    epoch = attempt.epoch
    if revision is None or epoch is None:
        reading = table_store.read(TABLE, attempt.daemon)
        if isinstance(reading, result.Err):
            return reading
        row = reading.ok_value
        revision = row.revision if row is not None else None
        row_epoch = int(row.value[EPOCH_FIELD]) if row is not None else 0
        if epoch is not None and epoch != row_epoch:
            rows = {(TABLE, attempt.daemon): row}
            return result.Err(store.StoreConflict(rows))
        if epoch is None:
            epoch = max(attempt.least_epoch, row_epoch + 1)
    value = {**attempt.fields, EPOCH_FIELD: epoch}
    written = store.transact_with_readback(
        table_store,
        attempt.operation_id,
        [store.Condition(TABLE, attempt.daemon, revision)],
        [store.Write(TABLE, attempt.daemon, value)],
    )
    if isinstance(written, result.Err):
        return written
    return result.Ok(Renewed(attempt, epoch, written.ok_value))


@dataclasses.dataclass(frozen=True, slots=True)
class _Sighting:
    """What reads of a session row have shown.

    :param row: the row; ``None`` when it was absent
    :param first_s: end of the first read that returned this revision
    :param last_s: start of the last read that returned this revision
    """

    row: store.Row | None
    first_s: float
    last_s: float


class SessionObserver:
    """Decides on its own clock which sessions have lapsed.

    A session has lapsed when two reads returned the same row revision and more than
    the term and a margin lies between the end of the first and the start of the last.
    Time in which this process did not read proves nothing.

    :param margin_s: allowance for clocks that run at different rates
    :param observer_clock: the clock of the times that :meth:`observe` gets
    """

    def __init__(
        self, margin_s: float, observer_clock: clock.Clock | None = None
    ) -> None:
        self._margin_s = margin_s
        self._clock = observer_clock or clock.SystemClock()
        self._sightings: dict[str, _Sighting] = {}
        self._asked: collections.OrderedDict[tuple[str, int], float]
        self._asked = collections.OrderedDict()

    def observe(
        self, daemon: str, row: store.Row | None, started_s: float, finished_s: float
    ) -> None:
        """Record one read of a session row.

        :param row: the row, ``None`` when it is absent; one without epoch and term
            proves nothing
        :param started_s: monotonic time before the read
        :param finished_s: monotonic time after the read
        """
        if row is not None and not _is_session(row):
            return
        known = self._sightings.get(daemon)
        if known is not None and _is_same_revision(known.row, row):
            last_s = max(known.last_s, started_s)
            self._sightings[daemon] = dataclasses.replace(known, last_s=last_s)
            return
        if known is not None and started_s < known.last_s:
            return
        self._sightings[daemon] = _Sighting(row, finished_s, started_s)

    def is_expired(self, daemon: str, epoch: int) -> bool:
        """Tell whether an epoch of a daemon is certainly over.

        An absent row and another epoch in the row are certain when they were read
        after the first question for this epoch: an earlier read may have come before
        the epoch began.
        """
        asked_s = self._asked.setdefault((daemon, epoch), self._clock.monotonic_s())
        if len(self._asked) > _MAX_ASKED:
            self._asked.popitem(last=False)
        sighting = self._sightings.get(daemon)
        if sighting is None:
            return False
        if sighting.row is None or int(sighting.row.value[EPOCH_FIELD]) != epoch:
            return sighting.last_s > asked_s
        return self._is_unchanged(sighting.row, sighting)

    def list_expired(self) -> list[str]:
        """Return daemons whose row is present but unchanged for too long."""
        return [
            daemon
            for daemon, sighting in self._sightings.items()
            if sighting.row is not None and self._is_unchanged(sighting.row, sighting)
        ]

    def forget(self, daemon: str) -> None:
        """Forget a daemon that nobody asks about any more."""
        self._sightings.pop(daemon, None)

    def _is_unchanged(self, row: store.Row, sighting: _Sighting) -> bool:
        term_s = float(row.value[TERM_FIELD])
        return sighting.last_s - sighting.first_s > term_s + self._margin_s


def _is_session(row: store.Row) -> bool:
    epoch, term_s = row.value.get(EPOCH_FIELD), row.value.get(TERM_FIELD)
    return isinstance(epoch, int) and isinstance(term_s, int | float)


def _is_same_revision(known: store.Row | None, row: store.Row | None) -> bool:
    if known is None or row is None:
        return known is row
    return known.revision == row.revision
