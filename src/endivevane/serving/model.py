"""Data that the serving tasks share: configuration, targets and requests."""

from __future__ import annotations

import dataclasses
import enum
from collections import abc


class RouteKind(enum.StrEnum):
    """How a route's requests may be retried, and the form of its responses."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer of the operator, on whose behalf clients send requests.

    :param name: empty for clients without a key
    :param priority: goes before the route's, 0 is the most urgent; ``None`` for the
        route's
    :param rate_per_s: requests a second over all daemons, 0 for no limit
    :param burst: requests that may come at once beyond the rate
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether its requests are limited."""
        return bool(self.rate_per_s or self.burst)


# The client of a public route, which needs no key.
ANONYMOUS = Organisation("")


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    :param weight: share in any unit, relative to the other services of the route
    """

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Routing and limits of the requests of a host and path prefix.

    :param prefix: path prefix that begins and ends with a slash
    :param services: at least one
    :param timeout_s: longest time that a request may take
    :param objective_s: latency objective for a response, or for the first event of a
        stream
    :param priority: 0 is the most urgent
    :param max_attempts: targets on which one request may run
    :param is_resumable: whether a stream may be resumed on another target
    :param event_gap_s: objective for the longest time between events of a stream
    :param completion_s: time after submission at which a batch job is due
    :param retention_s: time after submission at which an item may be abandoned
    :param stream_idle_timeout_s: time without an event after which clients abandon
        a stream
    :param token_quota: maximum tokens of a batch route that may wait, 0 for no limit;
        each organisation has a quota of its own
    :param is_public: whether clients need no key
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    is_resumable: bool = False
    event_gap_s: float = 0.0
    completion_s: float = 0.0
    retention_s: float = 0.0
    stream_idle_timeout_s: float = float("inf")
    token_quota: int = 0
    is_public: bool = False

    @property
    def has_resumable_streams(self) -> bool:
        """Whether its responses are streams that may go on at another target."""
        return self.kind is RouteKind.STREAMING and self.is_resumable

    def allows(self, service: str) -> bool:
        """Whether a service gets a share of the requests."""
        return any(item.name == service and item.weight > 0 for item in self.services)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind in (RouteKind.SAFE, RouteKind.BATCH)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as the operator declares it.

    :param max_connections: connections that a target accepts from all daemons
    :param is_engine: whether its targets generate tokens
    """

    name: str
    max_connections: int
    is_engine: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits for clients."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A version of the operator's configuration.

    :param organisations: by name; empty where clients need no keys
    :param key_holders: names of organisations by the digests of their keys
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    organisations: abc.Mapping[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    key_holders: abc.Mapping[bytes, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An incarnation of a target as it registered itself.

    :param target_id: identifies this incarnation only
    :param is_draining: whether it asked for no more work
    :param started_ms: Unix time of its start, 0 if not given
    :param version: version of its software, empty if not given
    """

    target_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    is_draining: bool
    started_ms: int = 0
    version: str = ""

    @property
    def run_key(self) -> str:
        """What identifies one run of the target, which may keep its id."""
        return f"{self.target_id}/{self.started_ms}"


Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """A request as it goes to a target.

    :param path: path and query, as the client sent them
    :param headers: end-to-end headers, without those of the connection
    :param attempt_id: identifies the client's attempt, empty if not given
    :param time_left_s: how long the target may take, ``None`` for no limit
    :param last_event_id: event after which a stream resumes, empty for its start
    :param stall_timeout_s: time without a complete event, even if bytes arrive, after
        which a call that can be resumed elsewhere is aborted
    :param was_refused: whether the target has refused the same attempt before; the call
        then needs a new connection, since a copy of that refusal on one of the kept
        connections could not be told from a new refusal
    :param organisation: name of the organisation that the target is told, empty for
        none; ``None`` where there are no organisations and headers pass as they came
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    attempt_id: bytes
    time_left_s: float | None = None
    last_event_id: bytes = b""
    stall_timeout_s: float = float("inf")
    was_refused: bool = False
    organisation: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateStatement:
    """What one response says of its target's rate limit.

    :param limit_per_s: requests a second that the target takes from all daemons
        together, ``None`` for any number
    :param is_usable: whether the response says anything that can be understood
    """

    limit_per_s: float | None = None
    is_usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReply:
    """The head of a target's response.

    :param headers: end-to-end headers, without those of the connection
    :param is_not_run: whether the target states that it did not run the request
    :param is_wrong_target: whether another incarnation has the address
    :param attempt_id: identifies the answered attempt, empty if not given
    :param is_signed: whether the response carries the target's signature
    :param idle_timeout_s: how long the connection may stay idle, ``None`` if not
        given
    :param is_draining: whether the target says that it drains
    :param rate: what it says of its rate limit
    """

    status: int
    reason: bytes
    headers: Headers
    is_not_run: bool
    is_wrong_target: bool
    attempt_id: bytes
    is_signed: bool
    idle_timeout_s: float | None
    is_draining: bool = False
    rate: RateStatement = dataclasses.field(default_factory=RateStatement)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request of a client.

    :param headers: end-to-end headers, without those of the connection
    :param received_s: monotonic time of arrival
    :param deadline_s: monotonic time until which the client waits, ``None`` if not
        given
    :param wait_s: longest time to hold the response until there is news (long poll)
    :param prompt_segments: ids of the prompt's segments, in order, without the last
        one, which no other request shares
    :param resumed_attempt: the attempt that brought the first event of the stream that
        the client resumes, empty if not given
    :param key_digest: digest of the client's key, empty if it sent none
    :param organisation: whose request it is, ``None`` until it is identified and where
        there are no organisations
    """

    method: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    attempt_id: bytes
    received_s: float
    deadline_s: float | None
    last_event_id: bytes = b""
    wait_s: float = 0.0
    prompt_segments: tuple[str, ...] = ()
    resumed_attempt: bytes = b""
    key_digest: bytes = b""
    organisation: Organisation | None = None

    @property
    def organisation_name(self) -> str:
        """Name of its organisation, empty for none."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def told_organisation(self) -> str | None:
        """The organisation that targets are told, ``None`` for unchanged headers."""
        return None if self.organisation is None else self.organisation.name
