"""What has happened to an online request, over all its attempts."""

from __future__ import annotations

import dataclasses
import enum

from endivevane.serving import model

# Time limit of a request whose client and route name none.
_DEFAULT_LIMIT_S = 30.0
# A client with at least this share of the route's time left has not tried before.
_FIRST_TRY_SHARE = 0.95


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
    """What has happened to a request so far.

    :ivar version: configuration version that the route is from
    :ivar patience_until_s: monotonic time at which the client gives up for silence
    :ivar may_return: whether the client comes again after a refusal
    :ivar ran_on: targets that may have run it
    :ivar gone: those of them that are known to have ended
    :ivar last_event_id: last event that the client has, or that it said it has
    :ivar slot_granted_s: monotonic time at which the current attempt got its place, 0
        before the first one
    :ivar coordinator: daemon that gave the current place, empty if this one did
    :ivar fruitless: runs in a row that brought no event
    :ivar causes: why attempts failed
    """

    request_id: str
    version: int
    route: model.Route
    service: str
    objective_s: float
    deadline_s: float
    last_event_id: bytes
    patience_until_s: float
    may_return: bool
    ran_on: set[str] = dataclasses.field(default_factory=set)
    gone: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    fruitless: int = 0
    causes: list[str] = dataclasses.field(default_factory=list)
    first_event_s: float | None = None
    slot_granted_s: float = 0.0
    coordinator: str = ""
    delivered: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return bool(self.ran_on)

    def list_allowed(self) -> frozenset[str] | None:
        """Return the targets that it may go to, ``None`` for any."""
        if len(self.ran_on - self.gone) < self.route.max_attempts:
            return None
        return frozenset(self.ran_on - self.gone)


def begin(
    request: model.ClientRequest, route: model.Route, service: str, version: int
) -> Progress:
    """Return the progress of a request that has just come.

    :param version: configuration version that the route is from
    """
    limit_s = route.timeout_s or _DEFAULT_LIMIT_S
    deadline_s = request.received_s + limit_s
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
        patience_until_s=request.received_s + route.stream_idle_timeout_s,
        may_return=_is_first_try(request, route),
    )


def _is_first_try(request: model.ClientRequest, route: model.Route) -> bool:
    """Whether a client has most of its time left, so that it can come again.

    Clients have the same time for all their tries; one that came back has less.
    """
    if request.deadline_s is None or request.last_event_id:
        return False
    left_s = request.deadline_s - request.received_s
    return left_s >= _FIRST_TRY_SHARE * (route.timeout_s or _DEFAULT_LIMIT_S)
