"""Online requests: attempts at targets until the client has its answer."""

from __future__ import annotations

import asyncio
import http
import random
import time

from endivevane import logs, metrics
from endivevane.serving import (
    admission,
    attempts,
    failures,
    load_table,
    model,
    outcome_recorder,
    request_log,
    responder,
    routing_table,
    slot_queue,
    slot_registry,
    sse,
    target_client,
    target_registry,
    target_responses,
)

# Answers of routes that do not stream are passed on whole up to this size.
_MAX_WHOLE_BYTES = 1 << 20
# Attempts that did not run a request are bounded too, against endless refusals.
_MAX_SENDS = 12
# Share of the client's patience after which a stream without events goes on elsewhere.
_STALL_SHARE = 0.7
# Statuses that promise that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))
_FIRST_FAILED_STATUS = 500


class OnlineService:
    """Serves online requests."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        board: load_table.LoadTable,
        admitted: admission.Admission,
        caller: target_client.TargetClient,
        generator: random.Random,
    ) -> None:
        self._targets = targets
        self._places = admitted
        self._caller = caller
        self._generator = generator
        self._outcomes = outcome_recorder.OutcomeRecorder(
            board.outcomes, admitted.queue
        )

    async def serve(
        self,
        request: model.ClientRequest,
        route: model.Route,
        version: int,
        answer: responder.Responder,
    ) -> attempts.Outcome:
        """Answer a request; every path writes one answer or closes the connection.

        :param version: configuration version that the route is from
        """
        service = routing_table.choose_service(route, self._generator)
        progress = attempts.begin(request, route, service, version)
        try:
            async with asyncio.timeout_at(_loop_time(progress.deadline_s)):
                outcome = await self._run(request, progress, answer)
        except TimeoutError:
            outcome = self._give_up_in_time(answer)
        except asyncio.CancelledError:
            request_log.record_end(request, progress, attempts.Outcome.CLIENT_LEFT)
            raise
        except ConnectionError:
            outcome = attempts.Outcome.CLIENT_LEFT
        request_log.record_end(request, progress, outcome)
        return outcome

    async def _run(
        self,
        request: model.ClientRequest,
        progress: attempts.Progress,
        answer: responder.Responder,
    ) -> attempts.Outcome:
        while True:
            place = await self._places.acquire(self._make_wish(progress))
            if isinstance(place, slot_queue.Refused):
                return self._refuse(progress, answer, place)
            is_final = await self._attempt(place, request, progress, answer)
            if is_final is not None:
                return is_final
            if not self._may_go_on(progress, answer):
                return self._give_up(progress, answer)
            metrics.RETRIES.labels(progress.causes[-1][:20]).inc()

    def _make_wish(self, progress: attempts.Progress) -> slot_queue.SlotRequest:
        usable = {
            known.target.target_id
            for known in self._targets.list_usable(progress.service)
        }
        excluded = progress.refused_by | progress.ran_on
        if usable <= excluded:
            # Every target has been tried: the first one may have room again.
            progress.refused_by.clear()
            excluded = set()
        only = progress.list_allowed()
        if only is not None:
            excluded = set()
        return slot_queue.SlotRequest(
            service=progress.service,
            priority=progress.route.priority,
            objective_s=progress.objective_s,
            deadline_s=min(progress.deadline_s, progress.patience_until_s),
            may_retry=progress.may_return and not progress.sends,
            excluded=frozenset(excluded),
            allowed=only,
            request=progress.request_id,
        )

    async def _attempt(
        self,
        place: slot_registry.Slot,
        request: model.ClientRequest,
        progress: attempts.Progress,
        answer: responder.Responder,
    ) -> attempts.Outcome | None:
        """Send the request to a target; ``None`` when another attempt may follow."""
        target = place.target
        started_s = time.monotonic()
        had_event = progress.first_event_s is not None
        progress.slot_granted_s = started_s
        progress.coordinator = place.coordinator
        try:
            known = self._targets.find(target.target_id)
            if known is None or known.is_draining:
                progress.causes.append("target left")
                progress.refused_by.add(target.target_id)
                return None
            progress.sends += 1
            progress.fruitless += 1
            return await self._call(known, request, progress, answer)
        except failures.TargetCallError as error:
            progress.causes.append(error.cause)
            self._outcomes.record_error(target, error)
            self._note_failure(target, progress, error)
            return None
        finally:
            start_s = None
            if progress.first_event_s is not None and not had_event:
                start_s = progress.first_event_s - started_s
            self._places.release(place, time.monotonic() - started_s, start_s)

    async def _call(
        self,
        known: target_registry.KnownTarget,
        request: model.ClientRequest,
        progress: attempts.Progress,
        answer: responder.Responder,
    ) -> attempts.Outcome | None:
        route = progress.route
        call = model.TargetCall(
            method=request.method,
            path=request.path.encode("latin-1"),
            headers=request.headers,
            body=request.body,
            attempt_id=request.attempt_id,
            time_left_s=progress.deadline_s - time.monotonic(),
            last_event_id=progress.last_event_id,
            stall_timeout_s=_STALL_SHARE * route.stream_idle_timeout_s,
        )
        async with self._caller.call(known, call, route.is_idempotent) as reply:
            head = reply.head
            if head.is_not_run:
                await target_responses.drain_refusal(reply)
                self._note_refusal(known, progress, head)
                return None
            progress.ran_on.add(known.target.target_id)
            target_responses.check_signature(known, head)
            if route.kind is model.RouteKind.STREAMING and head.status == 200:
                return await self._relay_events(known, reply, progress, answer)
            if answer.is_begun:
                # A stream was to go on here; another answer can't be joined to it.
                raise target_responses.make_bad_answer(known, f"status {head.status}")
            return await self._relay_whole(known, reply, progress, answer)

    async def _relay_events(
        self,
        known: target_registry.KnownTarget,
        reply: target_client.TargetResponse,
        progress: attempts.Progress,
        answer: responder.Responder,
    ) -> attempts.Outcome:
        """Pass on whole events, so that a broken stream can go on elsewhere."""
        splitter = sse.EventParser()
        while True:
            data = await reply.read()
            if data is None:
                break
            events = target_responses.parse_events(known, splitter, data)
            if not events:
                continue
            reply.record_event()
            now_s = time.monotonic()
            progress.patience_until_s = now_s + progress.route.stream_idle_timeout_s
            if progress.first_event_s is None:
                progress.first_event_s = now_s
                self._outcomes.record_first_event(known.target, progress, now_s)
            if not answer.is_begun:
                answer.begin(reply.head)
            progress.delivered += len(events)
            progress.fruitless = 0
            for event in events:
                progress.last_event_id = event.event_id or progress.last_event_id
            await answer.write(b"".join(event.raw for event in events))
        if splitter.remainder:
            raise target_responses.make_bad_answer(
                known, "stream ends in the middle of an event"
            )
        if not answer.is_begun:
            answer.begin(reply.head)
        known.health.record_success()
        answer.finish()
        return attempts.Outcome.SERVED

    async def _relay_whole(
        self,
        known: target_registry.KnownTarget,
        reply: target_client.TargetResponse,
        progress: attempts.Progress,
        answer: responder.Responder,
    ) -> attempts.Outcome | None:
        """Pass on an answer once it is whole."""
        head = reply.head
        chunks: list[bytes] = []
        size = 0
        while (data := await reply.read()) is not None:
            chunks.append(data)
            size += len(data)
            if size <= _MAX_WHOLE_BYTES:
                continue
            if not answer.is_begun:
                answer.begin(head)
            await answer.write(b"".join(chunks))
            chunks.clear()
        if answer.is_begun:
            await answer.write(b"".join(chunks))
            answer.finish()
            return attempts.Outcome.SERVED
        is_failure = head.status >= _FIRST_FAILED_STATUS or head.status in _PROMISES
        self._outcomes.record_status(known.target, head.status, is_failure)
        is_idempotent = progress.route.is_idempotent
        if is_failure and is_idempotent and self._may_go_on(progress, answer):
            progress.causes.append(f"status {head.status}")
            return None
        if not is_failure:
            known.health.record_success()
        if head.status in _PROMISES:
            # The target may have run the request, so its status promises too much.
            answer.send(responder.Response(502))
            return attempts.Outcome.FAILED
        whole = responder.Response(
            head.status, b"".join(chunks), head.headers, head.reason
        )
        answer.send(whole)
        return attempts.Outcome.FAILED if is_failure else attempts.Outcome.SERVED

    def _note_refusal(
        self,
        known: target_registry.KnownTarget,
        progress: attempts.Progress,
        head: model.TargetReply,
    ) -> None:
        progress.causes.append(f"not run, status {head.status}")
        progress.fruitless -= 1
        progress.refused_by.add(known.target.target_id)
        if head.is_wrong_target:
            self._targets.record_replaced(known.target)
            return
        known.health.record_full(time.monotonic())

    def _note_failure(
        self,
        target: model.Target,
        progress: attempts.Progress,
        error: failures.TargetCallError,
    ) -> None:
        if error.may_have_run:
            progress.ran_on.add(target.target_id)
        else:
            if target.target_id in progress.ran_on:
                # Nothing listens where the request ran a moment ago.
                progress.gone.add(target.target_id)
            progress.fruitless -= 1
            progress.refused_by.add(target.target_id)
        for target_id in progress.ran_on:
            if self._targets.find(target_id) is None:
                progress.gone.add(target_id)

    def _may_go_on(
        self, progress: attempts.Progress, answer: responder.Responder
    ) -> bool:
        """Whether another attempt is allowed."""
        is_stream = progress.route.kind is model.RouteKind.STREAMING
        if answer.is_begun and not is_stream:
            # The bodies of two answers must not be joined.
            return False
        if progress.sends >= _MAX_SENDS:
            return False
        if not progress.may_have_run:
            return True
        if not progress.route.is_idempotent:
            return False
        if progress.fruitless >= progress.route.max_attempts:
            return False
        allowed = progress.list_allowed()
        return allowed is None or bool(allowed)

    def _refuse(
        self,
        progress: attempts.Progress,
        answer: responder.Responder,
        refused: slot_queue.Refused,
    ) -> attempts.Outcome:
        """End a request that finds no target."""
        if progress.may_have_run or answer.is_begun:
            return self._give_up(progress, answer)
        metrics.REFUSALS.labels("no_place", "not-run").inc()
        retry_after_s = refused.retry_after_s
        logs.limited_info(
            "request_refused",
            request=progress.request_id,
            coordinator=refused.coordinator or None,
            retry_after_ms=int(retry_after_s * 1000),
            left_ms=int((progress.deadline_s - time.monotonic()) * 1000),
            **self._places.queue.describe_load(progress.service),
        )
        answer.send(responder.Response(503, retry_after_s=retry_after_s))
        return attempts.Outcome.REFUSED

    def _give_up(
        self, progress: attempts.Progress, answer: responder.Responder
    ) -> attempts.Outcome:
        """End a request whose last attempt failed."""
        if answer.is_begun:
            answer.abort()
            return attempts.Outcome.BROKEN
        if not progress.may_have_run:
            wait_s = self._places.queue.retry_after_s(progress.service)
            return self._refuse(progress, answer, slot_queue.Refused(wait_s))
        _end_uncertain(answer, http.HTTPStatus.BAD_GATEWAY, "target_failed")
        return attempts.Outcome.FAILED

    def _give_up_in_time(self, answer: responder.Responder) -> attempts.Outcome:
        """End a request that has reached its time limit."""
        if answer.is_begun:
            answer.abort()
        else:
            # A request that was under way when time ran out may have run.
            _end_uncertain(answer, http.HTTPStatus.GATEWAY_TIMEOUT, "deadline")
        return attempts.Outcome.TIMED_OUT


def _end_uncertain(
    answer: responder.Responder, status: http.HTTPStatus, cause: str
) -> None:
    """Answer that a request may have run, with a status that promises nothing."""
    metrics.REFUSALS.labels(cause, "may-have-run").inc()
    answer.send(responder.Response(status))


def _loop_time(monotonic_s: float) -> float:
    """Return the event loop's time for a monotonic time."""
    loop = asyncio.get_running_loop()
    return loop.time() + (monotonic_s - time.monotonic())
