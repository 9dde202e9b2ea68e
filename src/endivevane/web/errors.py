"""Errors of the HTTP interface, in the JSON format of the OpenAI HTTP API."""

from __future__ import annotations

import math
import typing

from endivevane import exceptions, types, utils


class ApiError(exceptions.EndivevaneError):
    """A request was rejected or has failed.

    :param message: human-readable message that says what to do next
    :param param: name of the invalid parameter
    :param run_state: whether this HTTP request was run by a target
    :param retry_after_s: time after which a retry can succeed
    """

    status = 500
    kind = "server_error"
    code = "internal_error"

    def __init__(
        self,
        message: str,
        *,
        param: str | None = None,
        run_state: types.RunState = types.RunState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__()
        self.message = message
        self.param = param
        self.run_state = run_state
        self.retry_after_s = retry_after_s

    def format_message(self) -> str:
        """Return the human-readable message."""
        return self.message

    def encode_body(self) -> bytes:
        """Return the JSON body."""
        return utils.encode_json({"error": self.describe()})

    def describe(self) -> dict[str, typing.Any]:
        """Return the fields of the JSON error."""
        return {
            "message": self.message,
            "type": self.kind,
            "param": self.param,
            "code": self.code,
        }

    def make_headers(self) -> dict[str, str]:
        """Return the headers of the error response."""
        headers = {"X-Run-State": self.run_state.value}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, math.ceil(self.retry_after_s)))
        return headers


class InvalidRequest(ApiError):
    """The request is malformed."""

    status, kind, code = 400, "invalid_request_error", "invalid_request"


class AuthenticationFailed(ApiError):
    """The API key is missing or unknown."""

    status, kind, code = 401, "authentication_error", "invalid_api_key"


class PermissionDenied(ApiError):
    """The API key does not allow this call."""

    status, kind, code = 403, "permission_error", "permission_denied"


class NotFound(ApiError):
    """The requested resource does not exist."""

    status, kind, code = 404, "invalid_request_error", "not_found"


class ModelNotFound(NotFound):
    """No service offers the model to this organisation."""

    code = "model_not_found"


class MethodNotAllowed(ApiError):
    """The path exists but not for this method."""

    status, kind, code = 405, "invalid_request_error", "method_not_allowed"


class Conflict(ApiError):
    """The request conflicts with the state of the resource."""

    status, kind, code = 409, "invalid_request_error", "conflict"


class Expired(ApiError):
    """The resource existed and was deleted at the end of its retention period."""

    status, kind, code = 410, "invalid_request_error", "expired"


class JobExpired(Expired):
    """The results of the batch are no longer kept."""

    code = "job_expired"


class FileExpired(Expired):
    """The input file is no longer kept."""

    code = "file_expired"


class OutcomeExpired(Expired):
    """The outcome of the call is no longer kept."""

    code = "outcome_expired"


class BodyTooLarge(ApiError):
    """The body is larger than the limit."""

    status, kind, code = 413, "invalid_request_error", "body_too_large"


class Overloaded(ApiError):
    """The request can't be served in time."""

    status, kind, code = 429, "overloaded_error", "overloaded"


class Quarantined(ApiError):
    """Requests like this one have crashed targets."""

    status, kind, code = 422, "invalid_request_error", "request_quarantined"


class Unavailable(ApiError):
    """No target or no store can serve the request now."""

    status, kind, code = 503, "service_unavailable_error", "unavailable"


class TargetFailed(ApiError):
    """All attempts to run the request have failed."""

    status, kind, code = 502, "server_error", "target_failed"


class DeadlineExceeded(ApiError):
    """The deadline of the request has passed."""

    status, kind, code = 504, "timeout_error", "deadline_exceeded"
