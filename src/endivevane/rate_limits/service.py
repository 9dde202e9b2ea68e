"""Rate limits at one daemon: what targets name, what others know, who may send."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
import typing
from collections import abc

from endivevane import logs, metrics
from endivevane.rate_limits import beliefs, holder, issuer, messages
from endivevane.serving import model, peer_registry, target_registry

# The first daemon in rank repeats the limits at this interval, for daemons that have
# just started or have missed the news.
_REPEAT_INTERVAL_S = 1.0
# A daemon tells the coordinator, which may be a new one, of a limit again after this.
_RETELL_INTERVAL_S = 1.0
# An answer from before a limit ended arrives within this time.
_ENDED_TTL_S = 10.0
# A daemon that runs sends at least one report in this time.
_HEARD_WITHIN_S = 0.6
# A datagram stays below the limits of the network.
_MAX_NOTICES = 16

Send = abc.Callable[[str, messages.Message], None]


class RateLimits:
    """Decides whether a target may get a request, and shares its limit with others.

    :param send: sends a message to the daemon with a name
    :param find_region: returns the region of an availability zone
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        peers: peer_registry.PeerRegistry,
        targets: target_registry.TargetRegistry,
        find_region: abc.Callable[[str], str | None],
        send: Send,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._targets = targets
        self._find_region = find_region
        self._send_to_peer = send
        self._beliefs = beliefs.LimitBeliefs()
        self._issuer = issuer.TokenIssuer(self._beliefs)
        self._holder = holder.TokenHolder(self._list_issuers, self._is_heard)
        self._on_change: abc.Callable[[], None] = _do_nothing
        self._issue_timer: asyncio.TimerHandle | None = None
        self._is_change_due = False
        # Target -> monotonic time at which the coordinator was last told of its limit.
        self._told_s: dict[str, float] = {}
        targets.add_removal_callback(self._forget)

    def call_when_changed(self, callback: abc.Callable[[], None]) -> None:
        """Call a function when a request that waits may find a target."""
        self._on_change = callback

    async def run(self) -> None:
        """Repeat the limits in force until cancelled."""
        while True:
            await asyncio.sleep(_REPEAT_INTERVAL_S)
            now_s = time.monotonic()
            ranked = self._peers.rank(self._identity.region, now_s)
            if ranked[:1] == [self._identity.name]:
                self._publish(self.list_beliefs(now_s), now_s)

    def list_beliefs(self, now_s: float) -> list[beliefs.Belief]:
        """Return the limits in force, and those that have ended a moment ago."""
        self._beliefs.drop_ended(now_s - _ENDED_TTL_S)
        return self._beliefs.list_all()

    @property
    def has_limits(self) -> bool:
        """Whether any target has a limit."""
        return self._beliefs.has_limits

    def find_limit_per_s(self, target_id: str) -> float | None:
        """Return the requests a second that a target takes, ``None`` for any number."""
        return self._beliefs.find_limit_per_s(target_id)

    def is_open(self, target_id: str, now_s: float) -> bool:
        """Whether a target may get a request of this daemon now."""
        if self._beliefs.find_limit_per_s(target_id) is None:
            return True
        return self._holder.has_token(target_id, now_s)

    def take(self, target_id: str, now_s: float) -> None:
        """Count a request that goes to a target."""
        if self._beliefs.find_limit_per_s(target_id) is not None:
            self._holder.take(target_id, now_s)

    def request_token(
        self,
        targets: abc.Iterable[model.Target],
        need: holder.TokenNeed,
        now_s: float,
    ) -> None:
        """Request the right to send a request to one of some targets with a limit.

        A token that this daemon issues itself is there at once if it is there at all;
        for others :meth:`call_when_changed` tells.
        """
        by_region: dict[str, list[messages.LimitNotice]] = {}
        for target in targets:
            belief = self._beliefs.find(target.target_id)
            region = self._find_region(target.availability_zone)
            if belief is None or region is None:
                continue
            by_region.setdefault(region, []).append(_make_notice(belief, now_s))
        own_region = self._identity.region
        has_own = own_region in by_region
        for region, notices in by_region.items():
            if (
                region != own_region
                and has_own
                and not self._holder.has_waited(own_region, now_s)
            ):
                continue
            outgoing = self._holder.request(region, notices, need, now_s)
            if outgoing is not None:
                self._send_request(outgoing)

    def record_answer(
        self, target: model.Target, rate: model.RateStatement, sent_s: float
    ) -> None:
        """Record what a response says of its target's limit.

        :param sent_s: monotonic time at which the request was sent
        """
        if not rate.is_usable:
            return
        target_id = target.target_id
        if rate.limit_per_s is None and self._beliefs.find(target_id) is None:
            return
        known = self._targets.find(target_id)
        if known is None or known.target.run_key != target.run_key:
            return
        belief = beliefs.Belief(target.run_key, rate.limit_per_s, sent_s)
        now_s = time.monotonic()
        if self._apply(target_id, belief, source="answer"):
            self._told_s[target_id] = now_s
            self._publish((belief,), now_s)
            return
        if rate.limit_per_s is None or not self._peers.is_coordinated:
            return
        if now_s - self._told_s.get(target_id, 0.0) >= _RETELL_INTERVAL_S:
            self._told_s[target_id] = now_s
            self._publish((belief,), now_s)

    def handle(self, message: messages.Message, sender: str) -> None:
        """Handle a message of another daemon."""
        self._handle(message, sender)

    def record_process_pause(self) -> None:
        """Trust nothing that was decided before a pause of this process."""
        self._beliefs.mark_outdated()
        self._holder.clear()
        self._issuer.restart(time.monotonic())

    @functools.singledispatchmethod
    def _handle(self, message: typing.Any, sender: str) -> None:
        raise TypeError(f"not a message about rate limits: {type(message).__name__}")

    @_handle.register
    def _(self, message: messages.LimitNews, sender: str) -> None:
        now_s = time.monotonic()
        new = self._apply_notices(message.notices, sender, now_s)
        if new and self._peers.is_coordinator(now_s):
            self._publish(new, now_s)

    @_handle.register
    def _(self, message: messages.TokenRequest, sender: str) -> None:
        now_s = time.monotonic()
        self._apply_notices(message.notices, sender, now_s)
        target_ids = [_find_target_id(notice) for notice in message.notices]
        ended = [
            belief
            for target_id in target_ids
            if (belief := self._beliefs.find(target_id)) is not None
            and belief.limit_per_s is None
        ]
        if ended:
            # The sender has missed that these limits have ended.
            notices = tuple(_make_notice(belief, now_s) for belief in ended)
            self._send(sender, messages.LimitNews(notices))
        self._issuer.add(sender, message, target_ids, now_s)
        self._issue()
        if self._issuer.is_pending(sender, message.number):
            self._send(sender, messages.TokenQueued(message.number))

    @_handle.register
    def _(self, message: messages.TokenQueued, sender: str) -> None:
        self._holder.record_queued(message.number)

    @_handle.register
    def _(self, message: messages.TokenGrant, sender: str) -> None:
        self._holder.add(message.number, message.target_id, time.monotonic())
        self._notify()

    def _apply_notices(
        self, notices: abc.Iterable[messages.LimitNotice], source: str, now_s: float
    ) -> list[beliefs.Belief]:
        """Apply what another daemon believes; return what has changed here."""
        changed = []
        for notice in notices:
            target_id = _find_target_id(notice)
            known = self._targets.find(target_id)
            if known is None or known.target.run_key != notice.run_key:
                continue
            sent_s = now_s - notice.age_s
            belief = beliefs.Belief(notice.run_key, notice.limit_per_s, sent_s)
            if self._apply(target_id, belief, source):
                changed.append(belief)
        return changed

    def _apply(self, target_id: str, belief: beliefs.Belief, source: str) -> bool:
        """Record a belief if it is newer; return whether the limit has changed."""
        if not self._beliefs.record(target_id, belief):
            return False
        limit_per_s = self._beliefs.find_limit_per_s(target_id)
        metrics.RATE_LIMITED_TARGETS.set(self._beliefs.count_limits())
        logs.limited_info(
            "rate_limit_changed",
            target=target_id,
            limit_per_s=limit_per_s,
            source=source,
        )
        if limit_per_s is None:
            self._holder.forget(target_id)
            self._issuer.forget(target_id)
            self._notify()
        return True

    def _list_issuers(self, region: str, now_s: float) -> abc.Sequence[str]:
        """Return the daemons that may issue the tokens of a region's targets."""
        ranked = self._peers.rank(region, now_s)
        if not ranked and region == self._identity.region:
            return (self._identity.name,)
        return ranked

    def _is_heard(self, name: str, now_s: float) -> bool:
        """Return whether a daemon has sent anything in the last moments."""
        if name == self._identity.name:
            return True
        peer = self._peers.peers.get(name)
        return peer is not None and now_s - peer.last_direct_s < _HEARD_WITHIN_S

    def _issue(self) -> None:
        """Issue the tokens that are available, and wait for the next one."""
        now_s = time.monotonic()
        for issued in self._issuer.issue(now_s):
            metrics.RATE_TOKENS.labels("issued").inc()
            self._send(issued.holder, issued.grant)
        if self._issue_timer is not None:
            self._issue_timer.cancel()
            self._issue_timer = None
        wait_s = self._issuer.find_wait_s(now_s)
        if wait_s is not None:
            loop = asyncio.get_running_loop()
            self._issue_timer = loop.call_later(wait_s, self._issue)

    def _send_request(self, outgoing: holder.Outgoing) -> None:
        """Send a request for a token; other daemons get a part of many targets."""
        message = outgoing.message
        if outgoing.issuer != self._identity.name:
            # Each request begins elsewhere, so that in turn all targets are named.
            start = message.number * _MAX_NOTICES % len(message.notices)
            rotated = message.notices[start:] + message.notices[:start]
            message = dataclasses.replace(message, notices=rotated[:_MAX_NOTICES])
        self._send(outgoing.issuer, message)

    def _send(self, name: str, message: messages.Message) -> None:
        """Send a message, or handle one to this daemon itself."""
        if name == self._identity.name:
            self._handle(message, name)
            return
        self._send_to_peer(name, message)

    def _publish(self, changed: abc.Iterable[beliefs.Belief], now_s: float) -> None:
        """Send limits to the daemons that choose targets."""
        notices = [_make_notice(belief, now_s) for belief in changed]
        recipients = self._list_recipients(now_s)
        for start in range(0, len(notices), _MAX_NOTICES):
            news = messages.LimitNews(tuple(notices[start : start + _MAX_NOTICES]))
            for name in recipients:
                self._send_to_peer(name, news)

    def _list_recipients(self, now_s: float) -> list[str]:
        """Return the daemons to notify of a limit.

        A daemon that does not coordinate its large region tells only those that do.
        """
        own = self._identity
        names = self._peers.list_deciders(own.region, now_s)
        if not self._peers.is_coordinated or self._peers.is_coordinator(now_s):
            names += self._peers.list_deciders_elsewhere(now_s)
        return [name for name in names if name != own.name]

    def _notify(self) -> None:
        """Call the callback once the current step is done."""
        if self._is_change_due:
            return
        self._is_change_due = True
        asyncio.get_running_loop().call_soon(self._call_on_change)

    def _call_on_change(self) -> None:
        self._is_change_due = False
        self._on_change()

    def _forget(self, target: model.Target) -> None:
        self._beliefs.forget(target)
        self._holder.forget(target.target_id)
        self._issuer.forget(target.target_id)
        self._told_s.pop(target.target_id, None)
        metrics.RATE_LIMITED_TARGETS.set(self._beliefs.count_limits())


def _make_notice(belief: beliefs.Belief, now_s: float) -> messages.LimitNotice:
    age_s = min(now_s - belief.sent_s, messages.MAX_AGE_S)
    return messages.LimitNotice(belief.run_key, belief.limit_per_s, age_s)


def _find_target_id(notice: messages.LimitNotice) -> str:
    return notice.run_key.rpartition("/")[0]


def _do_nothing() -> None:
    """Serve as the callback until one is set."""
