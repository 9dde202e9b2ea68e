"""Evidence from targets that ended: which requests were waiting for an answer there.

A request's traits are the segments of its prompt that others may share and its
fingerprint. A target that begins to answer a request clears all of its traits; a target
that ends before the first event accuses them.
"""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

import xxhash

from endivevane.serving import model

# Ends of targets older than this accuse no one.
_EVIDENCE_TTL_S = 60.0
_MAX_ENDS = 64
# Requests of one end that are kept; a crash may end a long queue.
_MAX_SUSPECTS_PER_END = 32
# Requests of one end that a daemon reports, those that were running first.
MAX_REPORTED_SUSPECTS = 16
# Traits of each kind whose last answer is remembered, the newest ones.
_MAX_ANSWERED_TRAITS = 4096
# A request whose answer had begun was running; one without a head may only have waited.
_RUNNING_WEIGHT = 1.0
_WAITING_WEIGHT = 0.5
_FINGERPRINT_PREFIX = "request:"


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that had no event of its answer when its target ended.

    :param fingerprint: the trait that only repeats of the request share
    :param segments: segments of the prompt that others may share, in order
    :param had_head: whether the head of the response had arrived
    """

    fingerprint: str
    segments: tuple[str, ...]
    had_head: bool

    @property
    def weight(self) -> float:
        """How much it accuses its traits."""
        return _RUNNING_WEIGHT if self.had_head else _WAITING_WEIGHT

    def has_trait(self, trait: str) -> bool:
        """Return whether a trait is one of the request's."""
        return trait == self.fingerprint or trait in self.segments

    def matches(self, traits: frozenset[str]) -> bool:
        """Return whether the request has all of some traits."""
        return all(self.has_trait(trait) for trait in traits)


@dataclasses.dataclass(slots=True)
class TargetEnd:
    """The end of one run of a target, as all daemons report it.

    :ivar ended_s: monotonic time of the end
    :ivar answers_before: answers that this daemon had seen begin by then
    :ivar suspects: by fingerprint
    """

    ended_s: float
    answers_before: int
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)

    def add(self, suspect: Suspect) -> bool:
        """Add a request; return whether that is news."""
        known = self.suspects.get(suspect.fingerprint)
        if known is not None and known.had_head >= suspect.had_head:
            return False
        if known is None and len(self.suspects) >= _MAX_SUSPECTS_PER_END:
            return False
        self.suspects[suspect.fingerprint] = suspect
        return True

    def is_explained_by(self, traits: frozenset[str]) -> bool:
        """Return whether one of its requests has all of some traits."""
        return any(suspect.matches(traits) for suspect in self.suspects.values())


class _AnswerTimes:
    """Times of the last answers, by trait; the oldest ones are forgotten."""

    def __init__(self) -> None:
        self._times_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, trait: str, began_s: float) -> None:
        """Record an answer at a monotonic time."""
        self._times_s[trait] = max(self._times_s.get(trait, 0.0), began_s)
        self._times_s.move_to_end(trait)
        if len(self._times_s) > _MAX_ANSWERED_TRAITS:
            self._times_s.popitem(last=False)

    def find(self, trait: str) -> float | None:
        """Return the monotonic time of the last answer, ``None`` if none is known."""
        return self._times_s.get(trait)


class Evidence:
    """Ends of targets, and the traits on which answers have begun.

    :ivar answer_count: answers that this daemon has seen begin
    """

    def __init__(self) -> None:
        self.answer_count = 0
        self._ends: collections.OrderedDict[str, TargetEnd] = collections.OrderedDict()
        # Segment -> monotonic time of the last end under a request that was running.
        self._accused: dict[str, float] = {}
        self._segment_answers = _AnswerTimes()
        self._fingerprint_answers = _AnswerTimes()

    def __len__(self) -> int:
        return len(self._ends)

    @property
    def ends(self) -> abc.Collection[TargetEnd]:
        """All ends that still accuse."""
        return self._ends.values()

    def select_ends(self, run_keys: abc.Iterable[str]) -> list[TargetEnd]:
        """Return the ends of some runs of targets."""
        return [self._ends[key] for key in run_keys if key in self._ends]

    def add_end(
        self, run_key: str, ended_s: float, suspects: abc.Iterable[Suspect]
    ) -> bool:
        """Add what a daemon saw of a target's end; return whether it is news.

        :param run_key: identifies the run of the target that ended
        """
        end = self._ends.get(run_key)
        if end is None:
            end = TargetEnd(ended_s, self.answer_count)
            self._ends[run_key] = end
            if len(self._ends) > _MAX_ENDS:
                self._ends.popitem(last=False)
        end.ended_s = min(end.ended_s, ended_s)
        is_news = False
        for suspect in suspects:
            if not end.add(suspect):
                continue
            is_news = True
            if suspect.had_head:
                self._accuse(suspect, end.ended_s)
        return is_news

    def add_answer(self, traits: abc.Iterable[str], began_s: float) -> None:
        """Record that an answer has begun on some traits."""
        for trait in traits:
            self._find_answer_times(trait).add(trait, began_s)

    def find_answered_s(self, trait: str) -> float | None:
        """Return the monotonic time of the last answer on a trait, if there was one."""
        return self._find_answer_times(trait).find(trait)

    def is_accused(self, segment: str) -> bool:
        """Return whether a target has ended under a segment since its last answer."""
        accused_s = self._accused.get(segment)
        if accused_s is None:
            return False
        return accused_s > (self.find_answered_s(segment) or 0.0)

    def _accuse(self, suspect: Suspect, ended_s: float) -> None:
        for segment in suspect.segments:
            self._accused[segment] = max(self._accused.get(segment, 0.0), ended_s)

    def _find_answer_times(self, trait: str) -> _AnswerTimes:
        if is_fingerprint(trait):
            return self._fingerprint_answers
        return self._segment_answers

    def expire(self, now_s: float) -> None:
        """Drop the ends that are too old to accuse."""
        for run_key, end in list(self._ends.items()):
            if now_s - end.ended_s > _EVIDENCE_TTL_S:
                del self._ends[run_key]
        for segment, accused_s in list(self._accused.items()):
            if now_s - accused_s > _EVIDENCE_TTL_S:
                del self._accused[segment]


def make_fingerprint(request: model.ClientRequest) -> str:
    """Return the trait that a request shares with its repeats only."""
    digest = xxhash.xxh3_64()
    segments = ",".join(request.prompt_segments)
    for part in (request.host, request.path, segments):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.method)
    digest.update(b"\0")
    digest.update(request.body)
    return _FINGERPRINT_PREFIX + digest.hexdigest()


def list_traits(suspects: abc.Iterable[Suspect]) -> set[str]:
    """Return the traits of some requests."""
    traits: set[str] = set()
    for suspect in suspects:
        traits.update(suspect.segments)
        traits.add(suspect.fingerprint)
    return traits


def is_fingerprint(trait: str) -> bool:
    """Return whether a trait identifies a single request and its repeats."""
    return trait.startswith(_FINGERPRINT_PREFIX)
