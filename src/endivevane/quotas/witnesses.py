"""Asking some of the others what this daemon cannot see by itself.

A witness is a daemon that this one asks which daemons it hears.

A link may fail between two daemons only, or in one direction. So a daemon issues tokens
only while others answer it, and in place of another one only if they do not hear that
one either. It does no I/O, and the time is passed in.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections import abc

from endivevane.quotas import messages

# Others are asked at this interval, and at once about a daemon that was not asked about
# before.
_INTERVAL_S = 0.5
_MIN_INTERVAL_S = 0.1
# Daemons that are asked, others each time.
_PANEL_SIZE = 2
# An answer counts for this time after its question: less than after which a daemon that
# others do not hear is replaced.
VALID_S = 1.2
_MAX_OPEN = 8
# A datagram stays below the limits of the network.
_MAX_MISSING = 40


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    number: int
    sent_s: float
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Absence:
    """That others do not hear a daemon either.

    :param asked_s: time at which they were asked
    :param gone_s: time since which none of them has heard it
    """

    asked_s: float
    gone_s: float


class Witnesses:
    """Keeps what others have answered.

    :ivar since_s: time since which others have always answered
    """

    def __init__(self) -> None:
        self.since_s = float("inf")
        self._confirmed_s = float("-inf")
        self._was_confirmed = False
        self._numbers = itertools.count(1)
        self._questions: collections.deque[_Question] = collections.deque(
            maxlen=_MAX_OPEN
        )
        self._turn = 0
        self._wanted: dict[str, None] = {}
        self._is_new_wanted = False
        self._absences: dict[str, _Absence] = {}
        self._heard_until_s: dict[str, float] = {}

    def restart(self) -> None:
        """Trust nothing that was answered before a pause of the process."""
        self.since_s = float("inf")
        self._confirmed_s = float("-inf")
        self._questions.clear()
        self._absences.clear()
        self._heard_until_s.clear()

    def is_confirmed(self, now_s: float) -> bool:
        """Whether others have answered lately."""
        return now_s - self._confirmed_s < VALID_S

    def find_gone_s(self, name: str, now_s: float) -> float | None:
        """Return the time since which others do not hear a daemon.

        It is ``None`` unless they have said so lately.
        """
        absence = self._absences.get(name)
        if absence is not None and now_s - absence.asked_s < VALID_S:
            return absence.gone_s
        if name not in self._wanted:
            self._wanted[name] = None
            self._is_new_wanted = True
        return None

    def list_heard(self, now_s: float) -> list[str]:
        """Return daemons that others hear."""
        return [
            name for name, until_s in self._heard_until_s.items() if now_s < until_s
        ]

    def ask(
        self, others: abc.Sequence[str], now_s: float
    ) -> list[tuple[str, messages.QuotaProbe]]:
        """Return the questions that are due, with their recipients.

        :param others: the daemons that this one hears
        """
        if not others:
            # This daemon is alone with its share.
            self._confirm(now_s, now_s)
        sent_s = self._questions[-1].sent_s if self._questions else float("-inf")
        interval_s = _MIN_INTERVAL_S if self._is_new_wanted else _INTERVAL_S
        if now_s - sent_s < interval_s or not others:
            return []
        self._is_new_wanted = False
        for name in [name for name in self._wanted if name in others]:
            del self._wanted[name]
        missing = tuple(itertools.islice(self._wanted, _MAX_MISSING))
        question = _Question(next(self._numbers), now_s, missing)
        self._questions.append(question)
        probe = messages.QuotaProbe(question.number, missing)
        panel = [
            others[(self._turn + number) % len(others)]
            for number in range(min(_PANEL_SIZE, len(others)))
        ]
        self._turn += len(panel)
        return [(name, probe) for name in panel]

    def record(
        self, answer: messages.QuotaWitness, settle_s: float, now_s: float
    ) -> None:
        """Take another daemon's answer.

        :param settle_s: time after which all others have heard of a daemon that is back
        """
        for question in self._questions:
            if question.number == answer.number:
                break
        else:
            return
        if len(answer.gone_ages_s) != len(question.missing):
            return
        self._confirm(question.sent_s, now_s, settle_s)
        for name, age_s in zip(question.missing, answer.gone_ages_s, strict=True):
            if age_s is None:
                self._heard_until_s[name] = question.sent_s + VALID_S
                self._absences.pop(name, None)
                continue
            gone_s = question.sent_s - age_s
            known = self._absences.get(name)
            if known is not None and known.asked_s == question.sent_s:
                gone_s = max(gone_s, known.gone_s)
            if now_s >= self._heard_until_s.get(name, float("-inf")):
                self._absences[name] = _Absence(question.sent_s, gone_s)

    def _confirm(self, sent_s: float, now_s: float, settle_s: float = 0.0) -> None:
        if not self.is_confirmed(now_s):
            # What others have answered about this daemon before counts for so long.
            settle_s = max(settle_s, VALID_S) if self._was_confirmed else settle_s
            self.since_s = now_s + settle_s
        self._was_confirmed = True
        self._confirmed_s = max(self._confirmed_s, sent_s)
