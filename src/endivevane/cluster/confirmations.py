"""Confirmation of a configuration revision by all daemons of a zone."""

from __future__ import annotations

import result

from endivevane import logs, utils
from endivevane.cluster import calls, messages, neighbours
from endivevane.coordination import feed, gossip_messages, members, store

WRITE = "config_ack"
_REPEAT_S = 2.0
_CHECK_S = 0.5


class ZoneConfirmations:
    """Reports to the zone's gateway, or acts as it; runs on the cluster thread.

    :param peers: members and connections
    :param table_store: where the confirmation is written
    :param background: runs the blocking calls
    """

    def __init__(
        self,
        peers: neighbours.Neighbours,
        table_store: store.TableStore,
        background: calls.BackgroundCalls,
    ) -> None:
        self._peers = peers
        self._store = table_store
        self._background = background
        self._applied: dict[str, int] = {}
        self._reported: tuple[str, int] | None = None
        self._repeat_at_s = 0.0
        self._check_at_s = 0.0
        self._written = 0
        self._has_failed = False

    def record_applied(self, header: gossip_messages.Header) -> None:
        """Remember the revision in force at the sender of a message."""
        self._applied[header.sender] = header.applied_revision

    def list_holders(self, revision: int) -> list[str]:
        """Return members that are known to have a revision in force."""
        table = self._peers.detector.table
        holders: list[str] = []
        for name, applied in self._applied.items():
            member = table.get(name)
            if member is None or member.state is members.MemberState.DEAD:
                continue
            if applied >= revision:
                holders.append(name)
        return holders

    def run(self, now_s: float) -> None:
        """Report, or confirm for the zone, when something is due."""
        detector = self._peers.detector
        me = detector.me
        if now_s < self._check_at_s or detector.applied_revision == 0:
            return
        self._check_at_s = now_s + _CHECK_S
        gateway = detector.find_gateway(me.description.zone)
        if gateway == me.name:
            self._confirm()
            return
        if gateway is None:
            return
        report = (gateway, detector.applied_revision)
        if report == self._reported or now_s < self._repeat_at_s:
            return
        self._repeat_at_s = now_s + _REPEAT_S
        message = messages.ConfigApplied(self._peers.make_header(), is_answer=False)
        self._peers.send(gateway, message)

    def handle(self, message: messages.ConfigApplied) -> None:
        """Answer a report, or take note of an answer."""
        header = message.header
        if message.is_answer:
            # The gateway echoes the revision that it has recorded for this daemon.
            self._reported = (header.sender, message.revision)
            self._repeat_at_s = 0.0
            return
        answer = messages.ConfigApplied(
            self._peers.make_header(), True, header.applied_revision
        )
        self._peers.send(header.sender, answer, prefer_route=True)

    def record_written(
        self, outcome: result.Result[int, store.StoreError] | None
    ) -> None:
        """Apply the outcome of writing the confirmation."""
        if outcome is None or isinstance(outcome, result.Err):
            if not self._has_failed:
                logs.warning("config_ack_failed", error=outcome and outcome.err_value)
            self._has_failed = True
            self._check_at_s += _REPEAT_S
            return
        self._has_failed = False
        self._written = max(self._written, outcome.ok_value)

    def _confirm(self) -> None:
        detector = self._peers.detector
        me = detector.me
        zone = me.description.zone
        live = detector.table.list_zone(zone)
        applied = {**self._applied, me.name: detector.applied_revision}
        revision = feed.compute_confirmation(live, applied)
        if revision is None or revision <= self._written:
            return
        operation_id = utils.make_id("ack")
        table_store = self._store
        self._background.start(
            WRITE,
            lambda: feed.write_confirmation(table_store, zone, revision, operation_id),
        )
