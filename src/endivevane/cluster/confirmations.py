"""Confirms a configuration revision once all daemons of a zone have applied it."""

from __future__ import annotations

import result

from endivevane import logs, utils
from endivevane.cluster import calls, messages, neighbours
from endivevane.coordination import feed, gossip_messages, members, store

WRITE = "config_ack"
_RETRY_S = 2.0
_CHECK_INTERVAL_S = 0.5


class ZoneConfirmations:
    """Reports applied revisions to the zone's gateway, or confirms them as gateway.

    Runs on the cluster thread.

    :param peers: other daemons and the connections to them
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
        self._report_due_s = 0.0
        self._check_due_s = 0.0
        self._written = 0
        self._has_failed = False

    def record_applied(self, header: gossip_messages.Header) -> None:
        """Record the revision that the sender of a message has applied."""
        self._applied[header.sender] = header.applied_revision

    def list_holders(self, revision: int) -> list[str]:
        """Return the members known to have applied at least this revision."""
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
        """Report to the gateway, or confirm for the zone, when due."""
        detector = self._peers.detector
        me = detector.me
        if now_s < self._check_due_s or detector.applied_revision == 0:
            return
        self._check_due_s = now_s + _CHECK_INTERVAL_S
        gateway = detector.find_gateway(me.description.zone)
        if gateway == me.name:
            self._confirm()
            return
        if gateway is None:
            return
        report = (gateway, detector.applied_revision)
        if report == self._reported or now_s < self._report_due_s:
            return
        self._report_due_s = now_s + _RETRY_S
        message = messages.ConfigApplied(self._peers.make_header(), is_answer=False)
        self._peers.send(gateway, message)

    def handle(self, message: messages.ConfigApplied) -> None:
        """Answer a member's report, or record the gateway's answer."""
        header = message.header
        if message.is_answer:
            # The answer carries the revision that the gateway recorded for this daemon.
            self._reported = (header.sender, message.revision)
            self._report_due_s = 0.0
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
            self._check_due_s += _RETRY_S
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
