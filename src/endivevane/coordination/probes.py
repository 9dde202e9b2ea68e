"""Settings of the failure detector and its probes in flight."""

from __future__ import annotations

import dataclasses

_MAX_RELAYS = 64
_ANSWER_WEIGHT = 0.125
_ANSWER_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorSettings:
    """Times and bounds of the detector.

    :param probe_interval_s: time in which each watched member is pinged once
    :param probe_timeout_s: wait for an indirect answer, and longest wait for a direct
        one; the shortest is half of it, which covers a pause of 200 ms at the watched
        member
    :param suspect_timeout_s: time from suspicion to death without a refutation
    :param rings: members that each member watches
    :param indirect_probes: members asked to probe one that does not answer
    :param max_links: members that unsolicited gossip goes to at most
    :param max_probes: pings in flight at most
    :param max_updates: updates piggybacked on a probe or its answer at most
    :param max_pushed_updates: updates in one unsolicited message at most; with 32 of
        them updates on the loss of half of 340 members took turns for a second
    :param max_tick_gap_s: longest time between two calls in normal operation; what
        exceeds it was a pause of this process
    :param push_interval_s: shortest time between two rounds of unsolicited gossip
    :param sync_interval_s: time between comparisons of whole tables
    :param tombstone_s: how long a dead member is remembered
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

    :param is_indirect: whether other members have been asked to probe too
    """

    sequence: int
    sent_s: float
    deadline_s: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A ping sent on behalf of another member.

    :param origin: the member that asked
    :param sequence: sequence number that the origin used
    """

    origin: str
    sequence: int
    expires_s: float


class ProbeRegistry:
    """Probes and relays in flight, both bounded in number.

    :param settings: times and bounds
    """

    def __init__(self, settings: DetectorSettings) -> None:
        self._settings = settings
        self._probes: dict[str, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._sequence = 0
        self._answer_s = 0.0

    def __contains__(self, name: object) -> bool:
        return name in self._probes

    def is_silent(self, name: str) -> bool:
        """Tell whether a member did not answer its last direct ping."""
        probe = self._probes.get(name)
        return probe is not None and probe.is_indirect

    def start(self, name: str, now_s: float) -> int | None:
        """Open a probe and return its number, if one is free for this member."""
        if name in self._probes or len(self._probes) >= self._settings.max_probes:
            return None
        self._sequence += 1
        probe = Probe(self._sequence, now_s, now_s + self._compute_wait_s())
        self._probes[name] = probe
        return probe.sequence

    def _compute_wait_s(self) -> float:
        """Return the wait for a direct answer, longer when answers have been slow."""
        longest_s = self._settings.probe_timeout_s
        return min(longest_s, max(longest_s / 2, _ANSWER_FACTOR * self._answer_s))

    def list_expired(self, now_s: float) -> list[str]:
        """Return names whose probe has waited long enough."""
        return [
            name for name, probe in self._probes.items() if probe.deadline_s <= now_s
        ]

    def make_indirect(self, name: str, now_s: float) -> int:
        """Give a probe the time for an indirect answer and return its number."""
        probe = self._probes[name]
        probe.is_indirect = True
        probe.deadline_s = now_s + self._settings.probe_timeout_s
        return probe.sequence

    def close(self, name: str) -> None:
        """Forget the probe to a member."""
        self._probes.pop(name, None)

    def resolve(self, sequence: int, now_s: float) -> str | None:
        """Close the probe with this number and return whom it was sent to."""
        for name, probe in self._probes.items():
            if probe.sequence == sequence:
                del self._probes[name]
                passed_s = now_s - probe.sent_s
                self._answer_s += _ANSWER_WEIGHT * (passed_s - self._answer_s)
                return name
        return None

    def start_relay(self, origin: str, sequence: int, now_s: float) -> int | None:
        """Return the number for a ping on behalf of another, if one is free."""
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
        """Return and forget the relay that used this number."""
        return self._relays.pop(sequence, None)

    def extend(self, duration_s: float) -> None:
        """Move all deadlines."""
        for probe in self._probes.values():
            probe.deadline_s += duration_s
