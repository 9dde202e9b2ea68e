"""Tokens at one daemon: using them for requests, and giving them to other daemons.

It does no I/O, and the time is passed in: of a clock that also runs while the VM is
suspended.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import metrics
from endivevane.quotas import (
    answers,
    asking,
    issuer,
    messages,
    outcomes,
    pool,
    settings,
)
from endivevane.serving import model

# A request waits this long for an answer of any issuer.
_MAX_WAIT_S = 0.3
# When to come back without an issuer.
_NO_ISSUER_RETRY_S = 0.1
# A request waits here for a token that is due within this time.
_MAX_QUEUED_S = 0.1
# While no token is due, others are asked again after this time.
_MAX_REFUSE_S = 0.1
# Least time after which a client or another daemon comes back.
_MIN_RETRY_S = 0.01
# An issuer that has nothing to spare is asked ahead again after this time.
_AHEAD_RETRY_S = 0.25
# A request that waits in vain until this long after a token was due is over the quota;
# later, it counts as one without an issuer.
_REFUSED_MEMORY_S = 1.0
# Requests of an organisation, of this daemon and others, that may wait here.
_MAX_WAITERS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The outcome of a request of this daemon that has waited.

    :param until_s: time at which its token, if it has one, becomes void
    """

    ticket: int
    outcome: outcomes.Outcome
    until_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Effects:
    """What has to be sent and told after a step."""

    messages: abc.Sequence[tuple[str, messages.Message]]
    decisions: abc.Sequence[Decision]


class TokenHolder:
    """Decides about requests with the tokens that this daemon gets.

    :param find_organisation: returns an organisation of the configuration in force
    :param first_number: differs from one run of the daemon to the next
    """

    def __init__(
        self,
        limits: settings.QuotasSection,
        view: asking.View,
        token_issuer: issuer.TokenIssuer,
        find_organisation: abc.Callable[[str], model.Organisation | None],
        first_number: int,
    ) -> None:
        self._limits = limits
        self._view = view
        self._issuer = token_issuer
        self._find_organisation = find_organisation
        self._asking = asking.Asking(view, first_number)
        self._answers = answers.Answers()
        self._pools: dict[str, pool.Pool] = {}
        # Organisations with requests that wait or questions that are open.
        self._waiting: set[str] = set()
        self._decisions: list[Decision] = []

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits, or any question is open."""
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
            self._asking.request_ahead(organisation, found, now_s)
            return outcomes.ADMITTED
        if now_s < found.refuse_until_s or len(found.waiters) >= _MAX_WAITERS:
            found.refused += 1
            return outcomes.OverQuota(max(_MIN_RETRY_S, found.retry_s - now_s))
        until_s = now_s + min(wait_s, _MAX_WAIT_S)
        found.waiters.append(pool.Waiter("", ticket, 1, 0, until_s))
        self._serve(organisation, found, now_s)
        if self._decisions and self._decisions[-1].ticket == ticket:
            return self._decisions.pop().outcome
        return None

    def withdraw(self, organisation: str, ticket: int) -> None:
        """Forget a request that waits no longer."""
        found = self._find_pool(organisation)
        for waiter in found.waiters:
            if not waiter.asker and waiter.number == ticket:
                found.waiters.remove(waiter)
                return

    def give_back(self, organisation: str, until_s: float, now_s: float) -> None:
        """Keep the token of a request that has left, for the next one.

        :param until_s: time at which it becomes void
        """
        found = self._find_pool(organisation)
        found.add(pool.Batch("", 0, 1, until_s))
        self._serve(organisation, found, now_s)

    def handle_ask(self, sender: str, ask: messages.QuotaAsk, now_s: float) -> None:
        """Answer another daemon's question, or let it wait."""
        for need in ask.needs:
            organisation = self._find_organisation(need.organisation)
            if organisation is None or not organisation.has_quota:
                continue
            if self._answers.repeat(sender, ask.number, organisation.name):
                continue
            if self._view.is_issuer(organisation.name):
                self._issue(sender, ask.number, organisation, need, now_s)
            else:
                self._add_other(sender, ask.number, need, now_s)

    def handle_grants(
        self, sender: str, message: messages.QuotaGrants, now_s: float
    ) -> None:
        """Take the tokens that another daemon has granted."""
        self._asking.record_answer(sender)
        for grant in message.grants:
            found = self._pools.get(grant.organisation)
            if found is None or found.open is None:
                continue
            asked = found.open
            if asked.number != message.number or asked.source != sender:
                continue
            if grant.is_queued and asked.need.waiting:
                asked.sent_s, asked.sent_count = now_s, 0
                continue
            found.open = None
            if grant.count:
                found.life_s = grant.life_s
            if grant.count < asked.need.waiting + asked.need.ahead:
                found.ahead_after_s = now_s + _AHEAD_RETRY_S
            until_s = asked.first_sent_s + grant.life_s
            batch = pool.Batch(sender, asked.number, grant.count, until_s)
            self._add_tokens(
                grant.organisation,
                found,
                batch,
                asked.need.waiting - grant.count,
                grant.retry_after_s,
                now_s,
            )
            self._serve(grant.organisation, found, now_s)

    def tick(self, now_s: float) -> None:
        """Give up what has waited too long, and ask again what is due."""
        for name in list(self._waiting):
            found = self._pools[name]
            self._drop_late(found, now_s)
            self._asking.give_up(found, now_s)
            self._serve(name, found, now_s)

    def refresh(self, now_s: float) -> None:
        """Exchange tokens that become void soon, and forget what is idle."""
        for name, found in list(self._pools.items()):
            void = found.drop_void(now_s)
            if void:
                metrics.QUOTA_TOKENS.labels("void").inc(void)
            if found.is_idle(now_s):
                del self._pools[name]
                self._waiting.discard(name)
                continue
            self._asking.request_ahead(name, found, now_s)
        self._answers.drop_old(now_s)
        for kept in self._issuer.refresh(now_s):
            batch = pool.Batch("", 0, kept.count, kept.until_s)
            self._find_pool(kept.organisation).add(batch)

    def collect(self, now_s: float) -> Effects:
        """Return what has to be sent and told since the last call."""
        decisions, self._decisions = self._decisions, []
        asks = self._asking.collect(now_s)
        self._waiting.update(need.organisation for _, ask in asks for need in ask.needs)
        return Effects([*self._answers.collect(), *asks], decisions)

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

    def _issue(
        self,
        sender: str,
        number: int,
        organisation: model.Organisation,
        need: messages.Need,
        now_s: float,
    ) -> None:
        """Answer a need from the bucket, unless this daemon must not issue now."""
        issued = self._issuer.issue(organisation, sender, number, need, now_s)
        if issued is None:
            return
        grant = messages.Grant(
            organisation.name, issued.count, issued.life_s, issued.retry_after_s
        )
        self._answers.add(sender, number, grant, now_s)

    def _add_other(
        self, sender: str, number: int, need: messages.Need, now_s: float
    ) -> None:
        """Answer a need from the tokens here, now or once there are some.

        What is asked on behalf of others is not passed on: without enough tokens here
        it gets no answer, and its sender asks another daemon.
        """
        name = need.organisation
        found = self._find_pool(name)
        if found.has_waiter(sender, number):
            self._answers.add_queued(sender, number, name)
            return
        is_sample = need.purpose is messages.Purpose.SAMPLE
        weight = asking.DEPUTY_PERIOD if is_sample else 1
        found.add_demand(weight * need.waiting, now_s, is_other=True)
        is_full = len(found.waiters) >= _MAX_WAITERS
        if is_full or (now_s < found.refuse_until_s and not found.count(now_s)):
            found.refused += need.waiting
            self._refuse_other(name, found, sender, number, now_s)
            return
        until_s = now_s + _MAX_WAIT_S
        waiter = pool.Waiter(sender, number, need.waiting, need.ahead, until_s)
        is_passed_on = need.purpose is messages.Purpose.OTHERS
        if is_passed_on and found.count(now_s) < need.waiting:
            return
        if not need.waiting:
            self._give_other(name, found, waiter, now_s)
            self._asking.request_ahead(name, found, now_s)
            return
        found.waiters.append(waiter)
        self._serve(name, found, now_s)

    def _serve(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Give tokens to the requests that wait, and get more for the rest."""
        self._give(name, found, now_s)
        if found.waiters and now_s >= found.refuse_until_s:
            self._obtain(name, found, now_s)
        self._asking.request_ahead(name, found, now_s)
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
                until_s = min(until_s, now_s + self._find_ttl_s(name))
                self._decide(waiter.number, outcomes.ADMITTED, until_s)
                continue
            if held < waiter.count and not is_partial:
                return
            found.waiters.popleft()
            self._give_other(name, found, waiter, now_s)

    def _give_other(
        self, name: str, found: pool.Pool, waiter: pool.Waiter, now_s: float
    ) -> None:
        """Give another daemon what it needs, and part of what is left ahead."""
        spare = max(0, found.count(now_s) - waiter.count) // 2
        count, until_s = found.take(waiter.count + min(waiter.ahead, spare), now_s)
        if count > waiter.count:
            found.add_demand(count - waiter.count, now_s, is_other=True)
        retry_after_s = max(_MIN_RETRY_S, found.retry_s - now_s)
        life_s = min(until_s - now_s, self._find_ttl_s(name))
        grant = messages.Grant(name, count, life_s, retry_after_s)
        self._answers.add(waiter.asker, waiter.number, grant, now_s)

    def _find_ttl_s(self, name: str) -> float:
        """Return the life of a token that counts as used once it is passed on."""
        organisation = self._find_organisation(name)
        return self._limits.find_token_ttl_s(organisation) if organisation else 0.0

    def _obtain(self, name: str, found: pool.Pool, now_s: float) -> None:
        """Get tokens for the requests that wait, from here or from another daemon."""
        if self._asking.list_sources(name, found, now_s):
            self._asking.request(name, found)
            return
        organisation = self._find_organisation(name)
        if organisation is None:
            return
        need = messages.Need(name, found.count_missing(now_s))
        found.refused = 0
        number = self._asking.next_number()
        issued = self._issuer.issue(organisation, "", number, need, now_s)
        if issued is None:
            return
        batch = pool.Batch("", number, issued.count, now_s + issued.life_s)
        missing = need.waiting - issued.count
        self._add_tokens(name, found, batch, missing, issued.retry_after_s, now_s)

    def _add_tokens(
        self,
        name: str,
        found: pool.Pool,
        batch: pool.Batch,
        missing: int,
        retry_after_s: float,
        now_s: float,
    ) -> None:
        """Give new tokens to the requests that wait, and refuse those without one.

        :param missing: requests for which there is no token
        :param retry_after_s: time until one is likely due
        """
        found.add(batch)
        if missing <= 0:
            self._give(name, found, now_s)
            return
        found.retry_s = now_s + retry_after_s
        found.refuse_until_s = now_s + min(retry_after_s, _MAX_REFUSE_S)
        self._give(name, found, now_s, is_partial=True)
        is_due = retry_after_s <= _MAX_QUEUED_S
        kept = [waiter for waiter in found.waiters if is_due and not waiter.asker]
        while found.waiters and missing > 0:
            waiter = found.waiters.popleft()
            missing -= waiter.count
            if waiter.asker:
                self._refuse_other(name, found, waiter.asker, waiter.number, now_s)
            elif not is_due:
                self._decide(waiter.number, self._make_refusal(found, now_s))
        if kept:
            others = [waiter for waiter in found.waiters if waiter not in kept]
            found.waiters.clear()
            found.waiters.extend([*kept, *others])

    def _refuse_other(
        self, name: str, found: pool.Pool, asker: str, number: int, now_s: float
    ) -> None:
        retry_after_s = max(_MIN_RETRY_S, found.retry_s - now_s)
        grant = messages.Grant(name, 0, 0.0, retry_after_s)
        self._answers.add(asker, number, grant, now_s)

    def _drop_late(self, found: pool.Pool, now_s: float) -> None:
        """Give up requests that have waited too long, wherever they are."""
        late = [waiter for waiter in found.waiters if waiter.until_s <= now_s]
        for waiter in late:
            found.waiters.remove(waiter)
            if waiter.asker:
                continue
            outcome: outcomes.Outcome = outcomes.NoIssuer(_NO_ISSUER_RETRY_S)
            if now_s - found.retry_s < _REFUSED_MEMORY_S:
                outcome = self._make_refusal(found, now_s)
            self._decide(waiter.number, outcome)

    def _make_refusal(self, found: pool.Pool, now_s: float) -> outcomes.OverQuota:
        return outcomes.OverQuota(max(_MIN_RETRY_S, found.retry_s - now_s))

    def _decide(
        self, ticket: int, outcome: outcomes.Outcome, until_s: float = 0.0
    ) -> None:
        self._decisions.append(Decision(ticket, outcome, until_s))
