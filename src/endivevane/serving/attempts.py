"""State of an online request over all its attempts."""

from __future__ import annotations

import dataclasses
import enum
from collections import abc

from endivevane.serving import model

# Timeout of a request when neither the client nor the route sets one.
_DEFAULT_TIMEOUT_S = 30.0
# A request with at least this share of the route's timeout left is not a retry.
_FIRST_REQUEST_SHARE = 0.95
# Attempts that did not run the request are bounded too, in case every target keeps
# refusing it.
_MAX_SENDS = 12
# Targets that may end under a request, whatever they had written of the answer, before
# it is sent once more and then given up. A sound stream may meet some ends that are due
# to others.
_MAX_ENDED_RUNS = 3


class Outcome(enum.StrEnum):
    """How a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CLIENT_LEFT = "client_left"


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request.

    :ivar version: version of the configuration that defines the route
    :ivar idle_deadline_s: monotonic time at which the client gives up unless an event
        arrives
    :ivar client_may_retry: whether the client can retry after a refusal
    :ivar ran_on: targets that may have run the request
    :ivar ended_targets: targets of ``ran_on`` that are known to have ended
    :ivar refused_by: targets that are not tried again before all others
    :ivar answered_refusals: targets that have answered with a refusal
    :ivar last_event_id: last event that the client has, or says that it has
    :ivar slot_granted_s: monotonic time at which the latest attempt was granted its
        slot, 0 before the first one
    :ivar coordinator: daemon that granted that slot, empty for this daemon
    :ivar stream: id of the attempt that brings the stream's first event
    :ivar stream_version: software version that the stream belongs to, ``None`` before
        its first event
    :ivar runs_without_event: consecutive runs that returned no event
    :ivar broken_runs: runs of targets whose side broke off an attempt, in order
    :ivar causes: why attempts failed
    :ivar priority: 0 is the most urgent
    """

    request_id: str
    version: int
    route: model.Route
    service: str
    objective_s: float
    deadline_s: float
    last_event_id: bytes
    idle_deadline_s: float
    client_may_retry: bool
    ran_on: set[str] = dataclasses.field(default_factory=set)
    ended_targets: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    answered_refusals: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    runs_without_event: int = 0
    broken_runs: list[str] = dataclasses.field(default_factory=list)
    causes: list[str] = dataclasses.field(default_factory=list)
    first_event_s: float | None = None
    slot_granted_s: float = 0.0
    coordinator: str = ""
    delivered_events: int = 0
    stream: str = ""
    stream_version: str | None = None
    priority: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return bool(self.ran_on)

    @property
    def excluded(self) -> frozenset[str]:
        """The targets that have run or refused the request."""
        return frozenset(self.refused_by | self.ran_on)

    def find_allowed_targets(self) -> frozenset[str] | None:
        """Return the targets that the request may be sent to, ``None`` for any."""
        if len(self.ran_on - self.ended_targets) < self.route.max_attempts:
            return None
        return frozenset(self.ran_on - self.ended_targets)

    def may_back_up(self, is_response_started: bool) -> bool:
        """Return whether another target may run the request beside a silent one.

        :param is_response_started: whether the client has a part of a response
        """
        return self.may_retry(is_response_started) and (
            self.find_allowed_targets() is None
        )

    def has_met_many_ends(self, has_ended: abc.Callable[[str], bool]) -> bool:
        """Return whether so many targets have ended that this request may be why.

        The latest one is left out, since its end may not be known yet.

        :param has_ended: tells whether a run of a target has ended
        """
        return sum(map(has_ended, set(self.broken_runs[:-1]))) >= _MAX_ENDED_RUNS

    def may_retry(self, is_response_started: bool) -> bool:
        """Return whether another attempt is allowed.

        :param is_response_started: whether the client has a part of a response
        """
        is_stream = self.route.kind is model.RouteKind.STREAMING
        if is_response_started and not is_stream:
            # Parts of two response bodies must not be joined.
            return False
        if self.sends >= _MAX_SENDS:
            return False
        if not self.may_have_run:
            return True
        if not self.route.is_idempotent:
            return False
        if self.runs_without_event >= self.route.max_attempts:
            return False
        allowed = self.find_allowed_targets()
        return allowed is None or bool(allowed)


def get_stream(request: model.ClientRequest, route: model.Route) -> str:
    """Return the attempt that brings the first event of a request's stream.

    It is empty where the client resumes a stream without naming it.
    """
    if route.has_resumable_streams and has_events(request):
        return request.resumed_attempt.decode("latin-1")
    return request.attempt_id.decode("latin-1")


def has_events(request: model.ClientRequest) -> bool:
    """Return whether the client already has events of the stream."""
    return is_event_id(request.last_event_id)


def is_event_id(last_event_id: bytes) -> bool:
    """Return whether the id of a last event names one."""
    return last_event_id.strip() not in (b"", b"0")


def begin(
    request: model.ClientRequest, route: model.Route, service: str, version: int
) -> Progress:
    """Return the state of a request that has just arrived.

    :param version: version of the configuration that defines the route
    """
    allowed_s = route.timeout_s or _DEFAULT_TIMEOUT_S
    deadline_s = request.received_s + allowed_s
    if request.deadline_s is not None:
        deadline_s = min(deadline_s, request.deadline_s)
    return Progress(
        request_id=request.attempt_id.decode("latin-1"),
        version=version,
        route=route,
        service=service,
        objective_s=request.received_s + route.objective_s,
        deadline_s=deadline_s,
        last_event_id=request.last_event_id,
        idle_deadline_s=request.received_s + route.stream_idle_timeout_s,
        client_may_retry=_is_first_request(request, route),
        stream=get_stream(request, route),
        priority=_find_priority(request, route),
    )


def _find_priority(request: model.ClientRequest, route: model.Route) -> int:
    """Return the priority of a request; its organisation's goes before the route's."""
    organisation = request.organisation
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def _is_first_request(request: model.ClientRequest, route: model.Route) -> bool:
    """Return whether the client has time to retry after a refusal.

    A client has one deadline for all its tries, so a retry has less time left.
    """
    if request.deadline_s is None or request.last_event_id:
        return False
    left_s = request.deadline_s - request.received_s
    return left_s >= _FIRST_REQUEST_SHARE * (route.timeout_s or _DEFAULT_TIMEOUT_S)
