"""Calls to plain services: matching, forwarding, retries, at-most-once execution."""

from __future__ import annotations

import dataclasses
import hashlib
import urllib.parse

import result
import werkzeug.wrappers

from endivevane import exceptions, logs, metrics, types, utils
from endivevane.configuration import models, snapshot
from endivevane.coordination import clock, register, store
from endivevane.external import http_pool
from endivevane.online import at_most_once, contract, plain_targets, proxy_headers
from endivevane.web import app, errors, request_headers

_METHODS = ("GET", "POST", "PUT", "DELETE")
_RETRY_AFTER_S = 1.0


class AttemptError(exceptions.EndivevaneError):
    """An attempt of a call failed.

    :param is_not_run: whether the target provably did not run the call
    :param answer: response of the target, if any
    :param detail: description of the failure
    :param is_unsent: whether nothing reached the target; a retry adds no load then
    """

    def __init__(
        self,
        is_not_run: bool,
        answer: at_most_once.Answer | None,
        detail: str,
        is_unsent: bool = False,
    ) -> None:
        super().__init__()
        self.is_not_run = is_not_run
        self.answer = answer
        self.detail = detail
        self.is_unsent = is_unsent

    @property
    def reason(self) -> contract.AttemptFailure:
        """Reason label of the retry counters."""
        if self.answer is not None:
            return contract.AttemptFailure.REFUSED_NOT_RUN
        if self.is_not_run:
            return contract.AttemptFailure.CONNECT_FAILED
        return contract.AttemptFailure.BROKEN

    def format_message(self) -> str:
        """Return the description of the failure."""
        return self.detail


@dataclasses.dataclass(slots=True)
class _PlainCall:
    """A call to a plain service and its state.

    :param path: path and query as sent to the target
    :param headers: headers sent to the target
    :param attempts: number of attempts so far
    :param failed: names of targets that failed this call
    """

    call: app.Call
    service: snapshot.Service
    route: models.RouteModel
    path: str
    body: bytes
    headers: dict[str, str]
    deadline_s: float
    attempts: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self.call.request.method

    def digest(self) -> str:
        """Return the digest that detects reuse of a key for another call."""
        content = hashlib.sha256(self.body).hexdigest()
        return utils.digest_text(self.service.name, self.method, self.path, content)


class Forwarder:
    """Serves ``/services/{name}/...`` in the worker threads of the HTTP server.

    :param targets: choice, health and connections of targets
    :param call_register: keys of calls that run at most once
    :param keeper: stores and restores their outcomes
    :param max_body_bytes: maximum body size of a call
    """

    def __init__(
        self,
        targets: plain_targets.PlainTargets,
        call_register: register.Register,
        keeper: at_most_once.OutcomeKeeper,
        forward_clock: clock.Clock,
        max_body_bytes: int,
    ) -> None:
        self._targets = targets
        self._claim_limiter = at_most_once.ClaimLimiter(call_register)
        self._keeper = keeper
        self._clock = forward_clock
        self._max_body_bytes = max_body_bytes

    def routes(self) -> list[app.Route]:
        """Return the routes of plain services."""
        return [
            app.Route(method, rule, self._handle, max_body_bytes=self._max_body_bytes)
            for method in _METHODS
            for rule in ("/services/<name>", "/services/<name>/<path:rest>")
        ]

    def _handle(self, call: app.Call) -> werkzeug.wrappers.Response:
        plain = self._parse(call)
        if plain.route.idempotent:
            return _make_response(self._call_idempotent(plain))
        return self._call_once(plain)

    def _parse(self, call: app.Call) -> _PlainCall:
        name = call.arguments["name"]
        service = call.snapshot.services.get(name)
        if service is None or not service.is_plain:
            raise errors.NotFound(f"there is no plain service {name!r}")
        if call.organisation not in service.model.organisations:
            raise errors.NotFound(f"there is no plain service {name!r}")
        path = "/" + call.arguments.get("rest", "")
        route = match_route(service.model.routes, path, call.request.method)
        body = call.request.get_data(cache=False)
        if len(body) > self._max_body_bytes:
            raise errors.BodyTooLarge(
                f"the body is larger than {self._max_body_bytes} bytes"
            )
        query = call.request.query_string.decode("latin-1")
        quoted = urllib.parse.quote(path, safe="/:@!$&'()*+,;=~")
        headers = proxy_headers.filter_request(call.request.headers.items())
        headers["x-request-id"] = call.request_id
        headers["x-endivevane-organisation"] = call.organisation
        return _PlainCall(
            call=call,
            service=service,
            route=route,
            path=f"{quoted}?{query}" if query else quoted,
            body=body,
            headers=headers,
            deadline_s=self._clock.monotonic_s()
            + request_headers.read_deadline_s(
                call.request, service.model.online.deadline_s
            ),
        )

    def _call_idempotent(self, plain: _PlainCall) -> at_most_once.Answer:
        """Send a call, with retries as far as the retry budget allows."""
        self._targets.record_request(plain.service.name)
        while True:
            outcome = self._send(plain, is_repeatable=True)
            if isinstance(outcome, result.Ok):
                return outcome.ok_value
            failure = outcome.err_value
            denied = self._deny_retry(plain, failure)
            if denied is None:
                metrics.RETRIES.labels(failure.reason.value).inc()
                continue
            if failure.answer is not None:
                return _correct_run_state(failure.answer, plain.may_have_run)
            raise self._make_error(plain, failure, denied)

    def _call_once(self, plain: _PlainCall) -> werkzeug.wrappers.Response:
        """Serve a call that must not run twice."""
        key = _read_key(plain.call)
        if not self._targets.has_target(plain.service):
            raise errors.Unavailable(
                f"{plain.service.name} has no target", retry_after_s=_RETRY_AFTER_S
            )
        claim_until_s = min(
            plain.deadline_s, self._clock.monotonic_s() + plain.route.timeout_s
        )
        claimed = self._claim_limiter.claim(
            plain.call.organisation,
            key,
            plain.digest(),
            self._clock.wall_ms(),
            lambda: self._clock.monotonic_s() < claim_until_s,
        )
        if isinstance(claimed, result.Err):
            raise _make_store_error(claimed.err_value)
        claim_result = claimed.ok_value
        if isinstance(claim_result, register.KeyReused):
            raise at_most_once.KeyReused(
                "the Idempotency-Key was used for another call; use a new key"
            )
        if isinstance(claim_result, register.MayHaveRun):
            raise errors.Conflict(
                "a call with this Idempotency-Key was accepted before and its outcome "
                "is not known; it is not sent again",
                run_state=types.RunState.MAY_HAVE_RUN,
                retry_after_s=_RETRY_AFTER_S,
            )
        if isinstance(claim_result, register.Expired):
            raise at_most_once.make_expired_error(claim_result)
        if isinstance(claim_result, register.Finished):
            return self._replay(claim_result)
        return _make_response(self._send_claimed(plain, claim_result))

    def _replay(self, finished: register.Finished) -> werkzeug.wrappers.Response:
        restored = self._keeper.restore(finished.outcome)
        if isinstance(restored, result.Err):
            logs.warning("replay_failed", error=str(restored.err_value))
            raise errors.Unavailable(
                "the call has run, but its stored answer can't be read now",
                run_state=types.RunState.RAN,
                retry_after_s=_RETRY_AFTER_S,
            )
        response = _make_response(restored.ok_value)
        response.headers["X-Replayed"] = "true"
        return response

    def _send_claimed(
        self, plain: _PlainCall, claim: register.Claim
    ) -> at_most_once.Answer:
        """Send a claimed call; retry only while it provably did not run."""
        self._targets.record_request(plain.service.name)
        while True:
            outcome = self._send(plain, is_repeatable=False)
            if isinstance(outcome, result.Ok):
                self._keeper.keep(claim, outcome.ok_value)
                return outcome.ok_value
            failure = outcome.err_value
            if not failure.is_not_run:
                raise self._make_error(plain, failure, "it must not be sent twice")
            denied = self._deny_retry(plain, failure)
            if denied is None:
                metrics.RETRIES.labels(failure.reason.value).inc()
                continue
            self._keeper.release(claim)
            raise self._make_error(plain, failure, denied)

    def _send(
        self, plain: _PlainCall, is_repeatable: bool
    ) -> result.Result[at_most_once.Answer, AttemptError]:
        """Send one attempt of a call to a chosen target."""
        if self._clock.monotonic_s() >= plain.deadline_s:
            return result.Err(
                AttemptError(True, None, "the deadline passed before the call was sent")
            )
        plain.attempts += 1
        attempt_id = f"{plain.call.request_id}.{plain.attempts}"
        started_s = self._clock.monotonic_s()
        target = self._targets.begin(plain.service, attempt_id, plain.failed)
        if target is None:
            return result.Err(AttemptError(True, None, "no target is available"))
        is_answered: bool | None = None
        try:
            outcome = self._exchange(plain, target, is_repeatable)
            is_answered = isinstance(outcome, result.Ok) or (
                outcome.err_value.answer is not None
                and not outcome.err_value.is_not_run
            )
        finally:
            self._targets.end(target, attempt_id, started_s, is_answered)
        if isinstance(outcome, result.Err):
            plain.failed.add(target.name)
            plain.may_have_run |= not outcome.err_value.is_not_run
        return outcome

    def _exchange(
        self, plain: _PlainCall, target: snapshot.Target, is_repeatable: bool
    ) -> result.Result[at_most_once.Answer, AttemptError]:
        remaining_s = max(0.01, plain.deadline_s - self._clock.monotonic_s())
        # The pool may retry a repeatable call once on a new connection.
        limit_s = remaining_s / 2 if is_repeatable else remaining_s
        headers = {**plain.headers, "x-deadline-ms": str(int(remaining_s * 1000))}
        outcome = self._targets.get_pool(target).request(
            plain.method,
            plain.path,
            plain.body or None,
            headers,
            timeout_s=min(plain.route.timeout_s, limit_s),
            is_repeatable=is_repeatable,
        )
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            # A repeatable call may have been sent on a reused connection before that.
            is_not_run = not is_repeatable and error.stage is http_pool.Stage.CONNECT
            text = error.format_message()
            return result.Err(AttemptError(is_not_run, None, text, error.is_unsent))
        response = outcome.ok_value
        headers = proxy_headers.filter_response(response.headers)
        if response.status >= 500:
            headers.setdefault("x-run-state", types.RunState.MAY_HAVE_RUN.value)
        answer = at_most_once.Answer(response.status, headers, response.body)
        if response.status != 503:
            return result.Ok(answer)
        is_not_run = headers.get("x-run-state") == types.RunState.NOT_RUN.value
        if not is_not_run and not plain.route.idempotent:
            return result.Ok(answer)
        return result.Err(AttemptError(is_not_run, answer, "the target answered 503"))

    def _deny_retry(self, plain: _PlainCall, failure: AttemptError) -> str | None:
        """Return why a failed call is not retried, ``None`` if it is."""
        if self._clock.monotonic_s() >= plain.deadline_s:
            reason, text = "deadline", "its deadline has passed"
        elif plain.attempts >= plain.service.model.online.max_attempts:
            reason, text = "max_attempts", "no further attempt is allowed"
        elif not self._targets.has_target(plain.service, plain.failed):
            reason, text = "no_target", "there is no other target"
        elif not (failure.is_unsent or self._targets.try_retry(plain.service.name)):
            reason, text = "budget", "the retry budget is exhausted"
        else:
            return None
        metrics.RETRIES_DENIED.labels(reason).inc()
        return text

    def _make_error(
        self, plain: _PlainCall, failure: AttemptError, denied: str
    ) -> errors.ApiError:
        """Return the final error of a call without a response from a target."""
        message = f"{failure.format_message()}; {denied}"
        kind: type[errors.ApiError] = errors.Unavailable
        run_state = types.RunState.NOT_RUN
        if plain.may_have_run:
            kind, run_state = errors.TargetFailed, types.RunState.MAY_HAVE_RUN
        if self._clock.monotonic_s() >= plain.deadline_s:
            kind = errors.DeadlineExceeded
        return kind(message, run_state=run_state, retry_after_s=_RETRY_AFTER_S)


def match_route(
    routes: tuple[models.RouteModel, ...], path: str, method: str
) -> models.RouteModel:
    """Return the route with the longest prefix of the path that allows the method.

    A prefix ends at a slash: ``/tickets`` covers ``/tickets/7`` but not ``/ticketsx``.

    :raises errors.NotFound: if no route covers the path
    :raises errors.MethodNotAllowed: if no covering route allows the method
    """
    parts = path.split("/")[1:]
    if any(part in (".", "..") for part in parts) or "" in parts[:-1]:
        # The target might normalise such a path to one of another route.
        raise errors.InvalidRequest(
            "the path must not contain empty, '.' or '..' segments"
        )
    covering = [
        route
        for route in routes
        if path == route.path or path.startswith(route.path.rstrip("/") + "/")
    ]
    if not covering:
        raise errors.NotFound(f"the service has no route for {path}")
    allowing = [route for route in covering if method in route.methods]
    if not allowing:
        raise errors.MethodNotAllowed(f"{method} is not allowed on {path}")
    return max(allowing, key=lambda route: len(route.path))


def _read_key(call: app.Call) -> str:
    key = request_headers.read_idempotency_key(call.request)
    if key is None:
        raise errors.InvalidRequest(
            "this call may run only once: send an Idempotency-Key header",
            param="Idempotency-Key",
        )
    return key


def _make_store_error(error: store.StoreError) -> errors.ApiError:
    """Return the error for a call whose key could not be claimed."""
    retry_after_s = _RETRY_AFTER_S
    if isinstance(error, store.StoreOverloaded):
        retry_after_s = error.retry_after_s
    return errors.Unavailable(
        f"the call was not sent, because its key could not be claimed: {error}",
        retry_after_s=retry_after_s,
    )


def _correct_run_state(
    answer: at_most_once.Answer, may_have_run: bool
) -> at_most_once.Answer:
    """Return a target's refusal with the combined run state of all attempts."""
    if not may_have_run:
        return answer
    headers = {**answer.headers, "x-run-state": types.RunState.MAY_HAVE_RUN.value}
    return dataclasses.replace(answer, headers=headers)


def _make_response(answer: at_most_once.Answer) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(
        answer.body, status=answer.status, headers=dict(answer.headers)
    )
