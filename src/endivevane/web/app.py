"""WSGI application that routes requests to the handlers of the daemon."""

from __future__ import annotations

import dataclasses
import hashlib
import typing
from collections import abc

import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers

from endivevane import logs, metrics, types, utils
from endivevane.configuration import snapshot
from endivevane.web import errors

CHANNEL_KEY = "endivevane.channel"
REQUEST_ID_HEADER = "X-Request-Id"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request as it is passed to a handler.

    :param arguments: variables of the path
    :param owner: owner of the API key; ``None`` on public routes
    :param snapshot: configuration in force when the request arrived
    """

    request: werkzeug.wrappers.Request
    arguments: dict[str, typing.Any]
    request_id: str
    owner: snapshot.KeyOwner | None
    snapshot: snapshot.Snapshot

    @property
    def organisation(self) -> str:
        """Name of the organisation that the API key belongs to."""
        if self.owner is None:
            raise errors.AuthenticationFailed("an API key is required")
        return self.owner.organisation


Handler = abc.Callable[[Call], werkzeug.wrappers.Response]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A URL rule in werkzeug's syntax and its handler.

    :param role: role that the API key must have; ``None`` for public routes
    :param max_body_bytes: largest body; ``None`` for the daemon's default
    """

    method: str
    rule: str
    handler: Handler
    role: types.Role | None = types.Role.CALLER
    max_body_bytes: int | None = None


class Application:
    """Routes and authenticates requests, and turns errors into JSON responses.

    :param routes: all routes of the daemon
    :param get_snapshot: returns the configuration in force
    :param max_body_bytes: largest body of routes without a limit of their own
    """

    def __init__(
        self,
        routes: abc.Sequence[Route],
        get_snapshot: abc.Callable[[], snapshot.Snapshot],
        max_body_bytes: int,
    ) -> None:
        self._get_snapshot = get_snapshot
        self._max_body_bytes = max_body_bytes
        self._map = werkzeug.routing.Map(
            [
                werkzeug.routing.Rule(
                    route.rule, endpoint=route, methods=[route.method]
                )
                for route in routes
            ],
            strict_slashes=False,
            merge_slashes=False,
        )

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: abc.Callable[..., typing.Any],
    ) -> abc.Iterable[bytes]:
        """Serve one request."""
        request = werkzeug.wrappers.Request(environ)
        request_id = utils.make_id("req")
        try:
            response = self._dispatch(request, request_id)
        except errors.ApiError as error:
            response = make_error_response(error)
            self._record_refusal(request, request_id, error)
        except Exception as error:
            logs.error(
                "request_crashed",
                request_id=request_id,
                path=request.path,
                error=repr(error),
            )
            failure = errors.ApiError(
                "internal error; see the daemon's log",
                run_state=types.RunState.MAY_HAVE_RUN,
            )
            response = make_error_response(failure)
        response.headers.setdefault(REQUEST_ID_HEADER, request_id)
        return response(environ, start_response)

    def _dispatch(
        self, request: werkzeug.wrappers.Request, request_id: str
    ) -> werkzeug.wrappers.Response:
        route, arguments = self._match(request)
        limit = route.max_body_bytes or self._max_body_bytes
        if (request.content_length or 0) > limit:
            raise errors.BodyTooLarge(f"the body is larger than {limit} bytes")
        current = self._get_snapshot()
        owner = None
        if route.role is not None:
            owner = authenticate(request, current, route.role)
        return route.handler(Call(request, arguments, request_id, owner, current))

    def _match(
        self, request: werkzeug.wrappers.Request
    ) -> tuple[Route, dict[str, typing.Any]]:
        adapter = self._map.bind_to_environ(request.environ)
        try:
            endpoint, arguments = adapter.match()
        except werkzeug.exceptions.MethodNotAllowed as error:
            raise errors.MethodNotAllowed(
                f"{request.method} is not allowed on {request.path}"
            ) from error
        except werkzeug.exceptions.HTTPException as error:
            raise errors.NotFound(f"no such path: {request.path}") from error
        return typing.cast("Route", endpoint), dict(arguments)

    def _record_refusal(
        self,
        request: werkzeug.wrappers.Request,
        request_id: str,
        error: errors.ApiError,
    ) -> None:
        metrics.REFUSALS.labels(error.code, error.run_state.value).inc()
        logs.info(
            "request_refused",
            request_id=request_id,
            path=request.path,
            status=error.status,
            reason=error.code,
            run_state=error.run_state.value,
        )


def authenticate(
    request: werkzeug.wrappers.Request,
    current: snapshot.Snapshot,
    role: types.Role,
) -> snapshot.KeyOwner:
    """Return the owner of the request's API key.

    Keys are long and random, so an unsalted SHA-256 digest is stored, and the timing of
    a look-up by digest reveals nothing useful.

    :raises errors.AuthenticationFailed: when the key is missing or unknown
    :raises errors.PermissionDenied: when the key has another role
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise errors.AuthenticationFailed("send 'Authorization: Bearer <API key>'")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    owner = current.key_owners.get(digest)
    if owner is None:
        raise errors.AuthenticationFailed("the API key is not known")
    if owner.role is not role:
        raise errors.PermissionDenied(f"this call needs a key with role '{role.value}'")
    return owner


def read_json(call: Call) -> dict[str, typing.Any]:
    """Return the request body as a JSON object.

    :raises errors.InvalidRequest: when it is not one
    """
    try:
        body = utils.decode_json(call.request.get_data(cache=True))
    except ValueError as error:
        raise errors.InvalidRequest(f"the body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise errors.InvalidRequest("the body must be a JSON object")
    return body


def make_json_response(
    value: typing.Any, status: int = 200
) -> werkzeug.wrappers.Response:
    """Return a JSON response."""
    return werkzeug.wrappers.Response(
        utils.encode_json(value), status=status, content_type="application/json"
    )


def make_error_response(error: errors.ApiError) -> werkzeug.wrappers.Response:
    """Return the JSON response for an error."""
    return werkzeug.wrappers.Response(
        error.encode_body(),
        status=error.status,
        content_type="application/json",
        headers=error.make_headers(),
    )
