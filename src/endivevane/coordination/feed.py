"""Tracking of the configuration revision that a daemon has in force."""

from __future__ import annotations

from collections import abc

import result

from endivevane.coordination import clock, store

TABLE = "config"
ACKS_PREFIX = "acks/"
REVISION_FIELD = "revision"


class ConfigurationFeed:
    """Revision in force at this daemon, and whether it is confirmed to be current.

    A revision is confirmed when the table service returns a head that is not higher.
    While the table service does not answer, it is confirmed when at least half of the
    other listed daemons of the zone answer and none has a higher one; only answers
    from daemons whose own revision is confirmed count. The confirmation lasts while
    this process runs without a long pause, so a partitioned daemon keeps serving its
    last revision.

    :param zone: zone of this daemon
    :param feed_clock: only its monotonic part is used
    :param longest_pause_s: a longer pause of the process revokes the confirmation
    """

    def __init__(
        self, zone: str, feed_clock: clock.Clock, longest_pause_s: float
    ) -> None:
        self._zone = zone
        self._clock = feed_clock
        self._longest_pause_s = longest_pause_s
        self._last_call_s = feed_clock.monotonic_s()
        self._peer_zones: dict[str, str] = {}
        self._answers: dict[str, int] = {}
        self._head_revision: int | None = None
        self._is_current = False
        self.applied_revision = 0
        self.known_revision = 0

    def check_pause(self) -> None:
        """Revoke the confirmation after a long pause; must be called regularly."""
        now_s = self._clock.monotonic_s()
        pause_s = now_s - self._last_call_s
        self._last_call_s = now_s
        if pause_s > self._longest_pause_s:
            self._is_current = False
            self._head_revision = None
            self._answers.clear()

    def is_current(self) -> bool:
        """Return whether the revision in force is confirmed to be current."""
        self.check_pause()
        return self._is_current

    def needs_fetch(self) -> bool:
        """Return whether a higher revision than the one in force is known."""
        return self.known_revision > self.applied_revision

    def learn_revision(self, revision: int) -> bool:
        """Record that a revision exists; return whether it is the highest so far."""
        if revision <= self.known_revision:
            return False
        self.known_revision = revision
        return True

    def apply(self, revision: int) -> bool:
        """Put a revision into force if it is higher than the one in force.

        :returns: whether the caller must apply the documents of this revision
        """
        if revision <= self.applied_revision:
            return False
        self.applied_revision = revision
        self.learn_revision(revision)
        self._confirm()
        return True

    def record_head(self, revision: int, started_s: float) -> None:
        """Record the head that the table service returned.

        :param revision: 0 when there is no head yet
        :param started_s: monotonic time before the read; a read that took longer than
            ``longest_pause_s`` is ignored, because the process may have paused since
        """
        self.check_pause()
        if self._clock.monotonic_s() - started_s > self._longest_pause_s:
            return
        self.learn_revision(revision)
        self._head_revision = revision
        self._confirm()

    def set_peers(self, zones: abc.Mapping[str, str]) -> None:
        """Set the other daemons, as listed by the platform or by peers.

        :param zones: zone by daemon name, excluding this daemon
        """
        self._peer_zones = dict(zones)
        self._confirm()

    def list_unanswered(self) -> list[str]:
        """Return the daemons whose answer counts and is still missing."""
        return [name for name in self._list_asked_peers() if name not in self._answers]

    def record_answer(self, daemon: str, revision: int, is_current: bool) -> None:
        """Record a peer's answer about its revision.

        :param is_current: whether the peer's revision is confirmed to be current
        """
        self.check_pause()
        self.learn_revision(revision)
        if is_current:
            self._answers[daemon] = revision
            self._confirm()

    def _confirm(self) -> None:
        if self._head_revision is not None:
            if self.applied_revision >= self._head_revision:
                self._is_current = True
            return
        asked = self._list_asked_peers()
        answers = [self._answers[name] for name in asked if name in self._answers]
        if not answers or 2 * len(answers) < len(asked):
            return
        if self.applied_revision >= max(self._answers.values()):
            self._is_current = True

    def _list_asked_peers(self) -> list[str]:
        in_zone = [
            name for name, zone in self._peer_zones.items() if zone == self._zone
        ]
        return in_zone or list(self._peer_zones)


def compute_confirmation(
    live: abc.Iterable[str], applied: abc.Mapping[str, int]
) -> int | None:
    """Return the highest revision that every live daemon of a zone has applied.

    :param live: names of the zone's live daemons
    :param applied: revision in force by name
    :returns: ``None`` when a daemon has not reported yet
    """
    revisions = [applied.get(name) for name in live]
    known = [revision for revision in revisions if revision is not None]
    if not known or len(known) != len(revisions):
        return None
    return min(known)


def write_confirmation(
    table_store: store.TableStore, zone: str, revision: int, operation_id: str
) -> result.Result[int, store.StoreError]:
    """Raise the confirmed revision of a zone; never lower it.

    :returns: the confirmed revision in the stored row
    """
    key = ACKS_PREFIX + zone
    reading = table_store.read(TABLE, key)
    if isinstance(reading, result.Err):
        return reading
    row = reading.ok_value
    if row is not None and int(row.value[REVISION_FIELD]) >= revision:
        return result.Ok(int(row.value[REVISION_FIELD]))
    written = store.transact_with_readback(
        table_store,
        operation_id,
        [store.Condition(TABLE, key, row.revision if row is not None else None)],
        [store.Write(TABLE, key, {REVISION_FIELD: revision})],
    )
    if isinstance(written, result.Err):
        return written
    return result.Ok(revision)
