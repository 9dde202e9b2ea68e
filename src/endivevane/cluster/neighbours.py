"""The failure detector together with the transport that carries its messages."""

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
class Scan:
    """All session rows, and when they were read."""

    outcome: result.Result[list[store.Row], store.StoreError]
    started_s: float
    finished_s: float


class Neighbours:
    """Sends to members by name; runs on the cluster thread.

    :param settings: the daemon's settings
    :param peer_clock: only its monotonic part is used
    :param table_store: source of the first addresses
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
        self._join_at_s = peer_clock.monotonic_s()
        self._scan_at_s = self._join_at_s
        self._key_turn = 0
        self._observer = lease.SessionObserver(
            settings.session.term_s * _OBSERVER_MARGIN_SHARE, peer_clock
        )
        self._rows: list[store.Row] = []
        self._seen: set[str] = set()
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
        """Join through seeds while alone, and read the sessions when it is due."""
        is_alone = len(self.detector.table) <= 1
        if is_alone and now_s >= self._join_at_s:
            self._join_at_s = now_s + _JOIN_INTERVAL_S
            self._join()
        if now_s < self._scan_at_s or not (is_alone or self.detector.is_gateway()):
            return
        if self._background.start(sessions.SCAN, self._scan):
            term_s = self._settings.session.term_s
            self._scan_at_s = now_s + (min(1.0, term_s) if is_alone else term_s / 2)

    def record_scan(self, scan: Scan | None) -> None:
        """Apply the outcome of reading all sessions."""
        if scan is None or isinstance(scan.outcome, result.Err):
            return
        self._rows = scan.outcome.ok_value
        present = {row.key for row in self._rows}
        for name in self._seen - present:
            self._observer.forget(name)
        self._seen = present
        for row in self._rows:
            self._observer.observe(row.key, row, scan.started_s, scan.finished_s)
        lapsed = self._observer.list_expired()
        for name in lapsed:
            self._report_lapsed(name)
        self._meet_strangers(lapsed)

    def list_zones(self, listed: frozenset[str] | None) -> dict[str, str]:
        """Return the zone of every other listed daemon.

        A dead daemon counts until the platform no longer lists it, and a seed that no
        member is known for counts as one of the own zone: either may hold a higher
        configuration revision.

        :param listed: names in the platform's list of VMs; ``None`` when unknown
        """
        me = self.detector.me
        zones: dict[str, str] = {}
        addresses = {me.description.address}
        for member in self.detector.table:
            addresses.add(member.description.address)
            is_unlisted = listed is not None and member.name not in listed
            is_gone = member.state is _DEAD and is_unlisted
            if member.name == me.name or is_gone:
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
        """Send what the failure detector wants to send."""
        for name in self.detector.take_reconnects():
            self._transport.drop_silent(name)
        for outgoing in self.detector.take_outgoing():
            prefer_route = isinstance(
                outgoing.message, gossip_messages.Ack | gossip_messages.SyncRows
            )
            self.send(outgoing.receiver, outgoing.message, prefer_route)

    def send(
        self, name: str, message: messages.Message, prefer_route: bool = False
    ) -> None:
        """Send to a member or seed; opens a connection when there is none."""
        if name == self.detector.me.name:
            return
        if not prefer_route:
            self._connect(name)
        if self._transport.send(name, message, prefer_route):
            return
        self._connect(name)
        self._transport.send(name, message)

    def send_to_links(self, message: messages.Message, besides: str = "") -> None:
        """Send to the members that this daemon exchanges probes with."""
        for name in self.detector.list_links():
            if name != besides:
                self.send(name, message)

    def forward(self, message: messages.Application | messages.VmsLeaving) -> None:
        """Pass a broadcast on to all links but the one that it came from."""
        forwarded = dataclasses.replace(message, header=self.make_header())
        self.send_to_links(forwarded, besides=message.header.sender)

    def _connect(self, name: str) -> None:
        if name.startswith(transport.SEED_PREFIX):
            address = name.removeprefix(transport.SEED_PREFIX)
            if not self._transport.is_connected(name):
                self._transport.connect(name, address, self._guess_key(address))
            return
        member = self.detector.table.get(name)
        if member is not None:
            place = member.description
            self._transport.connect(name, place.address, place.public_key)

    def replace_keys(self, keys: daemon_settings.KeysSection) -> None:
        """Take over lists of allowed keys; connections with other keys are closed."""
        self._settings = self._settings.model_copy(update={"keys": keys})
        self._transport.replace_keys(keys)

    def _guess_key(self, address: str) -> str:
        """Return the key of a seed: from its session row, or the allowed in turn."""
        keys = self._settings.keys
        if keys is None:
            return ""
        for row in self._rows:
            if row.value.get("gossip_address") == address:
                return str(row.value.get("public_key", ""))
        named = itertools.chain.from_iterable(keys.peers.values())
        candidates = list(dict.fromkeys((keys.public, *keys.peer_public, *named)))
        self._key_turn += 1
        return candidates[self._key_turn % len(candidates)]

    def _join(self) -> None:
        own = self._settings.daemon.cluster_listen
        addresses = [str(row.value.get("gossip_address", "")) for row in self._rows]
        addresses += self._settings.membership.seeds
        others = sorted({address for address in addresses if address not in ("", own)})
        count = min(_JOIN_CONTACTS, len(others))
        for address in self._random.sample(others, count):
            self._contact(address)

    def _meet_strangers(self, lapsed: list[str]) -> None:
        """Contact daemons that renew their session but are not known as alive."""
        strangers: list[str] = []
        for row in self._rows:
            member = self.detector.table.get(row.key)
            is_known = member is not None and member.state is not _DEAD
            if is_known or row.key in lapsed or row.key == self.detector.me.name:
                continue
            strangers.append(str(row.value.get("gossip_address", "")))
        count = min(_JOIN_CONTACTS, len(strangers))
        for address in self._random.sample(strangers, count):
            self._contact(address)

    def _contact(self, address: str) -> None:
        """Ask a daemon for its table by its address alone."""
        name = transport.SEED_PREFIX + address
        # A wrong key shows as silence, so each try may need another connection.
        self._transport.drop_silent(name)
        self.detector.join(name)

    def _report_lapsed(self, name: str) -> None:
        """Report a lapse as death where no watcher of its region can be heard."""
        member = self.detector.table.get(name)
        if member is None or member.state is _DEAD:
            return
        if member.description.region == self.detector.me.description.region:
            return
        if not self.detector.was_region_seen(member.description.region):
            self.detector.report_session_expired(name)

    def _scan(self) -> Scan:
        started_s = self._clock.monotonic_s()
        outcome = sessions.scan_sessions(self._store)
        return Scan(outcome, started_s, self._clock.monotonic_s())


def make_detector_settings(
    section: daemon_settings.MembershipSection,
) -> probes.DetectorSettings:
    """Return the detector's settings for those of the daemon."""
    return probes.DetectorSettings(
        probe_interval_s=section.probe_interval_s,
        probe_timeout_s=section.probe_timeout_s,
        suspect_timeout_s=section.suspect_timeout_s,
        max_probes=3 * section.max_connections,
    )
