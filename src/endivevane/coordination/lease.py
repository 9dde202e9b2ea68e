"""Session leases, as seen by the holder and by observers."""

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
_MAX_TRACKED_EPOCHS = 4096


class Action(enum.Enum):
    """An action that may depend on the session lease or on the store."""

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
    """Return whether a daemon may perform an action.

    A commit is always allowed, because its own conditions protect it. An order to an
    engine has no such conditions, so it needs the lease.

    :param is_lease_valid: whether the session's term has not expired
    :param is_store_answering: whether the last call to the table service succeeded
    """
    if action in _ALWAYS_ALLOWED:
        return True
    if action in _NEEDS_LEASE and not is_lease_valid:
        return False
    return is_store_answering or action is Action.SEND_ENGINE_ORDER


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to acquire or renew a session, to be run by :func:`run_attempt`.

    :param sent_s: monotonic time before the attempt; the term starts here
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
    """The session of this daemon, on the holder's side.

    An expired epoch is never used again, because work that was claimed under it may
    have been taken over. The holder uses its own monotonic clock and counts the term
    from before the renewal was sent, so its lease expires before any observer
    considers it expired.

    :param daemon: name of this daemon
    :param fields: other fields of the row besides epoch and term
    :param term_s: duration of the lease after a renewal
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
        """The epoch in force, or ``None`` when the session has expired."""
        self._drop_expired()
        return self._epoch

    def is_valid(self) -> bool:
        """Return whether the term has not expired."""
        return self.epoch is not None

    def compute_remaining_s(self) -> float:
        """Return the time left in the term, 0 after its expiry."""
        if not self.is_valid():
            return 0.0
        return self._expires_s - self._clock.monotonic_s()

    def start_attempt(self) -> Attempt:
        """Start the next attempt to renew or acquire the session."""
        self._drop_expired()
        self._attempts += 1
        # A planned stop deletes the row and with it the last epoch; the wall clock
        # keeps a restarted daemon from reusing an epoch.
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
        self._drop_expired()
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

    def _drop_expired(self) -> None:
        if self._epoch is not None and self._clock.monotonic_s() >= self._expires_s:
            self._drop_epoch()

    def _drop_epoch(self) -> None:
        self._epoch = None


def run_attempt(
    table_store: store.TableStore, attempt: Attempt
) -> result.Result[Renewed, store.StoreError]:
    """Renew or acquire a session by a conditional write; block on the store.

    A renewal whose row carries another epoch is a conflict: another process with this
    name holds the session.
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
class _Observation:
    """The latest revision of a session row and when it was read.

    :param row: the row; ``None`` when it was absent
    :param first_s: end of the first read that returned this revision
    :param last_s: start of the last read that returned this revision
    """

    row: store.Row | None
    first_s: float
    last_s: float


class SessionObserver:
    """Decides on its own clock which sessions have expired.

    A session has expired when two reads returned the same row revision and more than
    the term plus a margin lies between the end of the first and the start of the last.
    Time in which this process did not read is no evidence.

    :param margin_s: allowance for clock drift
    :param observer_clock: the clock of the times that are passed to :meth:`observe`
    """

    def __init__(
        self, margin_s: float, observer_clock: clock.Clock | None = None
    ) -> None:
        self._margin_s = margin_s
        self._clock = observer_clock or clock.SystemClock()
        self._observations: dict[str, _Observation] = {}
        self._first_asked_s: collections.OrderedDict[tuple[str, int], float]
        self._first_asked_s = collections.OrderedDict()

    def observe(
        self, daemon: str, row: store.Row | None, started_s: float, finished_s: float
    ) -> None:
        """Record one read of a session row.

        :param row: the row, ``None`` when it is absent; one without epoch and term is
            ignored
        :param started_s: monotonic time before the read
        :param finished_s: monotonic time after the read
        """
        if row is not None and not _is_session(row):
            return
        known = self._observations.get(daemon)
        if known is not None and _is_same_revision(known.row, row):
            last_s = max(known.last_s, started_s)
            self._observations[daemon] = dataclasses.replace(known, last_s=last_s)
            return
        if known is not None and started_s < known.last_s:
            return
        self._observations[daemon] = _Observation(row, finished_s, started_s)

    def is_expired(self, daemon: str, epoch: int) -> bool:
        """Return whether an epoch of a daemon has certainly expired.

        An absent row or another epoch in the row is proof only if it was read after
        the first call for this epoch: an earlier read may precede the epoch.
        """
        asked_s = self._first_asked_s.setdefault(
            (daemon, epoch), self._clock.monotonic_s()
        )
        if len(self._first_asked_s) > _MAX_TRACKED_EPOCHS:
            self._first_asked_s.popitem(last=False)
        observation = self._observations.get(daemon)
        if observation is None:
            return False
        if observation.row is None or int(observation.row.value[EPOCH_FIELD]) != epoch:
            return observation.last_s > asked_s
        return self._is_unchanged(observation.row, observation)

    def list_expired(self) -> list[str]:
        """Return the daemons whose row is present but was not renewed in time."""
        return [
            daemon
            for daemon, observation in self._observations.items()
            if observation.row is not None
            and self._is_unchanged(observation.row, observation)
        ]

    def forget(self, daemon: str) -> None:
        """Discard what was observed of a daemon."""
        self._observations.pop(daemon, None)

    def _is_unchanged(self, row: store.Row, observation: _Observation) -> bool:
        term_s = float(row.value[TERM_FIELD])
        return observation.last_s - observation.first_s > term_s + self._margin_s


def _is_session(row: store.Row) -> bool:
    epoch, term_s = row.value.get(EPOCH_FIELD), row.value.get(TERM_FIELD)
    return isinstance(epoch, int) and isinstance(term_s, int | float)


def _is_same_revision(known: store.Row | None, row: store.Row | None) -> bool:
    if known is None or row is None:
        return known is row
    return known.revision == row.revision
