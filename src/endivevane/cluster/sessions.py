"""Renews this daemon's session and reads all sessions in the table service."""

from __future__ import annotations

import dataclasses
import random

import result

from endivevane import logs
from endivevane.cluster import calls
from endivevane.coordination import clock, lease, store
from endivevane.daemon import settings as daemon_settings

RENEW = "session_renew"
SCAN = "session_scan"
_RETRY_S = 0.5
_SCAN_LIMIT = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """This daemon's session at a point in time.

    :param epoch: ``None`` while there is no valid session
    :param expires_s: monotonic time at which the term ends
    """

    daemon: str
    epoch: int | None
    is_valid: bool
    expires_s: float


class SessionRenewer:
    """Renews the session; runs on the cluster thread unless noted.

    :param settings: the daemon's settings
    :param renewer_clock: clock of the lease
    :param table_store: store of the session row
    :param background: runs the blocking calls
    :param generator: source of jitter
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        renewer_clock: clock.Clock,
        table_store: store.TableStore,
        background: calls.BackgroundCalls,
        generator: random.Random,
    ) -> None:
        self._random = generator
        self._failures = 0
        self._settings = settings
        self._clock = renewer_clock
        self._store = table_store
        self._background = background
        self._term_s = settings.session.term_s
        self._lease = lease.SessionLease(
            settings.daemon.name, _make_fields(settings), self._term_s, renewer_clock
        )
        self._due_s = renewer_clock.monotonic_s()
        self._is_closing = False
        self._current: tuple[int | None, float] = (None, 0.0)

    def read(self) -> Session:
        """Return the session; safe on any thread."""
        epoch, expires_s = self._current
        is_valid = epoch is not None and self._clock.monotonic_s() < expires_s
        name = self._settings.daemon.name
        return Session(name, epoch if is_valid else None, is_valid, expires_s)

    def run(self, now_s: float) -> None:
        """Start a renewal when it is due."""
        if now_s < self._due_s or self._is_closing:
            return
        attempt = self._lease.start_attempt()
        if not self._background.start(
            RENEW, lambda: lease.run_attempt(self._store, attempt)
        ):
            return
        self._due_s = now_s + self._term_s / 3 * self._random.uniform(0.9, 1.0)

    def record(
        self, outcome: result.Result[lease.Renewed, store.StoreError] | None
    ) -> None:
        """Apply the outcome of a renewal."""
        before = self._current[0]
        if outcome is None:
            outcome = result.Err(store.StoreUnavailable("call failed"))
        self._lease.record(outcome)
        now_s = self._clock.monotonic_s()
        if isinstance(outcome, result.Err):
            self._due_s = now_s + self._choose_delay_s(outcome.err_value)
            if self._failures == 0:
                logs.warning("session_renewal_failed", error=outcome.err_value)
            self._failures += 1
        else:
            self._failures = 0
        remaining_s = self._lease.compute_remaining_s()
        self._current = (self._lease.epoch, now_s + remaining_s)
        if self._current[0] != before:
            logs.info("session_epoch", epoch=self._current[0], before=before)

    def _choose_delay_s(self, error: store.StoreError) -> float:
        """Return the back-off before the next attempt, with jitter across daemons."""
        max_delay_s = self._term_s / 6
        delay_s = min(max_delay_s, _RETRY_S * float(1 << min(self._failures, 8)))
        if isinstance(error, store.StoreOverloaded):
            delay_s = max(delay_s, min(error.retry_after_s, max_delay_s))
        return delay_s * self._random.uniform(0.7, 1.3)

    def close(self) -> None:
        """Stop renewing and delete the row; blocks on the table service."""
        self._is_closing = True
        epoch = self._current[0]
        self._current = (None, 0.0)
        name = self._settings.daemon.name
        read_outcome = self._store.read(lease.TABLE, name)
        if isinstance(read_outcome, result.Err) or read_outcome.ok_value is None:
            return
        row = read_outcome.ok_value
        if epoch is None or row.value.get(lease.EPOCH_FIELD) != epoch:
            return
        self._store.transact(
            f"close-{name}-{epoch}",
            [store.Condition(lease.TABLE, name, row.revision)],
            [store.Write(lease.TABLE, name, None)],
        )


def scan_sessions(
    table_store: store.TableStore,
) -> result.Result[list[store.Row], store.StoreError]:
    """Return all session rows; blocks on the table service."""
    rows: list[store.Row] = []
    after = ""
    while True:
        outcome = table_store.scan(lease.TABLE, "", after, _SCAN_LIMIT)
        if isinstance(outcome, result.Err):
            return outcome
        rows += outcome.ok_value
        if len(outcome.ok_value) < _SCAN_LIMIT:
            return result.Ok(rows)
        after = rows[-1].key


def _make_fields(settings: daemon_settings.Settings) -> dict[str, str]:
    daemon = settings.daemon
    return {
        "address": daemon.listen,
        "gossip_address": daemon.cluster_listen,
        "zone": daemon.zone,
        "region": daemon.region,
        "public_key": settings.keys.public if settings.keys is not None else "",
    }
