"""One attempt of an online request: its slot, the call to its target, its outcome."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.coordination import rendezvous
from endivevane.quarantine import service as quarantine_service
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    admission,
    answer_relay,
    attempts,
    call_watchdog,
    exchange,
    failures,
    model,
    outcome_recorder,
    request_log,
    slot_queue,
    slot_registry,
    target_client,
    target_probe,
    target_registry,
)
from endivevane.stream_versions import service as stream_versions

# Share of the client's idle timeout after which another target gets a stream without
# events.
_STALL_TIMEOUT_SHARE = 0.7


# A client whose stream can't begin at its version is best served at once: its next try
# is assigned a version anew.
_OTHER_VERSION_RETRY_S = 0.05
# A target that works on requests and has sent nothing for this long may be silent too.
_QUIET_S = 0.2


class AttemptRunner:
    """Runs attempts of online requests."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        slot_admission: admission.Admission,
        caller: target_client.TargetClient,
        quarantine: quarantine_service.QuarantineService,
        limits: rate_limits.RateLimits,
        outcomes: outcome_recorder.OutcomeRecorder,
        versions: stream_versions.StreamVersions,
    ) -> None:
        self._versions = versions
        self._targets = targets
        self._admission = slot_admission
        self._caller = caller
        self._quarantine = quarantine
        self._limits = limits
        self._outcomes = outcomes
        self._relay = answer_relay.AnswerRelay(targets, outcomes, quarantine, versions)
        self._probe = target_probe.TargetProbe()

    async def acquire(
        self, item: exchange.Exchange
    ) -> slot_registry.Slot | slot_queue.Refused:
        """Return a slot for the next attempt, or a refusal."""
        await self._await_ended_targets(item.progress)
        version = self._find_version(item)
        has_begun = item.progress.stream_version is not None
        if not (version is None or has_begun) and not self._versions.can_begin(
            item.progress.service, version
        ):
            # The client's next try may begin at another version.
            return slot_queue.Refused(_OTHER_VERSION_RETRY_S)
        is_new = item.progress.route.has_resumable_streams and not has_begun
        if is_new and not await self._versions.may_begin():
            metrics.REFUSALS.labels("plans_out_of_date", "not-run").inc()
            return slot_queue.Refused(_OTHER_VERSION_RETRY_S)
        return await self._admission.acquire(self._make_slot_request(item))

    async def run(
        self, slot: slot_registry.Slot, item: exchange.Exchange
    ) -> attempts.Outcome | None:
        """Send the request to a target; return ``None`` if it is not answered."""
        target, progress = slot.target, item.progress
        attempt = answer_relay.Attempt(target, item, granted_s=time.monotonic())
        events_before = progress.delivered_events
        progress.slot_granted_s = attempt.granted_s
        progress.coordinator = slot.coordinator
        try:
            known = self._targets.find(target.target_id)
            if known is None or known.is_draining:
                progress.causes.append("target left")
                progress.refused_by.add(target.target_id)
                return None
            if known.target.service != target.service:
                # The route may not allow the service that it has now.
                progress.causes.append("another service")
                progress.refused_by.add(target.target_id)
                return None
            if progress.stream_version not in (None, known.target.version):
                progress.causes.append("another version")
                progress.refused_by.add(target.target_id)
                return None
            if not await self._quarantine.allow(item.request):
                progress.causes.append("quarantine")
                return None
            progress.sends += 1
            progress.runs_without_event += 1
            return await self._call(known, attempt)
        except failures.TargetCallError as error:
            progress.causes.append(error.cause)
            request_log.record_broken_attempt(
                item.request,
                target,
                error,
                events=progress.delivered_events - events_before,
                run_s=time.monotonic() - attempt.granted_s,
            )
            self._outcomes.record_error(target, error)
            self._record_failure(target, progress, error)
            return None
        finally:
            first_event_delay_s = None
            if attempt.first_event_s is not None:
                first_event_delay_s = attempt.first_event_s - attempt.granted_s
            self._admission.release(
                slot, time.monotonic() - attempt.granted_s, first_event_delay_s
            )

    def may_back_up(self, item: exchange.Exchange) -> bool:
        """Return whether another target may run a request whose target is silent."""
        if item.race.running > 1:
            return False
        self._record_ended_targets(item.progress)
        if not item.progress.may_back_up(item.response.is_started):
            return False
        if self._quarantine.find_suspect_segment(item.request) is not None:
            return False
        service = item.progress.service
        excluded = item.progress.excluded | self._list_quiet(service)
        return not self._list_usable(service, self._find_version(item)) <= excluded

    async def back_up(self, item: exchange.Exchange) -> attempts.Outcome | None:
        """Run an attempt at another target, instead of the one at a silent target.

        That one goes on until the new one is sent, and after that if it fails at once.
        """
        slot_request = self._make_slot_request(item)
        quiet = self._list_quiet(item.progress.service)
        slot_request = dataclasses.replace(
            slot_request, excluded=slot_request.excluded | quiet
        )
        slot = await self._admission.acquire(slot_request)
        if isinstance(slot, slot_queue.Refused):
            return None
        metrics.RETRIES.labels("silent").inc()
        return await self.run(slot, item)

    def _make_slot_request(self, item: exchange.Exchange) -> slot_queue.SlotRequest:
        request, progress = item.request, item.progress
        version = self._find_version(item)
        usable = self._list_usable(progress.service, version)
        excluded = progress.excluded
        if usable <= excluded:
            # Every target has been tried; earlier ones may have free slots again.
            progress.refused_by.clear()
            excluded = frozenset()
        allowed_targets = progress.find_allowed_targets()
        if allowed_targets is not None:
            excluded = frozenset()
        else:
            allowed_targets = self._isolate(request, usable - excluded)
        return slot_queue.SlotRequest(
            service=progress.service,
            priority=progress.priority,
            objective_s=progress.objective_s,
            deadline_s=min(progress.deadline_s, progress.idle_deadline_s),
            may_retry=progress.client_may_retry and not progress.sends,
            excluded=excluded,
            allowed=allowed_targets,
            version=version,
            request=progress.request_id,
            organisation=request.organisation_name,
            request_bytes=len(request.body),
        )

    def _find_version(self, item: exchange.Exchange) -> str | None:
        """Return the version that a request must run at, ``None`` for any."""
        progress = item.progress
        if progress.stream_version is not None:
            return progress.stream_version
        if not progress.route.has_resumable_streams:
            return None
        return self._versions.choose(progress.service, progress.stream)

    def _list_usable(self, service: str, version: str | None) -> set[str]:
        """Return the usable targets of a service, of one version unless ``None``."""
        return {
            known.target.target_id
            for known in self._targets.list_usable(service)
            if version in (None, known.target.version)
        }

    def _list_quiet(self, service: str) -> frozenset[str]:
        """Return the targets that work on requests but have sent nothing just now."""
        now_s = time.monotonic()
        return frozenset(
            known.target.target_id
            for known in self._targets.list_usable(service)
            if known.health.measure_silence_s(now_s) > _QUIET_S
        )

    def _isolate(
        self, request: model.ClientRequest, target_ids: abc.Iterable[str]
    ) -> frozenset[str] | None:
        """Return the target that a suspect request may go to, ``None`` for any.

        All daemons send requests with a suspect segment to the same target, so that
        those which arrive before the decision end one target.
        """
        segment = self._quarantine.find_suspect_segment(request)
        if segment is None:
            return None
        now_s = time.monotonic()
        running = [
            target_id
            for target_id in target_ids
            if (known := self._targets.find(target_id)) is not None
            and not known.health.is_paused(now_s)
        ]
        # A target with a rate limit would let the request wait for a token.
        unlimited = [
            target_id
            for target_id in running
            if self._limits.find_limit_per_s(target_id) is None
        ]
        chosen = rendezvous.choose_member(
            segment, dict.fromkeys(unlimited or running, 1.0)
        )
        return None if chosen is None else frozenset((chosen,))

    async def _call(
        self, known: target_registry.KnownTarget, attempt: answer_relay.Attempt
    ) -> attempts.Outcome | None:
        item = attempt.item
        request, progress, route = item.request, item.progress, item.progress.route
        call = model.TargetCall(
            method=request.method,
            path=request.path.encode("latin-1"),
            headers=request.headers,
            body=request.body,
            attempt_id=request.attempt_id,
            time_left_s=progress.deadline_s - time.monotonic(),
            last_event_id=progress.last_event_id,
            stall_timeout_s=_STALL_TIMEOUT_SHARE * route.stream_idle_timeout_s,
            was_refused=known.target.target_id in progress.answered_refusals,
            organisation=request.told_organisation,
        )
        if progress.stream_version is None and route.has_resumable_streams:
            self._versions.prepare(route, answer_relay.make_stream(attempt))
        control = call_watchdog.CallControl(
            on_sent=lambda: self._take_over(known, item),
            on_silence=lambda: self._record_silence(known, attempt),
        )
        with self._quarantine.watch(request, control.abort) as waiting:
            try:
                async with self._caller.call(
                    known, call, route.is_idempotent, control
                ) as target_response:
                    return await self._relay.relay(
                        known, attempt, waiting, target_response
                    )
            except failures.TargetCallError as error:
                self._quarantine.record_broken(waiting, known.target, error)
                raise
            except asyncio.CancelledError:
                # It may have run; another attempt has answered, or the client left.
                progress.ran_on.add(known.target.target_id)
                self._quarantine.record_left(waiting, known.target)
                if waiting.is_waiting:
                    # It has not failed, so that it uses up no attempt.
                    progress.runs_without_event = max(
                        0, progress.runs_without_event - 1
                    )
                if control.is_stalled:
                    self._outcomes.record_stall(known.target)
                raise

    def _take_over(
        self, known: target_registry.KnownTarget, item: exchange.Exchange
    ) -> None:
        """Let an attempt that is about to be sent replace that at a silent target."""
        if item.race.lead():
            logs.limited_info(
                "silent_attempt_replaced",
                request=item.progress.request_id,
                taken_over_by=known.target.target_id,
            )

    def _record_silence(
        self, known: target_registry.KnownTarget, attempt: answer_relay.Attempt
    ) -> None:
        """Let another attempt begin, or find out whether the target has ended."""
        item, target = attempt.item, known.target
        progress = item.progress
        if target.target_id not in progress.ran_on:
            attempt.is_presumed_run = True
            progress.ran_on.add(target.target_id)
        silence_s = known.health.measure_silence_s(time.monotonic())
        if progress.may_back_up(item.response.is_started):
            item.race.record_silence()
        elif self._probe.has_ended(target, silence_s):
            progress.ended_targets.add(target.target_id)
            logs.limited_info(
                "silent_target_ended",
                request=progress.request_id,
                target=target.target_id,
                silence_ms=int(silence_s * 1000),
            )
            item.race.record_silence()

    def _record_failure(
        self,
        target: model.Target,
        progress: attempts.Progress,
        error: failures.TargetCallError,
    ) -> None:
        if error.may_have_run:
            progress.ran_on.add(target.target_id)
            if error.is_disconnect:
                progress.broken_runs.append(target.run_key)
        else:
            if target.target_id in progress.ran_on:
                # The target that ran the request no longer accepts connections.
                progress.ended_targets.add(target.target_id)
            progress.runs_without_event -= 1
            progress.refused_by.add(target.target_id)
        self._record_ended_targets(progress)

    async def _await_ended_targets(self, progress: attempts.Progress) -> None:
        """Wait until it is known whether targets that bind the request have ended."""
        if not progress.broken_runs or progress.find_allowed_targets() is None:
            return
        await self._quarantine.wait_for_check(progress.broken_runs[-1])
        self._record_ended_targets(progress)

    def _record_ended_targets(self, progress: attempts.Progress) -> None:
        for target_id in progress.ran_on:
            known = self._targets.find(target_id)
            if known is None or self._quarantine.has_ended(known.target.run_key):
                progress.ended_targets.add(target_id)
