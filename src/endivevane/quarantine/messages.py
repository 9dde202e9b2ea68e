"""Messages by which daemons tell each other of ended targets and quarantines.

Times are sent as ages, since daemons share no clock.
"""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane import json_fields
from endivevane.quarantine import evidence, registry

# Kind of the datagram that carries these messages.
KIND = "quarantine"


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """What a daemon saw of a target's end.

    :param run_key: identifies the run of the target
    :param age_s: time since the end
    :param suspects: requests of this daemon whose answers were not whole there
    :param answered: age of the last answer that the daemon saw, by trait, of those that
        the suspects have
    """

    run_key: str
    age_s: float
    suspects: tuple[evidence.Suspect, ...]
    answered: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNotice:
    """A quarantine in force.

    :param age_s: time since the decision
    :param retry_in_s: time until one request may be tried, negative when it is due
    """

    entry_id: str
    traits: tuple[str, ...]
    tries: int
    age_s: float
    retry_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerNotice:
    """Whole answers on traits which others accuse.

    :param ages_s: time since the last one, by trait
    """

    ages_s: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineNews:
    """What a daemon tells others in one datagram.

    :param region: region of the sender
    """

    region: str
    ends: tuple[EndReport, ...] = ()
    entries: tuple[EntryNotice, ...] = ()
    answers: tuple[AnswerNotice, ...] = ()


def make_notice(entry: registry.Entry, now_s: float) -> EntryNotice:
    """Return what to tell of a quarantine in force."""
    return EntryNotice(
        entry_id=entry.entry_id,
        traits=tuple(sorted(entry.traits)),
        tries=entry.tries,
        age_s=now_s - entry.decided_s,
        retry_in_s=entry.retry_at_s - now_s,
    )


def encode_fields(news: QuarantineNews) -> tuple[typing.Any, ...]:
    """Return the fields of a datagram."""
    return (
        KIND,
        news.region,
        [_encode_end(end) for end in news.ends],
        [
            (
                entry.entry_id,
                entry.traits,
                entry.tries,
                round(entry.age_s, 3),
                round(entry.retry_in_s, 3),
            )
            for entry in news.entries
        ],
        [_round_ages(answer.ages_s) for answer in news.answers],
    )


def decode_fields(fields: abc.Sequence[typing.Any]) -> QuarantineNews:
    """Return the news in the fields of a datagram.

    :raises ValueError: when they are malformed; ``TypeError`` and ``AttributeError``
        may be raised too
    """
    region, ends, entries, answers = fields
    return QuarantineNews(
        region=json_fields.read_text(region),
        ends=tuple(_decode_end(*end) for end in json_fields.read_list(ends)),
        entries=tuple(
            EntryNotice(
                entry_id=json_fields.read_text(entry_id),
                traits=json_fields.read_texts(traits),
                tries=json_fields.read_count(tries, registry.MAX_TRIES),
                age_s=json_fields.read_age_s(age_s),
                retry_in_s=json_fields.read_time_left_s(retry_in_s),
            )
            for entry_id, traits, tries, age_s, retry_in_s in json_fields.read_list(
                entries
            )
        ),
        answers=tuple(
            AnswerNotice(_decode_ages(ages_s))
            for ages_s in json_fields.read_list(answers)
        ),
    )


def _encode_end(end: EndReport) -> tuple[typing.Any, ...]:
    suspects = [
        (suspect.fingerprint, suspect.segments, suspect.was_beginning)
        for suspect in end.suspects
    ]
    return (end.run_key, round(end.age_s, 3), suspects, _round_ages(end.answered))


def _decode_end(
    run_key: typing.Any, age_s: typing.Any, suspects: typing.Any, answered: typing.Any
) -> EndReport:
    return EndReport(
        run_key=json_fields.read_text(run_key),
        age_s=json_fields.read_age_s(age_s),
        suspects=tuple(
            evidence.Suspect(
                json_fields.read_text(fingerprint),
                json_fields.read_texts(segments),
                json_fields.read_flag(was_beginning),
            )
            for fingerprint, segments, was_beginning in json_fields.read_list(suspects)
        ),
        answered=_decode_ages(answered),
    )


def _round_ages(ages_s: abc.Mapping[str, float]) -> dict[str, float]:
    return {trait: round(age_s, 3) for trait, age_s in ages_s.items()}


def _decode_ages(ages_s: typing.Any) -> dict[str, float]:
    return {
        trait: json_fields.read_age_s(age_s)
        for trait, age_s in json_fields.read_object(ages_s).items()
    }
