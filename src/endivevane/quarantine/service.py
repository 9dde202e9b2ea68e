"""Quarantine at one daemon: what it observes, decides, tells others and refuses."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.quarantine import (
    crash_check,
    evidence,
    exchange,
    left_requests,
    messages,
    registry,
    replies,
    rows,
    watches,
)
from endivevane.serving import failures, model, store

# Time for the others' reports and answers on the same segments to arrive, twice the
# way between regions.
_DECISION_DELAY_S = 0.1
# The first writer of a row spares the others theirs.
_WRITE_JITTER_S = 0.3
# The first daemon that deletes an expired row spares the others theirs.
_DELETE_JITTER_S = 10.0
# Pause after the store could not decide who tries a request.
_CLAIM_RETRY_S = 2.0
# Quarantines are repeated at this interval, for daemons that have missed the news.
_REPEAT_INTERVAL_S = 2.0
_QUARANTINED = "quarantine"


class QuarantineService:
    """Keeps requests that crash targets away from them.

    :param region: region of this daemon
    :param on_target_end: called with the run of a target that has ended, whoever saw
        it, and the monotonic time
    """

    def __init__(
        self,
        region: str,
        news_exchange: exchange.QuarantineExchange,
        quarantine_rows: rows.QuarantineRows,
        generator: random.Random,
        on_target_end: abc.Callable[[str, float], None],
    ) -> None:
        self._on_target_end = on_target_end
        self._region = region
        self._registry = registry.QuarantineRegistry()
        self._exchange = news_exchange
        self._rows = quarantine_rows
        self._generator = generator
        self._check = crash_check.CrashCheck(self.report_end, self._record_whole)
        self._own_ends: set[str] = set()
        self._replies = replies.AnswerReplies(
            self._registry.evidence, generator, self._publish_answer
        )
        self._claims: set[str] = set()
        self._at_targets = watches.RequestsAtTargets()
        self._left = left_requests.LeftRequests()
        self._decision: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Repeat quarantines and drop what has expired until cancelled."""
        while True:
            await asyncio.sleep(_REPEAT_INTERVAL_S)
            now_s = time.monotonic()
            notices = self._make_notices(now_s)
            if notices:
                news = messages.QuarantineNews(self._region, entries=notices)
                self._exchange.repeat(news, now_s)
            for entry_id in self._registry.expire(now_s):
                self._start(self._delete_later(entry_id))
            if not len(self._registry.evidence):
                self._own_ends.clear()
                self._replies.clear()

    def find_blocking(self, request: model.ClientRequest) -> float | None:
        """Return how long a request is in quarantine, ``None`` if it may be sent.

        :return: time in seconds until the next try
        """
        now_s = time.monotonic()
        entry = self._registry.check(request, now_s)
        if entry is None or now_s >= entry.retry_at_s:
            return None
        logs.limited_info(
            "request_quarantined",
            request=request.attempt_id.decode("latin-1"),
            entry=entry.entry_id,
        )
        return entry.retry_at_s - now_s

    async def allow(self, request: model.ClientRequest) -> bool:
        """Return whether a request may be sent to a target now.

        When a try is due, the first daemon whose claim the store takes may send one
        request that falls under the quarantine.
        """
        now_s = time.monotonic()
        entry = self._registry.check(request, now_s)
        if entry is None:
            return True
        return now_s >= entry.retry_at_s and await self._claim_try(entry)

    def find_suspect_segment(self, request: model.ClientRequest) -> str | None:
        """Return a suspect segment of which no request has been answered whole."""
        return self._registry.find_suspect_segment(request)

    def watch(
        self, request: model.ClientRequest, abort: abc.Callable[[str], None]
    ) -> watches.Watch:
        """Return a context that lasts while a request is at a target.

        :param abort: called with a cause when the request falls under a quarantine
            before its answer has begun; one that is under way shows whether the
            quarantine is in error
        """
        return self._at_targets.watch(request, abort)

    async def wait_for_decision(self, request: model.ClientRequest) -> None:
        """Wait before a request is sent again after a target has ended under it.

        The wait is only for requests whose segments are accused and not cleared.
        """
        if self.find_suspect_segment(request) is not None:
            await asyncio.sleep(_DECISION_DELAY_S + crash_check.COLLECT_S)

    def has_ended(self, run_key: str) -> bool:
        """Return whether a run of a target is known to have ended a short while ago."""
        return self._registry.evidence.has_end(run_key)

    async def wait_for_check(self, run_key: str) -> None:
        """Wait until it is known whether a run that broke off an attempt has ended."""
        await self._check.wait(run_key)

    def record_answer(self, request: model.ClientRequest) -> None:
        """Record that one run of a target has answered a request whole."""
        fingerprint = evidence.make_fingerprint(request)
        self.record_answer_on((*request.prompt_segments, fingerprint))

    def record_unframed_answer(
        self, watch: watches.Watch, target: model.Target
    ) -> None:
        """Record an answer without a length or chunks that has ended.

        It is whole unless its target has ended. That is checked only where the answer
        would show anything new; of a request alone, only after a target has ended.
        """
        suspect = evidence.make_suspect(watch.request, was_beginning=watch.is_waiting)
        known = self._registry.evidence
        traits = suspect.segments
        if len(known):
            traits += (suspect.fingerprint,)
        if any(known.find_answered_s(trait) is None for trait in traits):
            self._check.add_unframed(target, suspect)

    def record_answer_on(self, traits: tuple[str, ...]) -> None:
        """Record that one run of a target has answered a request with some traits."""
        self._registry.evidence.answer_count += 1
        self._record_answered(dict.fromkeys(traits, 0.0), is_own=True)

    def record_broken(
        self,
        watch: watches.Watch,
        target: model.Target,
        error: failures.TargetCallError,
    ) -> None:
        """Record that a target broke off an attempt before its answer was whole."""
        is_crash = error.may_have_run and error.is_disconnect
        if not is_crash or not watch.is_open:
            return
        was_beginning = error.had_head and watch.is_waiting
        self._check.add(target, evidence.make_suspect(watch.request, was_beginning))

    def record_left(self, watch: watches.Watch, target: model.Target) -> None:
        """Record that a request left a target before its answer was whole."""
        if watch.is_open:
            suspect = evidence.make_suspect(watch.request, was_beginning=False)
            self._left.add(target.run_key, suspect, time.monotonic())

    def report_end(
        self, run_key: str, ended_s: float, suspects: tuple[evidence.Suspect, ...]
    ) -> None:
        """Record the end of a target and tell the others.

        :param run_key: identifies the run of the target
        :param ended_s: monotonic time of the end
        :param suspects: requests of this daemon whose answers were not whole there
        """
        now_s = time.monotonic()
        known = self._registry.evidence
        suspects = (*suspects, *self._left.find(run_key, ended_s))
        suspects = suspects[: evidence.MAX_REPORTED_SUSPECTS]
        if not known.add_end(run_key, ended_s, suspects):
            return
        self._own_ends.add(run_key)
        self._on_target_end(run_key, now_s)
        answered = {}
        for trait in evidence.list_traits(suspects):
            answered_s = known.find_answered_s(trait)
            if answered_s is not None:
                answered[trait] = now_s - answered_s
        logs.limited_info(
            "target_ended",
            run=run_key,
            suspects=len(suspects),
            running=sum(suspect.was_beginning for suspect in suspects),
        )
        metrics.TARGET_ENDS.inc()
        report = messages.EndReport(run_key, now_s - ended_s, suspects, answered)
        self._publish(messages.QuarantineNews(self._region, ends=(report,)))
        self._schedule_decision()

    def handle(self, news: messages.QuarantineNews, sender: str) -> None:
        """Apply the news of another daemon, and pass on what is new."""
        now_s = time.monotonic()
        ends = tuple(end for end in news.ends if self._apply_end(end, now_s))
        entries = tuple(
            notice for notice in news.entries if self._apply_notice(notice, now_s)
        )
        answers = tuple(
            answer for answer in news.answers if self._apply_answer(answer, now_s)
        )
        if entries:
            self._abort_quarantined()
        if ends or entries or answers:
            fresh = messages.QuarantineNews(news.region, ends, entries, answers)
            self._exchange.relay(fresh, sender, now_s)

    def greet(self, name: str) -> None:
        """Tell a daemon that has just appeared what is in quarantine."""
        notices = self._make_notices(time.monotonic())
        if notices:
            news = messages.QuarantineNews(self._region, entries=notices)
            self._exchange.send_to(name, news)

    def apply_row(self, row: store.Row) -> None:
        """Apply the row of a quarantine, or its deletion."""
        entry = self._rows.record_row(row)
        if entry is not None:
            if self._registry.apply(entry, time.monotonic()):
                self._abort_quarantined()
        elif row.value is None:
            self._registry.drop(row.row_key.key.removeprefix(rows.ROW_PREFIX))

    def _make_notices(self, now_s: float) -> tuple[messages.EntryNotice, ...]:
        return tuple(
            messages.make_notice(entry, now_s) for entry in self._registry.entries
        )

    def _apply_end(self, end: messages.EndReport, now_s: float) -> bool:
        known = self._registry.evidence
        if not known.add_end(end.run_key, now_s - end.age_s, end.suspects):
            return False
        self._on_target_end(end.run_key, now_s)
        self._record_answered(end.answered, is_own=False)
        self._replies.reply_later(end, now_s)
        self._schedule_decision()
        if self._left.find(end.run_key, now_s - end.age_s):
            self.report_end(end.run_key, now_s - end.age_s, ())
        return True

    def _apply_notice(self, notice: messages.EntryNotice, now_s: float) -> bool:
        entry = registry.Entry(
            entry_id=notice.entry_id,
            traits=frozenset(notice.traits),
            tries=notice.tries,
            decided_s=now_s - notice.age_s,
            retry_at_s=now_s + notice.retry_in_s,
            used_s=now_s,
        )
        return self._registry.apply(entry, now_s)

    def _apply_answer(self, answer: messages.AnswerNotice, now_s: float) -> bool:
        known = self._registry.evidence
        news = {
            trait: age_s
            for trait, age_s in answer.ages_s.items()
            if now_s - age_s - (known.find_answered_s(trait) or 0.0)
            > replies.REPLY_AGE_S
        }
        self._replies.record_announced(answer.ages_s, now_s)
        self._record_answered(answer.ages_s, is_own=False)
        return bool(news)

    def _record_whole(self, answered: evidence.Suspect) -> None:
        self.record_answer_on((*answered.segments, answered.fingerprint))

    def _record_answered(self, ages_s: abc.Mapping[str, float], is_own: bool) -> None:
        now_s = time.monotonic()
        by_age: dict[float, list[str]] = {}
        for trait, age_s in ages_s.items():
            by_age.setdefault(age_s, []).append(trait)
        lifted: list[str] = []
        for age_s, traits in by_age.items():
            before = {entry.entry_id for entry in self._registry.entries}
            lifted += self._registry.record_answers(traits, now_s - age_s)
            after = {entry.entry_id for entry in self._registry.entries}
            for entry_id in before - after:
                self._start(self._rows.delete(entry_id))
        if lifted and is_own:
            self._publish_answer(messages.AnswerNotice(dict.fromkeys(lifted, 0.0)))

    def _schedule_decision(self) -> None:
        if self._decision is None:
            loop = asyncio.get_running_loop()
            self._decision = loop.call_later(_DECISION_DELAY_S, self._decide)

    def _decide(self) -> None:
        self._decision = None
        now_s = time.monotonic()
        decided = self._registry.decide(now_s)
        if decided:
            self._abort_quarantined()
        for entry in decided:
            metrics.QUARANTINES.inc()
            if not self._has_observed(entry):
                continue
            notice = messages.make_notice(entry, now_s)
            self._publish(messages.QuarantineNews(self._region, entries=(notice,)))
            self._start(self._store_entry(entry))

    def _has_observed(self, entry: registry.Entry) -> bool:
        """Return whether this daemon saw one of the ends that speak for an entry."""
        return any(
            end.is_explained_by(entry.traits)
            for end in self._registry.evidence.select_ends(self._own_ends)
        )

    async def _store_entry(self, entry: registry.Entry) -> None:
        if not rows.is_storable(entry):
            logs.info("quarantine_not_stored", entry=entry.entry_id)
            return
        await asyncio.sleep(self._generator.uniform(0.0, _WRITE_JITTER_S))
        if self._rows.has_row(entry.entry_id):
            return
        try:
            await self._rows.write(entry)
        except failures.StoreFailure as error:
            logs.info("quarantine_not_stored", entry=entry.entry_id, cause=error)

    async def _delete_later(self, entry_id: str) -> None:
        """Delete a row that has expired at all daemons, unless another one has."""
        await asyncio.sleep(self._generator.uniform(0.0, _DELETE_JITTER_S))
        await self._rows.delete(entry_id)

    async def _claim_try(self, entry: registry.Entry) -> bool:
        """Return whether the store lets this daemon try a request of a quarantine."""
        if entry.entry_id in self._claims:
            return False
        self._claims.add(entry.entry_id)
        now_s = time.monotonic()
        tries = entry.tries + 1
        retry_at_s = now_s + registry.find_period_s(tries)
        claimed = dataclasses.replace(entry, tries=tries, retry_at_s=retry_at_s)
        try:
            is_taken = await self._rows.write(claimed)
        except failures.StoreFailure as error:
            logs.limited_info("try_not_claimed", entry=entry.entry_id, cause=error)
            is_taken = False
        finally:
            self._claims.discard(entry.entry_id)
        if not is_taken:
            entry.retry_at_s = max(entry.retry_at_s, now_s + _CLAIM_RETRY_S)
            return False
        entry.tries, entry.retry_at_s = tries, retry_at_s
        logs.info("quarantine_tried", entry=entry.entry_id, tries=tries)
        notice = messages.make_notice(entry, now_s)
        self._publish(messages.QuarantineNews(self._region, entries=(notice,)))
        return True

    def _abort_quarantined(self) -> None:
        """Abort the requests in quarantine that still wait at targets."""
        now_s = time.monotonic()
        for watch in self._at_targets.list_waiting():
            entry = self._registry.check(watch.request, now_s)
            if entry is not None and now_s < entry.retry_at_s:
                watch.end()
                watch.abort(_QUARANTINED)

    def _publish_answer(self, notice: messages.AnswerNotice) -> None:
        self._publish(messages.QuarantineNews(self._region, answers=(notice,)))

    def _publish(self, news: messages.QuarantineNews) -> None:
        self._exchange.publish(news, time.monotonic())

    def _start(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
