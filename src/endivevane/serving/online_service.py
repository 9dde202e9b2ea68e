"""Online requests: sending them to targets until the client has its response."""

from __future__ import annotations

import asyncio
import http
import random
import time

from endivevane import logs, metrics
from endivevane.quarantine import service as quarantine_service
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    admission,
    attempt_runner,
    attempts,
    exchange,
    load_table,
    model,
    outcome_recorder,
    request_log,
    responder,
    routing_table,
    slot_queue,
    target_client,
    target_registry,
)
from endivevane.stream_versions import service as stream_versions


class OnlineService:
    """Serves online requests."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        slot_admission: admission.Admission,
        caller: target_client.TargetClient,
        quarantine: quarantine_service.QuarantineService,
        limits: rate_limits.RateLimits,
        versions: stream_versions.StreamVersions,
        generator: random.Random,
    ) -> None:
        self._versions = versions
        self._quarantine = quarantine
        self._queue = slot_admission.queue
        self._generator = generator
        self._runner = attempt_runner.AttemptRunner(
            targets,
            slot_admission,
            caller,
            quarantine,
            limits,
            outcome_recorder.OutcomeRecorder(loads.outcomes, slot_admission.queue),
            versions,
        )

    async def serve(
        self,
        request: model.ClientRequest,
        route: model.Route,
        version: int,
        response: responder.Responder,
        may_have_moved: bool = False,
    ) -> attempts.Outcome:
        """Serve a request; every path sends one response or closes the connection.

        :param version: version of the configuration that defines the route
        :param may_have_moved: whether the stream that the client resumes may have begun
            at another service
        """
        service = self._choose_service(request, route)
        progress = attempts.begin(request, route, service, version)
        item = exchange.Exchange(request, progress, response)
        try:
            async with asyncio.timeout_at(_loop_time(progress.deadline_s)):
                if may_have_moved:
                    outcome = self._end_unknown(progress, response)
                else:
                    outcome = await self._run_to_end(item)
        except TimeoutError:
            outcome = self._end_timed_out(response)
        except asyncio.CancelledError:
            request_log.record_end(request, progress, attempts.Outcome.CLIENT_LEFT)
            raise
        except ConnectionError:
            outcome = attempts.Outcome.CLIENT_LEFT
        request_log.record_end(request, progress, outcome)
        return outcome

    def _choose_service(self, request: model.ClientRequest, route: model.Route) -> str:
        stream = attempts.get_stream(request, route)
        if stream and route.has_resumable_streams:
            return routing_table.choose_stream_service(route, stream)
        return routing_table.choose_service(route, self._generator)

    async def _run_to_end(self, item: exchange.Exchange) -> attempts.Outcome:
        """Run attempts; none is left when this returns or is cancelled."""
        try:
            return await self._run(item)
        finally:
            await item.race.cancel()

    async def _run(self, item: exchange.Exchange) -> attempts.Outcome:
        progress, response = item.progress, item.response
        if not await self._find_version(item):
            return self._end_unknown(progress, response)
        while True:
            blocked_s = self._quarantine.find_blocking(item.request)
            if blocked_s is not None:
                return self._end_quarantined(progress, response, blocked_s)
            slot = await self._runner.acquire(item)
            if isinstance(slot, slot_queue.Refused):
                return self._end_refused(progress, response, slot)
            item.race.start(self._runner.run(slot, item))
            outcome = await self._finish_attempts(item)
            if outcome is not None:
                return outcome
            if not progress.may_retry(response.is_started):
                return self._end_failed(progress, response)
            metrics.RETRIES.labels(progress.causes[-1][:20]).inc()
            await self._quarantine.wait_for_decision(item.request)
            if progress.has_met_many_ends(self._quarantine.has_ended):
                return self._end_failed(progress, response)

    async def _find_version(self, item: exchange.Exchange) -> bool:
        """Find the version of a stream that goes on; return whether it is known.

        A stream that has not begun belongs to no version.
        """
        progress = item.progress
        if not progress.route.has_resumable_streams:
            return True
        if not attempts.has_events(item.request):
            return True
        finding = await self._versions.find(
            progress.route, progress.service, progress.stream
        )
        progress.stream_version = finding.version
        return finding.version is not None

    async def _finish_attempts(
        self, item: exchange.Exchange
    ) -> attempts.Outcome | None:
        """Wait for an answer; return ``None`` when all attempts have ended without.

        A silent target is waited for, since it may go on, but another one that may run
        the request is given it too.
        """
        while item.race.running:
            outcome = await item.race.wait()
            if outcome is not None:
                return outcome
            if item.race.is_silent and self._runner.may_back_up(item):
                item.race.start(self._runner.back_up(item))
        return None

    def _end_refused(
        self,
        progress: attempts.Progress,
        response: responder.Responder,
        refused: slot_queue.Refused,
    ) -> attempts.Outcome:
        """End a request that was granted no slot."""
        if progress.may_have_run or response.is_started:
            return self._end_failed(progress, response)
        metrics.REFUSALS.labels("no_place", "not-run").inc()
        retry_after_s = refused.retry_after_s
        logs.limited_info(
            "request_refused",
            request=progress.request_id,
            coordinator=refused.coordinator or None,
            software=progress.stream_version,
            retry_after_ms=int(retry_after_s * 1000),
            left_ms=int((progress.deadline_s - time.monotonic()) * 1000),
            **self._queue.describe_load(progress.service),
        )
        response.send(responder.Response(503, retry_after_s=retry_after_s))
        return attempts.Outcome.REFUSED

    def _end_unknown(
        self, progress: attempts.Progress, response: responder.Responder
    ) -> attempts.Outcome:
        """End a request for the rest of a stream whose version nobody knows."""
        progress.causes.append("version unknown")
        metrics.REFUSALS.labels("version_unknown", "not-run").inc()
        wait_s = self._queue.retry_after_s(progress.service)
        response.send(responder.Response(503, retry_after_s=wait_s))
        return attempts.Outcome.REFUSED

    def _end_quarantined(
        self,
        progress: attempts.Progress,
        response: responder.Responder,
        retry_after_s: float,
    ) -> attempts.Outcome:
        """End a request that has crashed targets, or shares what has."""
        progress.causes.append("quarantine")
        if progress.may_have_run or response.is_started:
            return self._end_failed(progress, response)
        metrics.REFUSALS.labels("quarantine", "not-run").inc()
        response.send(responder.Response(503, retry_after_s=retry_after_s))
        return attempts.Outcome.REFUSED

    def _end_failed(
        self, progress: attempts.Progress, response: responder.Responder
    ) -> attempts.Outcome:
        """End a request whose last attempt failed."""
        if response.is_started:
            response.abort()
            return attempts.Outcome.BROKEN
        if not progress.may_have_run:
            wait_s = self._queue.retry_after_s(progress.service)
            return self._end_refused(progress, response, slot_queue.Refused(wait_s))
        _send_uncertain_error(response, http.HTTPStatus.BAD_GATEWAY, "target_failed")
        return attempts.Outcome.FAILED

    def _end_timed_out(self, response: responder.Responder) -> attempts.Outcome:
        """End a request whose deadline has passed."""
        if response.is_started:
            response.abort()
        else:
            # The request may have run, since its deadline may pass during an attempt.
            _send_uncertain_error(response, http.HTTPStatus.GATEWAY_TIMEOUT, "deadline")
        return attempts.Outcome.TIMED_OUT


def _send_uncertain_error(
    response: responder.Responder, status: http.HTTPStatus, cause: str
) -> None:
    """Send an error status that leaves open whether the request has run."""
    metrics.REFUSALS.labels(cause, "may-have-run").inc()
    response.send(responder.Response(status))


def _loop_time(monotonic_s: float) -> float:
    """Convert a monotonic time to the event loop's time."""
    loop = asyncio.get_running_loop()
    return loop.time() + (monotonic_s - time.monotonic())
