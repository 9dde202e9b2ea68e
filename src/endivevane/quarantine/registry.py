"""The quarantined traits that this daemon knows, and what lifts a quarantine."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import logs
from endivevane.quarantine import decisions, evidence
from endivevane.serving import model

# Time until one request is tried again; it doubles with each try.
_FIRST_PERIOD_S = 30.0
_MAX_PERIOD_S = 600.0
# A quarantine that no request has hit for this long after its period is dropped.
_UNUSED_TTL_S = 600.0
_MAX_ENTRIES = 64
# Above any number of tries, at one in ten minutes.
MAX_TRIES = 1_000_000
# After this many tries the period is at its maximum.
_MAX_DOUBLINGS = 10


@dataclasses.dataclass(slots=True)
class Entry:
    """Traits in quarantine: a request that has all of them is refused.

    :ivar entry_id: names the quarantine at all daemons and in the store
    :ivar traits: at least one; those that an answer clears are left out
    :ivar tries: requests that were let through to see whether they still crash targets
    :ivar decided_s: monotonic time of the decision; older answers do not lift it
    :ivar retry_at_s: monotonic time from which one request may be tried
    :ivar used_s: monotonic time of the last request that it refused
    """

    entry_id: str
    traits: frozenset[str]
    tries: int
    decided_s: float
    retry_at_s: float
    used_s: float

    def matches(self, request: model.ClientRequest, fingerprint: str) -> bool:
        """Return whether a request has all of the traits."""
        return all(
            trait in request.prompt_segments or trait == fingerprint
            for trait in self.traits
        )


class QuarantineRegistry:
    """Holds the evidence and the quarantines of this daemon.

    :ivar has_fingerprints: whether single requests are in quarantine
    """

    def __init__(self) -> None:
        self.evidence = evidence.Evidence()
        self._entries: dict[str, Entry] = {}
        self._by_trait: dict[str, list[Entry]] = {}
        self.has_fingerprints = False

    @property
    def entries(self) -> abc.Collection[Entry]:
        """All quarantines in force."""
        return self._entries.values()

    def find(self, entry_id: str) -> Entry | None:
        """Return a quarantine by its name."""
        return self._entries.get(entry_id)

    def check(self, request: model.ClientRequest, now_s: float) -> Entry | None:
        """Return the quarantine that a request falls under, ``None`` if none does."""
        if not self._entries:
            return None
        fingerprint = ""
        if self.has_fingerprints:
            fingerprint = evidence.make_fingerprint(request)
        for trait in (*request.prompt_segments, fingerprint):
            for entry in self._by_trait.get(trait, ()):
                if entry.matches(request, fingerprint):
                    entry.used_s = now_s
                    return entry
        return None

    def find_suspect_segment(self, request: model.ClientRequest) -> str | None:
        """Return a suspect segment of which no request has been answered whole."""
        if not len(self.evidence):
            return None
        for segment in reversed(request.prompt_segments):
            if self.evidence.find_answered_s(segment) is not None:
                continue
            if self.evidence.is_accused(segment):
                return segment
        return None

    def record_answers(self, traits: abc.Iterable[str], answered_s: float) -> list[str]:
        """Record that a request with some traits was answered whole.

        :return: those of the traits that were in quarantine
        """
        cleared = list(traits)
        self.evidence.add_answer(cleared, answered_s)
        if not self._entries:
            return []
        lifted = []
        for trait in cleared:
            for entry in list(self._by_trait.get(trait, ())):
                if answered_s > entry.decided_s:
                    lifted.append(trait)
                    self._narrow(entry, trait)
        return lifted

    def decide(self, now_s: float) -> list[Entry]:
        """Quarantine what the evidence accuses; return the new quarantines."""
        decided: list[Entry] = []
        while True:
            quarantined = [entry.traits for entry in self._entries.values()]
            found = decisions.find_crashing_traits(self.evidence, quarantined)
            entries = [make_entry(traits, now_s) for traits in found]
            fresh = [entry for entry in entries if self.apply(entry, now_s)]
            if not fresh:
                return decided
            decided += fresh

    def apply(self, entry: Entry, now_s: float) -> bool:
        """Apply a quarantine of any daemon; return whether it is news."""
        known = self._entries.get(entry.entry_id)
        if known is not None:
            if entry.tries <= known.tries:
                return False
            known.tries, known.retry_at_s = entry.tries, entry.retry_at_s
            return True
        entry.traits = frozenset(
            trait
            for trait in entry.traits
            if (self.evidence.find_answered_s(trait) or 0.0) <= entry.decided_s
        )
        if not entry.traits:
            return False
        if any(other.traits <= entry.traits for other in self._entries.values()):
            return False
        for other in list(self._entries.values()):
            if entry.traits < other.traits:
                self.drop(other.entry_id)
        self._make_room()
        self._entries[entry.entry_id] = entry
        self._refresh()
        logs.warning(
            "quarantine_begun",
            entry=entry.entry_id,
            traits=",".join(sorted(entry.traits)),
            tries=entry.tries,
            retry_s=round(entry.retry_at_s - now_s, 1),
        )
        return True

    def drop(self, entry_id: str) -> None:
        """End a quarantine."""
        if self._entries.pop(entry_id, None) is not None:
            self._refresh()
            logs.info("quarantine_ended", entry=entry_id)

    def expire(self, now_s: float) -> list[str]:
        """Drop old evidence and unused quarantines; return the names of the latter."""
        self.evidence.expire(now_s)
        unused = [
            entry.entry_id
            for entry in self._entries.values()
            if now_s - max(entry.used_s, entry.retry_at_s) > _UNUSED_TTL_S
        ]
        for entry_id in unused:
            self.drop(entry_id)
        return unused

    def _narrow(self, entry: Entry, trait: str) -> None:
        """Leave a trait out of a quarantine, which ends with its last one."""
        entry.traits -= {trait}
        logs.info(
            "quarantine_narrowed",
            entry=entry.entry_id,
            cleared=trait,
            left=",".join(sorted(entry.traits)) or None,
        )
        if entry.traits:
            self._refresh()
        else:
            self.drop(entry.entry_id)

    def _make_room(self) -> None:
        if len(self._entries) < _MAX_ENTRIES:
            return
        least_used = min(self._entries.values(), key=lambda entry: entry.used_s)
        self.drop(least_used.entry_id)

    def _refresh(self) -> None:
        """Index the quarantines by trait after a change."""
        self._by_trait = {}
        for entry in self._entries.values():
            for trait in entry.traits:
                self._by_trait.setdefault(trait, []).append(entry)
        self.has_fingerprints = any(map(evidence.is_fingerprint, self._by_trait))


def make_entry(traits: frozenset[str], now_s: float) -> Entry:
    """Return a quarantine that is decided now."""
    return Entry(
        entry_id="+".join(sorted(traits)),
        traits=traits,
        tries=0,
        decided_s=now_s,
        retry_at_s=now_s + find_period_s(0),
        used_s=now_s,
    )


def find_period_s(tries: int) -> float:
    """Return the time from a try, or from the decision, until the next try."""
    return min(_MAX_PERIOD_S, _FIRST_PERIOD_S * 2.0 ** min(tries, _MAX_DOUBLINGS))
