"""Connects the failure detector to the transport that carries its messages."""

from __future__ import annotations

import dataclasses
import itertools
import random

import result

from endivevane.cluster import calls, messages, sessions, transport
from endivevane.coordination import (
    clock,
    gossip_messages,
    lease,
    members,
    membership,
    probes,
    store,
)
from endivevane.daemon import settings as daemon_settings

_DEAD = members.MemberState.DEAD
_JOIN_INTERVAL_S = 0.5
_JOIN_CONTACTS = 3
_OBSERVER_MARGIN_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SessionScan:
    """All session rows and the time around their read."""

    outcome: result.Result[list[store.Row], store.StoreError]
    started_s: float
    finished_s: float


class Neighbours:
    """Sends to members by name; runs on the cluster thread.

    :param settings: the daemon's settings
    :param peer_clock: only its monotonic part is used
    :param table_store: source of the addresses to join through
    :param background: runs the blocking calls
    :param generator: source of random choices
    :param peer_transport: carries the messages
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        peer_clock: clock.Clock,
        table_store: store.TableStore,
        background: calls.BackgroundCalls,
        generator: random.Random,
        peer_transport: transport.Transport,
    ) -> None:
        self._settings = settings
        self._clock = peer_clock
        self._store = table_store
        self._background = background
        self._random = generator
        self._transport = peer_transport
        self._join_due_s = peer_clock.monotonic_s()
        self._scan_due_s = self._join_due_s
        self._key_index = 0
        self._observer = lease.SessionObserver(
            settings.session.term_s * _OBSERVER_MARGIN_SHARE, peer_clock
        )
        self._rows: list[store.Row] = []
        self._scanned_names: set[str] = set()
        daemon = settings.daemon
        public_key = settings.keys.public if settings.keys is not None else ""
        self.detector = membership.FailureDetector(
            daemon.name,
            members.Description(
                daemon.cluster_listen, daemon.zone, daemon.region, public_key
            ),
            make_detector_settings(settings.membership),
            peer_clock,
            generator,
        )

    def run(self, now_s: float) -> None:
        """Join through seeds while alone, and scan the sessions when due."""
        is_alone = len(self.detector.table) <= 1
        if is_alone and now_s >= self._join_due_s:
            self._join_due_s = now_s + _JOIN_INTERVAL_S
            self._join()
        if now_s < self._scan_due_s or not (is_alone or self.detector.is_gateway()):
            return
        if self._background.start(sessions.SCAN, self._scan):
            term_s = self._settings.session.term_s
            self._scan_due_s = now_s + (min(1.0, term_s) if is_alone else term_s / 2)

    def record_scan(self, scan: SessionScan | None) -> None:
        """Apply the outcome of a session scan."""
        if scan is None or isinstance(scan.outcome, result.Err):
            return
        self._rows = scan.outcome.ok_value
        present = {row.key for row in self._rows}
        for name in self._scanned_names - present:
            self._observer.forget(name)
        self._scanned_names = present
        for row in self._rows:
            self._observer.observe(row.key, row, scan.started_s, scan.finished_s)
        expired = self._observer.list_expired()
        for name in expired:
            self._report_expired(name)
        self._contact_unregistered(expired)

    def list_zones(self, listed: frozenset[str] | None) -> dict[str, str]:
        """Return the zone of every other listed daemon.

        A dead daemon counts until the platform no longer lists it, and a seed without
        a known member counts as a daemon of the own zone: either may have a higher
        configuration revision.

        :param listed: names in the platform's list of VMs; ``None`` when unknown
        """
        me = self.detector.me
        zones: dict[str, str] = {}
        addresses = {me.description.address}
        for member in self.detector.table:
            addresses.add(member.description.address)
            is_unlisted = listed is not None and member.name not in listed
            is_removed = member.state is _DEAD and is_unlisted
            if member.name == me.name or is_removed:
                continue
            zones[member.name] = member.description.zone
        for seed in self._settings.membership.seeds:
            if seed not in addresses:
                zones[transport.SEED_PREFIX + seed] = me.description.zone
        return zones

    def make_header(self) -> gossip_messages.Header:
        """Return a header without updates."""
        me = self.detector.me
        return gossip_messages.Header(
            me.name,
            me.incarnation,
            self.detector.known_revision,
            self.detector.applied_revision,
        )

    def flush(self) -> None:
        """Send the queued messages of the failure detector."""
        for name in self.detector.take_reconnects():
            self._transport.drop_unresponsive(name)
        for outgoing in self.detector.take_outgoing():
            prefer_route = isinstance(
                outgoing.message, gossip_messages.Ack | gossip_messages.SyncRows
            )
            self.send(outgoing.receiver, outgoing.message, prefer_route)

    def send(
        self, name: str, message: messages.Message, prefer_route: bool = False
    ) -> None:
        """Send to a member or seed, and open a connection if there is none."""
        if name == self.detector.me.name:
            return
        if not prefer_route:
            self._connect(name)
        if self._transport.send(name, message, prefer_route):
            return
        self._connect(name)
        self._transport.send(name, message)

    def send_to_links(self, message: messages.Message, excluded: str = "") -> None:
        """Send to the members that this daemon exchanges probes with."""
        for name in self.detector.list_links():
            if name != excluded:
                self.send(name, message)

    def forward(self, message: messages.Application | messages.VmsLeaving) -> None:
        """Forward a broadcast to all links except the one it came from."""
        forwarded = dataclasses.replace(message, header=self.make_header())
        self.send_to_links(forwarded, excluded=message.header.sender)

    def _connect(self, name: str) -> None:
        if name.startswith(transport.SEED_PREFIX):
            address = name.removeprefix(transport.SEED_PREFIX)
            if not self._transport.is_connected(name):
                self._transport.connect(name, address, self._select_key(address))
            return
        member = self.detector.table.get(name)
        if member is not None:
            peer = member.description
            self._transport.connect(name, peer.address, peer.public_key)

    def replace_keys(self, keys: daemon_settings.KeysSection) -> None:
        """Replace the allowed keys and close connections with other keys."""
        self._settings = self._settings.model_copy(update={"keys": keys})
        self._transport.replace_keys(keys)

    def _select_key(self, address: str) -> str:
        """Return a seed's key: from its session row, else the next allowed key."""
        keys = self._settings.keys
        if keys is None:
            return ""
        for row in self._rows:
            if row.value.get("gossip_address") == address:
                return str(row.value.get("public_key", ""))
        named = itertools.chain.from_iterable(keys.peers.values())
        candidates = list(dict.fromkeys((keys.public, *keys.peer_public, *named)))
        self._key_index += 1
        return candidates[self._key_index % len(candidates)]

    def _join(self) -> None:
        own = self._settings.daemon.cluster_listen
        addresses = [str(row.value.get("gossip_address", "")) for row in self._rows]
        addresses += self._settings.membership.seeds
        others = sorted({address for address in addresses if address not in ("", own)})
        count = min(_JOIN_CONTACTS, len(others))
        for address in self._random.sample(others, count):
            self._contact(address)

    def _contact_unregistered(self, expired: list[str]) -> None:
        """Contact daemons that renew their session but are not alive members."""
        unregistered: list[str] = []
        for row in self._rows:
            member = self.detector.table.get(row.key)
            is_known = member is not None and member.state is not _DEAD
            if is_known or row.key in expired or row.key == self.detector.me.name:
                continue
            unregistered.append(str(row.value.get("gossip_address", "")))
        count = min(_JOIN_CONTACTS, len(unregistered))
        for address in self._random.sample(unregistered, count):
            self._contact(address)

    def _contact(self, address: str) -> None:
        """Request the member table of a daemon known only by its address."""
        name = transport.SEED_PREFIX + address
        # A wrong key gets no answer, so each attempt may need a new connection.
        self._transport.drop_unresponsive(name)
        self.detector.join(name)

    def _report_expired(self, name: str) -> None:
        """Report an expired session as dead if its region is unresponsive."""
        member = self.detector.table.get(name)
        if member is None or member.state is _DEAD:
            return
        if member.description.region == self.detector.me.description.region:
            return
        if not self.detector.was_region_seen(member.description.region):
            self.detector.report_session_expired(name)

    def _scan(self) -> SessionScan:
        started_s = self._clock.monotonic_s()
        outcome = sessions.scan_sessions(self._store)
        return SessionScan(outcome, started_s, self._clock.monotonic_s())


def make_detector_settings(
    section: daemon_settings.MembershipSection,
) -> probes.DetectorSettings:
    """Convert the settings section to the detector's settings."""
    return probes.DetectorSettings(
        probe_interval_s=section.probe_interval_s,
        probe_timeout_s=section.probe_timeout_s,
        suspect_timeout_s=section.suspect_timeout_s,
        max_probes=3 * section.max_connections,
    )
