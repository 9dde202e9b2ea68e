"""Replies to reports of ended targets that miss answers which this daemon has seen."""

from __future__ import annotations

import asyncio
import random
import time
from collections import abc

from endivevane.quarantine import evidence, messages

# A daemon answers a report after a random part of this, unless another one has.
_REPLY_JITTER_S = 0.04
# An answer on a trait that is this much newer than what a report says is told.
REPLY_AGE_S = 1.0


class AnswerReplies:
    """Tells of answers on accused traits that a reporter may not know.

    :param publish: tells the other daemons of answers
    """

    def __init__(
        self,
        known: evidence.Evidence,
        generator: random.Random,
        publish: abc.Callable[[messages.AnswerNotice], None],
    ) -> None:
        self._known = known
        self._generator = generator
        self._publish = publish
        # Trait -> monotonic time at which a daemon last told of an answer on it.
        self._announced: dict[str, float] = {}

    def clear(self) -> None:
        """Forget what daemons have told, since no evidence is left."""
        self._announced.clear()

    def record_announced(self, traits: abc.Iterable[str], now_s: float) -> None:
        """Record that another daemon has told of answers on some traits."""
        self._announced.update(dict.fromkeys(traits, now_s))

    def reply_later(self, end: messages.EndReport, now_s: float) -> None:
        """Tell of newer answers than a report names, unless another daemon does."""
        newer = []
        for trait in evidence.list_traits(end.suspects):
            answered_s = self._known.find_answered_s(trait)
            if answered_s is None:
                continue
            reported_age_s = end.answered.get(trait, float("inf"))
            if reported_age_s - (now_s - answered_s) > REPLY_AGE_S:
                newer.append(trait)
        if newer:
            delay_s = self._generator.uniform(0.0, _REPLY_JITTER_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._reply, newer, now_s)

    def _reply(self, traits: list[str], asked_s: float) -> None:
        now_s = time.monotonic()
        ages_s = {}
        for trait in traits:
            answered_s = self._known.find_answered_s(trait)
            if answered_s is None or self._announced.get(trait, 0.0) >= asked_s:
                continue
            self._announced[trait] = now_s
            ages_s[trait] = now_s - answered_s
        if ages_s:
            self._publish(messages.AnswerNotice(ages_s))
