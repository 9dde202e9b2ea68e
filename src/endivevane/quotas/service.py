"""Quotas of organisations at one daemon."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
import time
import typing
from collections import abc

from endivevane import logs, metrics
from endivevane.quotas import holder, issuer, membership, messages, outcomes, settings
from endivevane.serving import copy_age, model, peer_registry, process_pauses

# While requests wait, questions are repeated and given up at this interval.
_TICK_S = 0.02
# Tokens are exchanged and the view of the live daemons is renewed at this interval.
_REFRESH_INTERVAL_S = 0.1
# A view is this old at most when something is decided.
_VIEW_TTL_S = 0.09
# A daemon that was not heard within this time may not hear this one either. With a
# coordinator its notices tell who is alive; some of them may be lost.
_HEARD_WITHIN_S = 1.0
_HEARD_NOTICES = 1.5
# A daemon that is cut off stops issuing this much later at most than another one, which
# finds it dead, would begin.
_HOLD_OFF_S = 0.1
_HOLD_OFF_NOTICES = 2.5
_HOLD_OFF_LESS_S = 0.4
# All others have heard of a daemon that has started, or is back, after this time.
_SETTLE_S = 0.5
# Clients that are refused during a start return within this time of each other.
_RETURN_SPREAD_S = 0.5
# Numbers of a run begin at its start time, so that they differ from those of the run
# before. They are kept short, since each message has one.
_NUMBERS_PER_S = 1000
_MAX_FIRST_NUMBER = 100_000_000

Send = abc.Callable[[str, messages.Message], None]
FindOrganisation = abc.Callable[[str], model.Organisation | None]


class Quotas:
    """Decides whether requests of organisations are within their quotas.

    :param find_organisation: returns an organisation of the configuration in force
    :param has_quotas: returns whether any organisation has a quota
    :param send: sends a message to the daemon with a name
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        peers: peer_registry.PeerRegistry,
        limits: settings.QuotasSection,
        pauses: process_pauses.ProcessPauses,
        find_organisation: FindOrganisation,
        has_quotas: abc.Callable[[], bool],
        send: Send,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._pauses = pauses
        self._has_quotas = has_quotas
        self._send = send
        self._view = membership.MemberView(identity.name, identity.region)
        self._viewed_s = float("-inf")
        self._holder = holder.TokenHolder(
            limits,
            self._view,
            issuer.TokenIssuer(limits, self._view),
            find_organisation,
            int(time.time() * _NUMBERS_PER_S) % _MAX_FIRST_NUMBER,
        )
        self._tickets = itertools.count(1)
        self._futures: dict[int, asyncio.Future[holder.Decision]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_flush_due = False

    async def run(self) -> None:
        """Renew the view of the daemons and the tokens until cancelled."""
        while True:
            await asyncio.sleep(_REFRESH_INTERVAL_S)
            if not self._has_quotas():
                continue
            now_s = self._begin_step()
            for name, probe in self._view.ask_others(now_s):
                self._send(name, probe)
            self._holder.refresh(now_s)
            self._flush()

    async def admit(
        self, organisation: model.Organisation, until_s: float
    ) -> outcomes.Outcome:
        """Decide whether a request may go to a target; it may wait for a moment.

        :param until_s: monotonic time until which the request may wait
        """
        outcome = await self._decide(organisation.name, until_s)
        if isinstance(outcome, outcomes.NoIssuer):
            outcome = self._delay_return(outcome)
        metrics.QUOTA_DECISIONS.labels(_NAMES[type(outcome)]).inc()
        if not isinstance(outcome, outcomes.Admitted):
            logs.limited_info(
                "quota_" + _NAMES[type(outcome)],
                organisation=organisation.name,
                rate_per_s=organisation.rate_per_s,
                burst=organisation.burst,
                share=round(self._view.share, 2),
                retry_ms=int(outcome.retry_after_s * 1000),
            )
        return outcome

    def _delay_return(self, refused: outcomes.NoIssuer) -> outcomes.NoIssuer:
        """Let a client come back when tokens are there, if this daemon just started.

        Many daemons may have started at the same time, so that none issues tokens yet.
        The returns are spread, so that not all clients come back at the same moment.
        """
        left_s = self._view.find_start_left_s(copy_age.read_clock_s())
        if not left_s:
            return refused
        spread_s = random.uniform(0.0, _RETURN_SPREAD_S)
        return outcomes.NoIssuer(left_s + spread_s)

    def handle(self, message: messages.Message, sender: str) -> None:
        """Handle a message of another daemon."""
        now_s = self._begin_step()
        self._handle(message, sender, now_s)
        self._flush_soon()

    def record_process_pause(self) -> None:
        """Trust nothing that was known before a pause of this process."""
        self._view.restart()
        self._viewed_s = float("-inf")
        self._holder.restart()

    async def _decide(self, name: str, until_s: float) -> outcomes.Outcome:
        now_s = self._begin_step()
        ticket = next(self._tickets)
        wait_s = max(0.0, until_s - time.monotonic())
        outcome = self._holder.admit(name, ticket, wait_s, now_s)
        self._flush_soon()
        if outcome is not None:
            return outcome
        loop = asyncio.get_running_loop()
        future: asyncio.Future[holder.Decision] = loop.create_future()
        self._futures[ticket] = future
        try:
            return (await future).outcome
        except asyncio.CancelledError:
            if future.cancelled():
                self._holder.withdraw(name, ticket)
            elif isinstance(future.result().outcome, outcomes.Admitted):
                until_s = future.result().until_s
                self._holder.give_back(name, until_s, copy_age.read_clock_s())
                self._flush_soon()
            raise
        finally:
            del self._futures[ticket]

    @functools.singledispatchmethod
    def _handle(self, message: typing.Any, sender: str, now_s: float) -> None:
        raise TypeError(f"not a message about quotas: {type(message).__name__}")

    @_handle.register
    def _(self, message: messages.QuotaAsk, sender: str, now_s: float) -> None:
        self._holder.handle_ask(sender, message, now_s)

    @_handle.register
    def _(self, message: messages.QuotaGrants, sender: str, now_s: float) -> None:
        self._holder.handle_grants(sender, message, now_s)

    @_handle.register
    def _(self, message: messages.QuotaProbe, sender: str, now_s: float) -> None:
        answer = self._view.testify(sender, message, now_s)
        if answer is not None:
            self._send(sender, answer)

    @_handle.register
    def _(self, message: messages.QuotaWitness, sender: str, now_s: float) -> None:
        self._view.record_witness(message, now_s)

    def _begin_step(self) -> float:
        """Return the time, with the view of the daemons as of this time."""
        self._pauses.check()
        now_s = copy_age.read_clock_s()
        if now_s - self._viewed_s >= _VIEW_TTL_S:
            self._viewed_s = now_s
            self._view.update(self._take_snapshot(), now_s)
        return now_s

    def _take_snapshot(self) -> membership.Snapshot:
        peers, own = self._peers, self._identity
        now_s = time.monotonic()
        registered = {peer.name: peer.region for peer in peers.peers.values()}
        registered[own.name] = own.region
        interval_s = peers.notice_interval_s if peers.is_coordinated else 0.0
        heard_after_s = now_s - _HEARD_WITHIN_S - _HEARD_NOTICES * interval_s
        heard = sum(
            1 for peer in peers.peers.values() if peer.last_seen_s > heard_after_s
        )
        return membership.Snapshot(
            registered,
            frozenset(peers.list_active()),
            frozenset(peer.name for peer in peers.peers.values() if peer.is_stopping),
            heard + 1,
            max(_HOLD_OFF_S, _HOLD_OFF_NOTICES * interval_s - _HOLD_OFF_LESS_S),
            _SETTLE_S + interval_s,
            peers.is_warmed_up(now_s),
        )

    def _flush_soon(self) -> None:
        """Send what has to be sent once the current step is done."""
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Send messages, and tell the requests that have been decided about."""
        self._is_flush_due = False
        effects = self._holder.collect(copy_age.read_clock_s())
        for name, message in effects.messages:
            self._send(name, message)
        for decision in effects.decisions:
            future = self._futures.get(decision.ticket)
            if future is not None and not future.done():
                future.set_result(decision)
        if self._holder.is_waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._holder.tick(self._begin_step())
        self._flush()


_NAMES = {
    outcomes.Admitted: "admitted",
    outcomes.OverQuota: "over_quota",
    outcomes.NoIssuer: "no_issuer",
}
