"""Tokens at one daemon: using them, asking for more, and giving them to others.

The first daemon of each region asks the issuer ahead of the requests of its region, so
that these hardly ever wait for the other region. It does no I/O, and the time is passed
in: of a clock that also runs while the VM is suspended.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import typing
from collections import abc

from endivevane import metrics
from endivevane.quotas import issuer, messages, outcomes, pool
from endivevane.serving import model

# A request waits this long for an answer of any issuer.
_MAX_WAIT_S = 0.3
# When to come back without an issuer.
_NO_ISSUER_RETRY_S = 0.1
# An unanswered question is repeated after this time, longer than a round trip.
_REPEAT_INTERVAL_S = 0.04
_REMOTE_REPEAT_INTERVAL_S = 0.06
# A daemon that has not answered this many times is passed over for a while, in which
# only one question in some time goes to it.
_MAX_UNANSWERED = 2
_PASSED_OVER_S = 0.5
# Tokens for another region's requests last this long at the demand of the moment.
_REMOTE_AHEAD_S = 1.0
# Within a region a daemon asks ahead only for so many requests that questions for each
# would be too many.
_NEAR_AHEAD_S = 0.1
# One question in so many goes to the second daemon in rank, which holds tokens for this
# time of the demand of all: until it is known that the first one is dead.
_DEPUTY_PERIOD = 8
_DEPUTY_AHEAD_S = 1.5
# What is held ahead is for so much of the life of tokens, and is exchanged for new ones
# in so much of it.
_AHEAD_LIFE_SHARE = 0.6
_EXCHANGE_LIFE_SHARE = 0.25
# An issuer that has nothing to spare is asked ahead again after this time.
_AHEAD_RETRY_S = 0.25
# While no token is due, others are asked again after this time.
_MAX_REFUSE_S = 0.05
# An answer is repeated to a daemon that repeats its question.
_ANSWER_TTL_S = 0.5
# Other daemons' requests of an organisation that may wait here.
_MAX_WAITERS = 1024


class View(issuer.View, typing.Protocol):
    """What a holder has to know of the other daemons."""

    def list_sources(self, organisation: str) -> abc.Sequence[str]:
        """Return the daemons to ask for tokens, in order; empty for the issuer."""

    def list_first(self, organisation: str) -> abc.Sequence[str]:
        """Return the first daemons of all regions, without this one."""

    def is_issuer(self, organisation: str) -> bool:
        """Whether this daemon ranks first."""

    def is_region_first(self, organisation: str) -> bool:
        """Whether this daemon ranks first in its region."""

    def is_remote(self, name: str) -> bool:
        """Whether a daemon is in another region."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The outcome of a request of this daemon that has waited.

    :param until_s: time at which its token, if it has one, becomes void
    """

    ticket: int
    outcome: outcomes.Outcome
    until_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Effects:
    """What has to be done after a step."""

    messages: list[tuple[str, messages.Message]] = dataclasses.field(
        default_factory=list
    )
    decisions: list[Decision] = dataclasses.field(default_factory=list)


class TokenHolder:
    """Decides about requests with the tokens that this daemon gets.

    :param find_organisation: returns an organisation of the configuration in force
    :param first_number: differs from one run of the daemon to the next
    """

    def __init__(
        self,
        view: View,
        token_issuer: issuer.TokenIssuer,
        find_organisation: abc.Callable[[str], model.Organisation | None],
        first_number: int,
    ) -> None:
        self._view = view
        self._issuer = token_issuer
        self._find_organisation = find_organisation
        self._numbers = itertools.count(first_number)
        self._asks = itertools.count(1)
        self._pools: dict[str, pool.Pool] = {}
        # Organisations whose requests may need a question to another daemon.
        self._due: dict[str, None] = {}
        self._waiting: set[str] = set()
        self._replies: dict[tuple[str, int], list[messages.Grant]] = {}
        self._answers: dict[tuple[str, int, str], tuple[float, messages.Grant]] = {}
        self._decisions: list[Decision] = []
        self._passed_over_s: dict[str, float] = {}

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits, here or for an answer."""
        return bool(self._waiting)

    def admit(
        self, organisation: str, ticket: int, wait_s: float, now_s: float
    ) -> outcomes.Outcome | None:
        """Decide about a request, or return ``None`` while it has to wait.

        :param ticket: identifies the request
        :param wait_s: longest time that it may wait
        """
        found = self._find_pool(organisation)
        found.add_demand(1, now_s)
        if not found.waiters and found.take(1, now_s)[0]:
            self._ask_ahead(organisation, found, now_s)
            return outcomes.ADMITTED
        if now_s < found.refuse_until_s:
            return outcomes.OverQuota(max(0.01, found.retry_s - now_s))
        until_s = now_s + min(wait_s, _MAX_WAIT_S)
        found.waiters.append(pool.Waiter("", ticket, 1, 0, until_s))
        self._serve(organisation, found, now_s)
        if self._decisions and self._decisions[-1].ticket == ticket:
            return self._decisions.pop().outcome
        return None

    def withdraw(self, organisation: str, ticket: int) -> None:
        """Forget a request that waits no longer."""
        found = self._pools.get(organisation)
        if found is None:
            return
        for waiter in found.waiters:
            if not waiter.asker and waiter.number == ticket:
                found.waiters.remove(waiter)
                return

    def give_back(self, organisation: str, until_s: float, now_s: float) -> None:
        """Keep the token of a request that has left, for the next one.

        :param until_s: time at which it becomes void
        """
        batch = pool.Batch("", 0, 1, until_s)
        found = self._find_pool(organisation)
        found.add(batch)
        self._serve(organisation, found, now_s)

    def handle_ask(self, sender: str, ask: messages.QuotaAsk, now_s: float) -> None:
        """Answer another daemon's question, or let it wait."""
        for need in ask.needs:
            key = (sender, ask.number, need.organisation)
            answered = self._answers.get(key)
            if answered is not None:
                self._reply(sender, ask.number, answered[1])
                continue
            self._handle_need(sender, ask.number, need, now_s)

    def handle_grants(
        self, sender: str, message: messages.QuotaGrants, now_s: float
    ) -> None:
        """Take the tokens that another daemon has granted."""
        self._passed_over_s.pop(sender, None)
        for grant in message.grants:
            found = self._pools.get(grant.organisation)
            if found is None or found.open is None:
                continue
            asked = found.open
            if asked.number != message.number or asked.source != sender:
                continue
            found.open = None
            until_s = asked.first_sent_s + grant.life_s
            found.add(pool.Batch(sender, asked.number, grant.count, until_s))
            if grant.count:
                found.life_s = grant.life_s
            if grant.count < asked.need.waiting + asked.need.ahead:
                found.ahead_after_s = now_s + _AHEAD_RETRY_S
            missing = asked.need.waiting - grant.count
            if missing > 0:
                self._set_refused(found, grant.retry_after_s, now_s)
            self._give(grant.organisation, found, now_s, is_partial=missing > 0)
            if missing > 0:
                self._refuse(grant.organisation, found, missing, now_s)
            self._serve(grant.organisation, found, now_s)

    def tick(self, now_s: float) -> None:
        """Give up what has waited too long, and ask again what is due."""
        for name in list(self._waiting):
            found = self._pools[name]
            self._drop_late(found, now_s)
            self._serve(name, found, now_s)
            if found.open is not None and not found.waiters:
                self._expire_open(name, found, now_s)

    def refresh(self, now_s: float) -> None:
        """Exchange tokens that become void soon, and forget what is idle."""
        for name, found in list(self._pools.items()):
            void = found.drop_void(now_s)
            if void:
                metrics.QUOTA_TOKENS.labels("void").inc(void)
            if found.is_idle(now_s):
                del self._pools[name]
                continue
            self._ask_ahead(name, found, now_s)
        for key, (until_s, _) in list(self._answers.items()):
            if until_s <= now_s:
                del self._answers[key]
        self._issuer.refresh(now_s)

    def collect(self, now_s: float) -> Effects:
        """Return what has to be sent and told since the last call."""
        effects = Effects(decisions=self._decisions)
        self._decisions = []
        for (asker, number), grants in self._replies.items():
            reply = messages.QuotaGrants(number, tuple(grants))
            effects.messages.append((asker, reply))
        self._replies = {}
        needs: dict[tuple[str, int], list[messages.Need]] = {}
        numbers: dict[str, int] = {}
        for name in self._due:
            need = self._make_need(name, numbers, now_s)
            if need is not None:
                needs.setdefault(need[0], []).append(need[1])
        self._due = {}
        for (source, number), parts in needs.items():
            ask = messages.QuotaAsk(number, tuple(parts))
            effects.messages.append((source, ask))
        return effects

    def restart(self) -> None:
        """Give up all tokens, as after a pause of the process."""
        for found in self._pools.values():
            found.batches.clear()
            found.open = None
        self._issuer.restart()

    def _find_pool(self, organisation: str) -> pool.Pool:
        found = self._pools.get(organisation)
        if found is None:
            found = pool.Pool()
            self._pools[organisation] = found
        return found

    def _handle_need(
        self, sender: str, number: int, need: messages.Need, now_s: float
    ) -> None:
        """Answer one need from the bucket, from the tokens here, or later."""
        name = need.organisation
        organisation = self._find_organisation(name)
        if organisation is None or not organisation.has_quota:
            return
        if self._view.is_issuer(name):
            issued = self._issuer.issue(organisation, sender, number, need, now_s)
            if issued is not None:
                metrics.QUOTA_TOKENS.labels("issued").inc(issued.count)
                grant = messages.Grant(
                    name, issued.count, issued.life_s, issued.retry_after_s
                )
                self._answer(sender, number, grant, now_s)
            return
        if not need.waiting:
            return
        found = self._find_pool(name)
        found.add_demand(need.waiting, now_s, is_other=True)
        if now_s < found.refuse_until_s and not found.count(now_s):
            retry_after_s = max(0.01, found.retry_s - now_s)
            self._answer(
                sender, number, messages.Grant(name, 0, 0, retry_after_s), now_s
            )
            return
        for waiter in found.waiters:
            if waiter.asker == sender and waiter.number == number:
                return
        if len(found.waiters) >= _MAX_WAITERS:
            return
        until_s = now_s + _MAX_WAIT_S
        found.waiters.append(
            pool.Waiter(sender, number, need.waiting, need.ahead, until_s)
        )
        self._serve(name, found, now_s)

    def _serve(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Give tokens to the requests that wait, and get more for the rest."""
        self._give(name, found, now_s)
        if found.waiters:
            self._obtain(name, found, now_s)
        self._ask_ahead(name, found, now_s)
        if found.waiters or found.open is not None:
            self._waiting.add(name)
        else:
            self._waiting.discard(name)

    def _give(
        self, name: str, found: pool.Pool, now_s: float, is_partial: bool = False
    ) -> None:
        """Give tokens to the requests that wait, in their order.

        :param is_partial: whether a daemon may get fewer than it needs
        """
        while found.waiters:
            waiter = found.waiters[0]
            held = found.count(now_s)
            if not held:
                return
            if not waiter.asker:
                _, until_s = found.take(1, now_s)
                found.waiters.popleft()
                self._decide(waiter.number, outcomes.ADMITTED, until_s)
                continue
            if held < waiter.count and not is_partial:
                return
            spare = max(0, held - waiter.count) // 2
            most = waiter.count + min(waiter.ahead, spare)
            count, until_s = found.take(most, now_s)
            found.waiters.popleft()
            retry_after_s = max(0.01, found.retry_s - now_s)
            grant = messages.Grant(name, count, until_s - now_s, retry_after_s)
            self._answer(waiter.asker, waiter.number, grant, now_s)

    def _obtain(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Get tokens for the requests that wait, from here or from another daemon."""
        if self._list_sources(name, found, now_s):
            self._due[name] = None
            return
        organisation = self._find_organisation(name)
        if organisation is None:
            return
        waiting = found.count_missing(now_s)
        need = messages.Need(name, waiting)
        number = next(self._numbers)
        issued = self._issuer.issue(organisation, "", number, need, now_s)
        if issued is None:
            return
        metrics.QUOTA_TOKENS.labels("issued").inc(issued.count)
        until_s = now_s + issued.life_s
        found.add(pool.Batch("", number, issued.count, until_s))
        missing = waiting - issued.count
        if missing > 0:
            self._set_refused(found, issued.retry_after_s, now_s)
        self._give(name, found, now_s, is_partial=missing > 0)
        if missing > 0:
            self._refuse(name, found, missing, now_s)

    def _ask_ahead(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Ask for tokens for the requests to come, if so many are expected."""
        if found.open is not None or now_s < found.ahead_after_s:
            return
        if self._count_ahead(name, found, now_s):
            self._due[name] = None

    def _count_ahead(self, name: str, found: pool.Pool, now_s: float) -> int:
        """Return how many more tokens to hold for the requests to come."""
        if found.is_quiet(now_s):
            return 0
        sources = self._list_sources(name, found, now_s)
        if not sources:
            return 0
        demand_per_s = found.find_demand_per_s(now_s)
        is_deputy = found.serves_others(now_s) and not self._view.is_region_first(name)
        if not is_deputy and not self._view.is_remote(sources[0]):
            wanted = int(demand_per_s * _NEAR_AHEAD_S)
            held = found.count(now_s)
        else:
            ahead_s = _REMOTE_AHEAD_S
            if is_deputy:
                ahead_s = _DEPUTY_AHEAD_S
                demand_per_s *= _DEPUTY_PERIOD
            ahead_s = min(ahead_s, _AHEAD_LIFE_SHARE * found.life_s)
            wanted = math.ceil(demand_per_s * ahead_s) + 1
            held = found.count(now_s, _EXCHANGE_LIFE_SHARE * found.life_s)
        return wanted - held if held <= wanted // 2 else 0

    def _make_need(
        self, name: str, numbers: dict[str, int], now_s: float
    ) -> tuple[tuple[str, int], messages.Need] | None:
        """Return whom to ask for an organisation's tokens now, and for what.

        :param numbers: numbers of the questions of this step by daemon
        """
        found = self._pools.get(name)
        if found is None:
            return None
        source = self._choose_source(name, found, now_s)
        if source is None:
            found.open = None
            return None
        waiting = found.count_missing(now_s)
        asked = found.open
        if asked is not None and asked.source == source:
            interval_s = self._find_repeat_interval_s(source)
            if now_s - asked.sent_s < interval_s:
                return None
            if asked.sent_count >= _MAX_UNANSWERED:
                self._passed_over_s[source] = now_s + _PASSED_OVER_S
            asked.sent_s = now_s
            asked.sent_count += 1
            return (source, asked.number), asked.need
        ahead = self._count_ahead(name, found, now_s)
        if not waiting and not ahead:
            return None
        number = numbers.get(source)
        if number is None:
            number = numbers[source] = next(self._numbers)
        within_s = _EXCHANGE_LIFE_SHARE * found.life_s
        ending = found.remove_ending(source, now_s, within_s)
        returned = tuple(messages.Return(item.number, item.count) for item in ending)
        need = messages.Need(name, waiting, ahead, returned)
        found.open = pool.OpenAsk(source, number, need, now_s, now_s)
        self._waiting.add(name)
        return (source, number), need

    def _list_sources(
        self, name: str, found: pool.Pool, now_s: float
    ) -> abc.Sequence[str]:
        """Return the daemons to ask, those of all regions on behalf of others."""
        if found.serves_others(now_s):
            return self._view.list_first(name)
        return self._view.list_sources(name)

    def _choose_source(self, name: str, found: pool.Pool, now_s: float) -> str | None:
        """Return the daemon to ask, one that has answered lately if there is any.

        Now and then it is the second one, which then holds tokens when the first dies.
        """
        sources = self._list_sources(name, found, now_s)
        if found.open is not None:
            if now_s >= self._passed_over_s.get(found.open.source, 0.0):
                return found.open.source
        elif self._has_deputy(name, sources) and not next(self._asks) % _DEPUTY_PERIOD:
            sources = sources[::-1]
        for source in sources:
            if now_s >= self._passed_over_s.get(source, 0.0):
                return source
        return sources[0] if sources else None

    def _has_deputy(self, name: str, sources: abc.Sequence[str]) -> bool:
        """Whether the daemons to ask are the issuer and its region's second one."""
        first = self._view.list_first(name)[:1]
        return len(sources) > 1 and tuple(sources[:1]) == tuple(first)

    def _find_repeat_interval_s(self, source: str) -> float:
        if self._view.is_remote(source):
            return _REMOTE_REPEAT_INTERVAL_S
        return _REPEAT_INTERVAL_S

    def _set_refused(
        self, found: pool.Pool, retry_after_s: float, now_s: float
    ) -> None:
        """Remember for a moment that no token is to be had."""
        found.retry_s = now_s + retry_after_s
        found.refuse_until_s = now_s + min(retry_after_s, _MAX_REFUSE_S)

    def _refuse(self, name: str, found: pool.Pool, missing: int, now_s: float) -> None:
        """Refuse requests that wait, of this daemon or others."""
        retry_after_s = max(0.01, found.retry_s - now_s)
        while found.waiters and missing > 0:
            waiter = found.waiters.popleft()
            missing -= waiter.count
            if not waiter.asker:
                self._decide(waiter.number, outcomes.OverQuota(retry_after_s))
                continue
            grant = messages.Grant(name, 0, 0.0, retry_after_s)
            self._answer(waiter.asker, waiter.number, grant, now_s)

    def _drop_late(self, found: pool.Pool, now_s: float) -> None:
        """Give up requests that have waited too long."""
        while found.waiters and found.waiters[0].until_s <= now_s:
            waiter = found.waiters.popleft()
            if not waiter.asker:
                outcome = outcomes.NoIssuer(_NO_ISSUER_RETRY_S)
                self._decide(waiter.number, outcome)

    def _expire_open(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Give up a question that nobody waits for any longer."""
        asked = found.open
        if asked is not None and now_s - asked.first_sent_s >= _MAX_WAIT_S:
            found.open = None
            self._waiting.discard(name)

    def _answer(
        self, asker: str, number: int, grant: messages.Grant, now_s: float
    ) -> None:
        """Answer another daemon, and remember the answer for its repetitions."""
        key = (asker, number, grant.organisation)
        self._answers[key] = (now_s + _ANSWER_TTL_S, grant)
        self._reply(asker, number, grant)

    def _reply(self, asker: str, number: int, grant: messages.Grant) -> None:
        self._replies.setdefault((asker, number), []).append(grant)

    def _decide(
        self, ticket: int, outcome: outcomes.Outcome, until_s: float = 0.0
    ) -> None:
        self._decisions.append(Decision(ticket, outcome, until_s))
