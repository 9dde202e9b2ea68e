"""The tokens that a daemon holds, and its requests for more."""

from __future__ import annotations

import dataclasses
import itertools
from collections import abc

from endivevane import logs, metrics
from endivevane.rate_limits import messages

# A token that is not used within this time is void: it was counted when it was issued.
_TOKEN_TTL_S = 1.0
# A request that is still wanted is repeated after this time.
_REPEAT_INTERVAL_S = 0.06
# A request that has not been wanted for this long is dropped.
_WANTED_TTL_S = 0.25
# An issuer that has answered nothing for this long, and sends nothing else, is passed
# over.
_UNRESPONSIVE_AFTER_S = 0.3
_SUSPICION_S = 1.0
# Requests of one daemon that wait at the issuer of a region.
_MAX_OPEN = 8
# Time for which a region's own targets had no token, after which others are asked.
_CROSS_REGION_AFTER_S = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class TokenNeed:
    """What a request or an item needs a token for.

    :param due_s: monotonic time at which it is due
    """

    need: messages.Need
    priority: int
    due_s: float


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    """A request for a token that has not been granted.

    :ivar asked_s: monotonic time since which it has been sent for this need
    :ivar sent_s: monotonic time at which it was sent last
    :ivar unanswered_s: monotonic time since which the issuer has not answered, ``None``
        once it has answered the last message
    """

    number: int
    issuer: str
    need: messages.Need
    asked_s: float
    sent_s: float
    wanted_s: float
    unanswered_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to send to the daemon that issues the tokens of a region."""

    issuer: str
    message: messages.TokenRequest


class TokenHolder:
    """Keeps tokens until they are used, and requests them from the issuers.

    :param list_issuers: returns the daemons that may issue the tokens of a region, in
        order
    :param is_heard: returns whether a daemon has sent anything in the last moments
    """

    def __init__(
        self,
        list_issuers: abc.Callable[[str, float], abc.Sequence[str]],
        is_heard: abc.Callable[[str, float], bool],
    ) -> None:
        self._list_issuers = list_issuers
        self._is_heard = is_heard
        self._numbers = itertools.count(1)
        # Target -> monotonic times at which its tokens become void.
        self._tokens: dict[str, list[float]] = {}
        self._open: dict[tuple[str, bool, frozenset[str]], _OpenRequest] = {}
        self._suspected_until_s: dict[str, float] = {}

    def has_token(self, target_id: str, now_s: float) -> bool:
        """Whether a request may be sent to a target with a limit now."""
        expiries_s = self._tokens.get(target_id)
        if expiries_s is None:
            return False
        while expiries_s and expiries_s[0] <= now_s:
            del expiries_s[0]
            metrics.RATE_TOKENS.labels("void").inc()
        if not expiries_s:
            del self._tokens[target_id]
        return bool(expiries_s)

    def take(self, target_id: str, now_s: float) -> None:
        """Use a token of a target."""
        if self.has_token(target_id, now_s):
            del self._tokens[target_id][0]
            metrics.RATE_TOKENS.labels("used").inc()

    def add(self, number: int, target_id: str, now_s: float) -> None:
        """Add a token that was granted."""
        for key, item in list(self._open.items()):
            if item.number == number:
                del self._open[key]
        self._tokens.setdefault(target_id, []).append(now_s + _TOKEN_TTL_S)

    def record_queued(self, number: int) -> None:
        """Record that an issuer has no token for a request yet."""
        for item in self._open.values():
            if item.number == number:
                item.unanswered_s = None

    def request(
        self,
        region: str,
        notices: abc.Sequence[messages.LimitNotice],
        need: TokenNeed,
        now_s: float,
    ) -> Outgoing | None:
        """Return the message that requests a token, ``None`` if none has to be sent.

        :param notices: the targets of a region that would do
        """
        self._drop_unwanted(now_s)
        is_item = need.need in (messages.Need.ITEM, messages.Need.URGENT_ITEM)
        key = (region, is_item, frozenset(notice.run_key for notice in notices))
        known = self._open.get(key)
        if known is not None:
            known.wanted_s = now_s
            is_more_urgent = need.need < known.need
            if now_s - known.sent_s < _REPEAT_INTERVAL_S and not is_more_urgent:
                return None
            self._suspect_if_unresponsive(known, now_s)
            known.sent_s = now_s
            if known.unanswered_s is None:
                known.unanswered_s = now_s
            if is_more_urgent:
                known.asked_s = now_s
            known.need = need.need
        issuer = self._choose_issuer(region, now_s)
        if issuer is None:
            return None
        if known is None or known.issuer != issuer:
            if known is None and len(self._open) >= _MAX_OPEN:
                return None
            number = next(self._numbers)
            known = _OpenRequest(
                number, issuer, need.need, now_s, now_s, now_s, unanswered_s=now_s
            )
            self._open[key] = known
        message = messages.TokenRequest(
            known.number,
            need.need,
            need.priority,
            need.due_s - now_s,
            tuple(notices),
        )
        return Outgoing(issuer, message)

    def has_waited(self, region: str, now_s: float) -> bool:
        """Whether a region has had no token for so long that others are asked."""
        return any(
            now_s - item.asked_s >= _CROSS_REGION_AFTER_S
            for (asked_region, _, _), item in self._open.items()
            if asked_region == region
            and item.need is messages.Need.WAITING
            and now_s - item.wanted_s < _WANTED_TTL_S
        )

    def clear(self) -> None:
        """Give up all tokens and requests."""
        self._tokens.clear()
        self._open.clear()

    def forget(self, target_id: str) -> None:
        """Give up the tokens of a target."""
        self._tokens.pop(target_id, None)

    def _choose_issuer(self, region: str, now_s: float) -> str | None:
        """Return the first issuer of a region that is not suspected."""
        names = self._list_issuers(region, now_s)
        for name in names:
            if now_s >= self._suspected_until_s.get(name, 0.0):
                return name
        return names[0] if names else None

    def _suspect_if_unresponsive(self, item: _OpenRequest, now_s: float) -> None:
        if item.unanswered_s is None:
            return
        if now_s - item.unanswered_s < _UNRESPONSIVE_AFTER_S:
            return
        if self._is_heard(item.issuer, now_s):
            # Only the messages about this request are lost.
            return
        logs.limited_info("token_issuer_silent", issuer=item.issuer)
        self._suspected_until_s[item.issuer] = now_s + _SUSPICION_S

    def _drop_unwanted(self, now_s: float) -> None:
        for key, item in list(self._open.items()):
            if now_s - item.wanted_s >= _WANTED_TTL_S:
                del self._open[key]
