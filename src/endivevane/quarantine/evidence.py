"""Evidence from targets that ended: which requests they were working on.

A request's traits are the segments of its prompt that others may share and its
fingerprint. A target that ends accuses the traits of all requests there, whatever it
had written of their answers. An answer clears the traits of its request once it is
whole: until then its target may still end.
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
# A target works on the few requests whose answers it is just beginning. One without a
# head may only have waited, and one with events may only have run beside the others.
_BEGINNING_WEIGHT = 1.0
_OTHER_WEIGHT = 0.5
_FINGERPRINT_PREFIX = "request:"


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request whose answer was not whole when its target ended.

    :param fingerprint: the trait that only repeats of the request share
    :param segments: segments of the prompt that others may share, in order
    :param was_beginning: whether the head of the response had arrived, but no event
    """

    fingerprint: str
    segments: tuple[str, ...]
    was_beginning: bool

    @property
    def weight(self) -> float:
        """How much it accuses its traits."""
        return _BEGINNING_WEIGHT if self.was_beginning else _OTHER_WEIGHT

    def has_trait(self, trait: str) -> bool:
        """Return whether a trait is one of the request's."""
        return trait == self.fingerprint or trait in self.segments

    def matches(self, traits: abc.Set[str]) -> bool:
        """Return whether the request has all of some traits."""
        return all(self.has_trait(trait) for trait in traits)


@dataclasses.dataclass(slots=True)
class TargetEnd:
    """The end of one run of a target, as all daemons report it.

    :ivar ended_s: monotonic time of the end
    :ivar answers_before: whole answers that this daemon had seen by then
    :ivar suspects: by fingerprint
    """

    ended_s: float
    answers_before: int
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)

    def add(self, suspect: Suspect) -> bool:
        """Add a request; return whether that is news."""
        known = self.suspects.get(suspect.fingerprint)
        if known is not None and known.was_beginning >= suspect.was_beginning:
            return False
        if known is None and len(self.suspects) >= _MAX_SUSPECTS_PER_END:
            return False
        self.suspects[suspect.fingerprint] = suspect
        return True

    def is_explained_by(self, traits: abc.Set[str]) -> bool:
        """Return whether one of its requests has all of some traits."""
        return any(suspect.matches(traits) for suspect in self.suspects.values())


class _AnswerTimes:
    """Times of the last answers, by trait; the oldest ones are forgotten."""

    def __init__(self) -> None:
        self._times_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, trait: str, answered_s: float) -> None:
        """Record an answer that was whole at a monotonic time."""
        self._times_s[trait] = max(self._times_s.get(trait, 0.0), answered_s)
        self._times_s.move_to_end(trait)
        if len(self._times_s) > _MAX_ANSWERED_TRAITS:
            self._times_s.popitem(last=False)

    def find(self, trait: str) -> float | None:
        """Return the monotonic time of the last answer, ``None`` if none is known."""
        return self._times_s.get(trait)


class Evidence:
    """Ends of targets, and the traits of requests that were answered whole.

    :ivar answer_count: whole answers that this daemon has seen
    """

    def __init__(self) -> None:
        self.answer_count = 0
        self._ends: collections.OrderedDict[str, TargetEnd] = collections.OrderedDict()
        # Segment -> monotonic time of the last end for which it is suspect.
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
            self._accuse(suspect, run_key)
        return is_news

    def has_end(self, run_key: str) -> bool:
        """Return whether a run of a target is known to have ended."""
        return run_key in self._ends

    def add_answer(self, traits: abc.Iterable[str], answered_s: float) -> None:
        """Record that a request with some traits was answered whole."""
        for trait in traits:
            self._find_answer_times(trait).add(trait, answered_s)

    def find_answered_s(self, trait: str) -> float | None:
        """Return the monotonic time of the last answer on a trait, if there was one."""
        return self._find_answer_times(trait).find(trait)

    def is_accused(self, segment: str) -> bool:
        """Return whether a segment that has not been answered before is suspect.

        It is after one end under a request whose answer was just beginning, or after
        two ends under other requests.
        """
        accused_s = self._accused.get(segment)
        if accused_s is None:
            return False
        return accused_s > (self.find_answered_s(segment) or 0.0)

    def _accuse(self, suspect: Suspect, run_key: str) -> None:
        ended_s = self._ends[run_key].ended_s
        for segment in suspect.segments:
            if self.find_answered_s(segment) is not None:
                continue
            if suspect.was_beginning or self._has_other_end(segment, run_key):
                self._accused[segment] = max(self._accused.get(segment, 0.0), ended_s)

    def _has_other_end(self, segment: str, run_key: str) -> bool:
        """Return whether another run of a target has ended under a segment."""
        return any(
            end.is_explained_by({segment})
            for key, end in self._ends.items()
            if key != run_key
        )

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


def make_suspect(request: model.ClientRequest, was_beginning: bool) -> Suspect:
    """Return a request as one that may have ended its target."""
    return Suspect(make_fingerprint(request), request.prompt_segments, was_beginning)


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
