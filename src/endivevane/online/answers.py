"""Encoding of the HTTP responses that the relay sends to callers."""

from __future__ import annotations

import http

from endivevane import utils
from endivevane.online import sse
from endivevane.web import app, errors

LAST_CHUNK = b"0\r\n\r\n"


def make_stream_head(request_id: str, is_chunked: bool) -> bytes:
    """Return the head of a streamed response.

    :param is_chunked: whether the caller's HTTP version supports chunked encoding
    """
    headers = {
        "Content-Type": "text/event-stream; charset=utf-8",
        "Cache-Control": "no-cache",
    }
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
    return _make_head(200, request_id, headers)


def make_whole(
    status: int,
    request_id: str,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a complete response with a JSON body."""
    fields = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    return _make_head(status, request_id, fields) + body


def make_error(error: errors.ApiError, request_id: str) -> bytes:
    """Return the complete response for an error."""
    return make_whole(
        error.status, request_id, error.encode_body(), error.make_headers()
    )


def make_error_event(error: errors.ApiError) -> bytes:
    """Return the error event for a stream whose head was already sent.

    The event contains the run state, since no header can be sent any more.
    """
    described = {**error.describe(), "run_state": error.run_state.value}
    return sse.encode_events([utils.encode_json({"error": described})])


def make_chunk(data: bytes) -> bytes:
    """Return data as one chunk of chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _make_head(status: int, request_id: str, headers: dict[str, str]) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Error"
    lines = [f"HTTP/1.1 {status} {phrase}", f"{app.REQUEST_ID_HEADER}: {request_id}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Connection: close\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1")
