"""Settings and in-flight probes of the failure detector."""

from __future__ import annotations

import dataclasses

_MAX_RELAYS = 64
_ROUND_TRIP_WEIGHT = 0.125
_ROUND_TRIP_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Intervals, timeouts and limits of the failure detector.

    :param probe_interval_s: interval at which each watched member is pinged
    :param probe_timeout_s: timeout of an indirect probe and upper bound for a direct
        one; the lower bound is half of it, which covers a pause of 200 ms at the
        probed member
    :param suspect_timeout_s: time from suspicion to death without a refutation
    :param rings: number of members that each member watches
    :param indirect_probes: number of members asked to probe an unresponsive one
    :param max_links: maximum number of receivers of unsolicited gossip
    :param max_probes: maximum number of pings in flight
    :param max_updates: maximum number of updates piggybacked on a probe or its answer
    :param max_pushed_updates: maximum number of updates in an unsolicited message;
        with 32, the updates on the loss of half of 340 members needed a second of
        rotation
    :param max_tick_gap_s: longest time between two calls in normal operation; any
        excess is treated as a pause of this process
    :param push_interval_s: shortest time between two rounds of unsolicited gossip
    :param sync_interval_s: interval between comparisons of whole tables
    :param tombstone_s: retention of dead members
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspect_timeout_s: float = 2.5
    rings: int = 3
    indirect_probes: int = 2
    max_links: int = 8
    max_probes: int = 24
    max_updates: int = 8
    max_pushed_updates: int = 200
    max_tick_gap_s: float = 0.15
    push_interval_s: float = 0.1
    sync_interval_s: float = 20.0
    tombstone_s: float = 600.0


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that has not been answered yet.

    :param is_indirect: whether other members have been asked to probe as well
    """

    sequence: int
    sent_s: float
    deadline_s: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent on behalf of another member.

    :param origin: the member that requested the probe
    :param sequence: sequence number of the origin's request
    """

    origin: str
    sequence: int
    expires_s: float


class ProbeRegistry:
    """Registry of the probes and relays in flight, both bounded in number.

    :param settings: timeouts and limits
    """

    def __init__(self, settings: DetectorSettings) -> None:
        self._settings = settings
        self._probes: dict[str, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._sequence = 0
        self._round_trip_s = 0.0

    def __contains__(self, name: object) -> bool:
        return name in self._probes

    def is_unresponsive(self, name: str) -> bool:
        """Return whether a member did not answer its last direct ping."""
        probe = self._probes.get(name)
        return probe is not None and probe.is_indirect

    def start(self, name: str, now_s: float) -> int | None:
        """Start a probe and return its sequence number, if the limits allow."""
        if name in self._probes or len(self._probes) >= self._settings.max_probes:
            return None
        self._sequence += 1
        probe = Probe(self._sequence, now_s, now_s + self._compute_wait_s())
        self._probes[name] = probe
        return probe.sequence

    def _compute_wait_s(self) -> float:
        """Return the timeout of a direct probe, adapted to the recent round trips."""
        longest_s = self._settings.probe_timeout_s
        return min(
            longest_s, max(longest_s / 2, _ROUND_TRIP_FACTOR * self._round_trip_s)
        )

    def list_expired(self, now_s: float) -> list[str]:
        """Return the members whose probe has timed out."""
        return [
            name for name, probe in self._probes.items() if probe.deadline_s <= now_s
        ]

    def make_indirect(self, name: str, now_s: float) -> int:
        """Extend a probe by the indirect timeout and return its sequence number."""
        probe = self._probes[name]
        probe.is_indirect = True
        probe.deadline_s = now_s + self._settings.probe_timeout_s
        return probe.sequence

    def close(self, name: str) -> None:
        """Discard the probe of a member."""
        self._probes.pop(name, None)

    def resolve(self, sequence: int, now_s: float) -> str | None:
        """Complete the probe with a sequence number and return its member."""
        for name, probe in self._probes.items():
            if probe.sequence == sequence:
                del self._probes[name]
                elapsed_s = now_s - probe.sent_s
                self._round_trip_s += _ROUND_TRIP_WEIGHT * (
                    elapsed_s - self._round_trip_s
                )
                return name
        return None

    def start_relay(self, origin: str, sequence: int, now_s: float) -> int | None:
        """Return the sequence number for a relayed ping, if the limit allows."""
        for number, relay in list(self._relays.items()):
            if relay.expires_s <= now_s:
                del self._relays[number]
        if len(self._relays) >= _MAX_RELAYS:
            return None
        self._sequence += 1
        expires_s = now_s + 2 * self._settings.probe_timeout_s
        self._relays[self._sequence] = Relay(origin, sequence, expires_s)
        return self._sequence

    def finish_relay(self, sequence: int) -> Relay | None:
        """Remove and return the relay with a sequence number."""
        return self._relays.pop(sequence, None)

    def extend(self, duration_s: float) -> None:
        """Extend the deadlines of all probes."""
        for probe in self._probes.values():
            probe.deadline_s += duration_s
