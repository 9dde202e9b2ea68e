"""Decision which traits of requests crash targets.

Requests that crash targets share segments with sound ones, and other requests wait at
the same targets when these end. So a segment needs several ends under several requests,
and what is quarantined are all the segments that these requests share: a sound request
that lacks one of them is still served, and clears the others by its answer.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.quarantine import evidence

# Summed weight of ends that accuse a trait without any answer: two targets that ended
# while they began to answer, or four that ended while requests waited or ran there. A
# sound request may meet two or three ends under others.
_MIN_SCORE = 2.0
# Number of requests that must accuse a segment at a daemon that has seen fewer answers
# than the second figure: it may not know the segments yet that most requests share.
_MIN_REQUESTS = 2
_MIN_ANSWERS_SEEN = 8
# The same for a trait that has been answered before. While a service is out, many
# requests that share a sound segment end together, so others must be answered since.
_MIN_SCORE_AFTER_ANSWER = 4.0
_MIN_REQUESTS_AFTER_ANSWER = 4
_MIN_OTHER_ANSWERS = 8


@dataclasses.dataclass(slots=True)
class _Case:
    """What accuses a trait.

    :ivar depth: largest position of the trait in a prompt
    :ivar first_end: the earliest of the ends
    """

    score: float = 0.0
    depth: int = 0
    suspects: list[evidence.Suspect] = dataclasses.field(default_factory=list)
    first_end: evidence.TargetEnd | None = None

    def add(
        self, end: evidence.TargetEnd, suspects: list[evidence.Suspect], trait: str
    ) -> None:
        """Add an end and its requests that have the trait."""
        self.score += max(suspect.weight for suspect in suspects)
        self.suspects += suspects
        for suspect in suspects:
            if trait in suspect.segments:
                self.depth = max(self.depth, suspect.segments.index(trait))
        if self.first_end is None or end.ended_s < self.first_end.ended_s:
            self.first_end = end

    def count_requests(self) -> int:
        """Return the number of different requests."""
        return len({suspect.fingerprint for suspect in self.suspects})


def find_crashing_traits(
    known: evidence.Evidence, quarantined: abc.Iterable[frozenset[str]]
) -> set[frozenset[str]]:
    """Return what is to be quarantined: traits that crash targets together.

    There are several sets only where the evidence is the same for each of them.

    :param quarantined: traits in quarantine; the ends that they explain accuse no
        other, but a single request may have crashed targets for one of its segments
    """
    explanations = list(quarantined)
    segments = [
        traits
        for traits in explanations
        if not any(evidence.is_fingerprint(trait) for trait in traits)
    ]
    found = _find_segments(known, _list_unexplained(known, segments))
    return found or _find_fingerprints(known, _list_unexplained(known, explanations))


def _list_unexplained(
    known: evidence.Evidence, explanations: abc.Collection[frozenset[str]]
) -> list[evidence.TargetEnd]:
    return [
        end
        for end in known.ends
        if not any(end.is_explained_by(traits) for traits in explanations)
    ]


def _find_segments(
    known: evidence.Evidence, ends: abc.Sequence[evidence.TargetEnd]
) -> set[frozenset[str]]:
    cases = _make_cases(known, ends, lambda suspect: suspect.segments)
    accused = {
        segment: case
        for segment, case in cases.items()
        if _is_segment_accused(known, case, segment)
    }
    if not accused:
        return set()
    # Of segments with the same ends, the later one is shared by fewer requests.
    strongest = max((case.depth, case.score) for case in accused.values())
    return {
        _join_unanswered(known, segment, case)
        for segment, case in accused.items()
        if (case.depth, case.score) == strongest
    }


def _join_unanswered(
    known: evidence.Evidence, segment: str, case: _Case
) -> frozenset[str]:
    """Return a segment with the unanswered ones that all accused requests share."""
    shared = set(case.suspects[0].segments).intersection(
        *(suspect.segments for suspect in case.suspects)
    )
    unanswered = {item for item in shared if known.find_answered_s(item) is None}
    return frozenset(unanswered | {segment})


def _find_fingerprints(
    known: evidence.Evidence, ends: abc.Sequence[evidence.TargetEnd]
) -> set[frozenset[str]]:
    """Return the fingerprints of requests that crashed several targets by themselves.

    Requests without a body may all have the same one, so it must never have been
    answered.
    """
    cases = _make_cases(known, ends, lambda suspect: (suspect.fingerprint,))
    return {
        frozenset((fingerprint,))
        for fingerprint, case in cases.items()
        if case.score >= _MIN_SCORE and known.find_answered_s(fingerprint) is None
    }


def _make_cases(
    known: evidence.Evidence,
    ends: abc.Iterable[evidence.TargetEnd],
    list_traits: abc.Callable[[evidence.Suspect], tuple[str, ...]],
) -> dict[str, _Case]:
    """Return what accuses each trait since the last answer on it."""
    cases: dict[str, _Case] = {}
    for end in ends:
        suspects: dict[str, list[evidence.Suspect]] = {}
        for suspect in end.suspects.values():
            for trait in list_traits(suspect):
                suspects.setdefault(trait, []).append(suspect)
        for trait, having in suspects.items():
            if end.ended_s > (known.find_answered_s(trait) or 0.0):
                cases.setdefault(trait, _Case()).add(end, having, trait)
    return cases


def _is_segment_accused(known: evidence.Evidence, case: _Case, segment: str) -> bool:
    if case.first_end is None:
        return False
    if known.find_answered_s(segment) is None:
        has_seen_answers = known.answer_count >= _MIN_ANSWERS_SEEN
        return case.score >= _MIN_SCORE and (
            has_seen_answers or case.count_requests() >= _MIN_REQUESTS
        )
    other_answers = known.answer_count - case.first_end.answers_before
    return (
        case.score >= _MIN_SCORE_AFTER_ANSWER
        and case.count_requests() >= _MIN_REQUESTS_AFTER_ANSWER
        and other_answers >= _MIN_OTHER_ANSWERS
    )
