"""Distribution of news about crashes and quarantines among the daemons.

In a region without a coordinator each daemon tells all others. In a large region it
tells the coordinator and its deputy; the coordinator passes on what is new to it. News
is rare, so each piece is simply sent three times.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections import abc

from endivevane.quarantine import messages
from endivevane.serving import peer_registry

# News of the same moment share a datagram.
_COLLECT_S = 0.02
# When a datagram is sent again, after the first time.
_REPEATS_S = (0.25, 1.0)
# A datagram stays below the limits of the network.
_MAX_ITEMS = 8

Send = abc.Callable[[str, messages.QuarantineNews], None]


@dataclasses.dataclass(slots=True)
class _Outbox:
    """News that is sent together.

    :ivar recipients: names of daemons
    """

    recipients: tuple[str, ...]
    ends: list[messages.EndReport] = dataclasses.field(default_factory=list)
    entries: list[messages.EntryNotice] = dataclasses.field(default_factory=list)
    answers: list[messages.AnswerNotice] = dataclasses.field(default_factory=list)


class QuarantineExchange:
    """Sends news to the daemons that have to know it.

    :param send: sends news to a daemon by its name
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        registry: peer_registry.PeerRegistry,
        send: Send,
    ) -> None:
        self._identity = identity
        self._registry = registry
        self._send = send
        self._outboxes: dict[tuple[str, ...], _Outbox] = {}
        self._timer: asyncio.TimerHandle | None = None

    def publish(self, news: messages.QuarantineNews, now_s: float) -> None:
        """Tell the others what this daemon has seen or decided."""
        self._enqueue(self._list_recipients(now_s), news)

    def relay(self, news: messages.QuarantineNews, sender: str, now_s: float) -> None:
        """Pass on what was new here, if this daemon coordinates its region."""
        if not self._registry.is_coordinated:
            return
        if not self._registry.is_coordinator(now_s):
            return
        names = [peer.name for peer in self._registry.list_region_peers()]
        if news.region == self._identity.region:
            names += self._registry.list_deciders_elsewhere(now_s)
        recipients = tuple(name for name in names if name != sender)
        own_news = dataclasses.replace(news, region=self._identity.region)
        self._enqueue(recipients, own_news)

    def repeat(self, news: messages.QuarantineNews, now_s: float) -> None:
        """Repeat old news, if this daemon ranks first in its region.

        Recipients to which it is new pass it on like any other.
        """
        region = self._identity.region
        if self._registry.rank(region, now_s)[:1] != [self._identity.name]:
            return
        names = [peer.name for peer in self._registry.list_region_peers()]
        for piece in _split(_Outbox((), entries=list(news.entries)), region):
            for name in (*names, *self._registry.list_deciders_elsewhere(now_s)):
                self._send(name, piece)

    def send_to(self, name: str, news: messages.QuarantineNews) -> None:
        """Send quarantines to a single daemon."""
        outbox = _Outbox((name,), entries=list(news.entries))
        for piece in _split(outbox, self._identity.region):
            self._send(name, piece)

    def _list_recipients(self, now_s: float) -> tuple[str, ...]:
        region = self._identity.region
        if not self._registry.is_coordinated:
            names = [peer.name for peer in self._registry.list_region_peers()]
            return (*names, *self._registry.list_deciders_elsewhere(now_s))
        ranked = self._registry.rank(region, now_s)
        if self._registry.is_coordinator(now_s):
            names = [peer.name for peer in self._registry.list_region_peers()]
            return (*names, *self._registry.list_deciders_elsewhere(now_s))
        return tuple(name for name in ranked if name != self._identity.name)

    def _enqueue(
        self, recipients: tuple[str, ...], news: messages.QuarantineNews
    ) -> None:
        outbox = self._outboxes.setdefault(recipients, _Outbox(recipients))
        outbox.ends += news.ends
        outbox.entries += news.entries
        outbox.answers += news.answers
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_COLLECT_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        outboxes, self._outboxes = self._outboxes, {}
        loop = asyncio.get_running_loop()
        for outbox in outboxes.values():
            for news in _split(outbox, self._identity.region):
                self._send_all(outbox.recipients, news, 0.0)
                for delay_s in _REPEATS_S:
                    loop.call_later(
                        delay_s, self._send_all, outbox.recipients, news, delay_s
                    )

    def _send_all(
        self,
        recipients: tuple[str, ...],
        news: messages.QuarantineNews,
        elapsed_s: float,
    ) -> None:
        aged = _add_age(news, elapsed_s) if elapsed_s else news
        for name in recipients:
            self._send(name, aged)


def _split(outbox: _Outbox, region: str) -> abc.Iterator[messages.QuarantineNews]:
    """Yield the contents of an outbox in pieces of the size of a datagram."""
    count = max(len(outbox.ends), len(outbox.entries), len(outbox.answers))
    for start in range(0, count, _MAX_ITEMS):
        piece = slice(start, start + _MAX_ITEMS)
        yield messages.QuarantineNews(
            region=region,
            ends=tuple(outbox.ends[piece]),
            entries=tuple(outbox.entries[piece]),
            answers=tuple(outbox.answers[piece]),
        )


def _add_age(
    news: messages.QuarantineNews, elapsed_s: float
) -> messages.QuarantineNews:
    """Return news that is sent again after some time."""
    return messages.QuarantineNews(
        region=news.region,
        ends=tuple(
            dataclasses.replace(
                end,
                age_s=end.age_s + elapsed_s,
                answered=_shift(end.answered, elapsed_s),
            )
            for end in news.ends
        ),
        entries=tuple(
            dataclasses.replace(
                entry,
                age_s=entry.age_s + elapsed_s,
                retry_in_s=entry.retry_in_s - elapsed_s,
            )
            for entry in news.entries
        ),
        answers=tuple(
            messages.AnswerNotice(_shift(answer.ages_s, elapsed_s))
            for answer in news.answers
        ),
    )


def _shift(ages_s: abc.Mapping[str, float], elapsed_s: float) -> dict[str, float]:
    return {trait: age_s + elapsed_s for trait, age_s in ages_s.items()}
