"""Headers of requests and answers on the platform."""

from __future__ import annotations

import re
from collections import abc

from endivevane.serving import model

# The client's name for one attempt; targets echo it.
_ATTEMPT = b"attempt-id"
# Milliseconds for which the client still waits.
_TIME_LEFT = b"deadline-ms"
# The incarnation that must answer; any other one says that it is not meant.
_EXPECTED_TARGET = b"expect-instance"
_LAST_EVENT = b"last-event-id"
# A target's signature over its answer.
_SIGNATURE = b"response-signature"
# Present when the target did not run the request.
_NOT_RUN = b"not-executed"
# "1" in all answers of a target that leaves.
_LEAVING = b"server-leaving"
# Milliseconds for which the answer to a read may be kept back.
_WAIT = b"wait-ms"

_OTHER_TARGET_STATUS = 421
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Headers that the daemon writes anew on each call.
_REPLACED_HEADERS = frozenset((_TIME_LEFT, _EXPECTED_TARGET, _LAST_EVENT))
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")

RawHeaders = abc.Iterable[tuple[bytes, bytes]]


def _drop_connection_headers(raw: abc.Sequence[tuple[bytes, bytes]]) -> model.Headers:
    """Return the headers without those that concern only one connection."""
    named = {
        token.strip().lower()
        for name, value in raw
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _CONNECTION_HEADERS | named
    return tuple((name, value) for name, value in raw if name.lower() not in dropped)


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Return a header's milliseconds as seconds, ``None`` if it is not a number."""
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000.0 if milliseconds >= 0 else None


class HeaderCodec:
    """Translates between headers on the wire and the types of the serving tasks."""

    def decode_request(
        self,
        method: bytes,
        path: bytes,
        raw: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        received_s: float,
    ) -> model.ClientRequest:
        """Return a client's request."""
        found = {name.lower(): value for name, value in raw}
        limit_s = _parse_milliseconds(found.get(_TIME_LEFT))
        return model.ClientRequest(
            method=method,
            host=found.get(b"host", b"").decode("latin-1"),
            path=path.decode("latin-1"),
            headers=_drop_connection_headers(raw),
            body=body,
            attempt_id=found.get(_ATTEMPT, b""),
            received_s=received_s,
            deadline_s=None if limit_s is None else received_s + limit_s,
            last_event_id=found.get(_LAST_EVENT, b""),
            wait_s=_parse_milliseconds(found.get(_WAIT)) or 0.0,
        )

    def encode_call(
        self, call: model.TargetCall, target: model.Target
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call to a target."""
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _REPLACED_HEADERS
        ]
        present = {name.lower() for name, _ in headers}
        if _ATTEMPT not in present and call.attempt_id:
            headers.append((b"Attempt-Id", call.attempt_id))
        if call.time_left_s is not None:
            milliseconds = max(1, int(call.time_left_s * 1000))
            headers.append((b"Deadline-Ms", str(milliseconds).encode()))
        headers.append((b"Expect-Instance", target.target_id.encode()))
        if call.last_event_id:
            headers.append((b"Last-Event-Id", call.last_event_id))
        headers.append((b"Content-Length", str(len(call.body)).encode()))
        return headers

    def decode_reply(
        self, status: int, reason: bytes, raw: abc.Sequence[tuple[bytes, bytes]]
    ) -> model.TargetReply:
        """Return the head of a target's answer."""
        found = {name.lower(): value for name, value in raw}
        is_other_target = status == _OTHER_TARGET_STATUS
        match = _KEEP_ALIVE_TIMEOUT.search(found.get(b"keep-alive", b""))
        return model.TargetReply(
            status=status,
            reason=reason,
            headers=_drop_connection_headers(raw),
            is_not_run=is_other_target or _NOT_RUN in found,
            is_wrong_target=is_other_target,
            attempt_id=found.get(_ATTEMPT, b""),
            is_signed=_SIGNATURE in found,
            idle_timeout_s=None if match is None else float(match.group(1)),
            is_draining=found.get(_LEAVING, b"0").strip() not in (b"", b"0"),
        )

    def encode_item_headers(
        self, host: str, headers: abc.Mapping[str, str]
    ) -> model.Headers:
        """Return the headers of a batch item's request, without its attempt."""
        raw = [(b"Host", host.encode("latin-1"))]
        raw.extend(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
            if name.lower() != "host"
        )
        return _drop_connection_headers(raw)
