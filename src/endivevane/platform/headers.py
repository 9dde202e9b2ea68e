"""Headers of requests and responses on the platform."""

from __future__ import annotations

import math
import re
from collections import abc

from endivevane import logs
from endivevane.organisations import keys
from endivevane.serving import model

# Id that the client gives to an attempt; targets echo it.
_ATTEMPT_ID = b"attempt-id"
# Milliseconds that the client still waits.
_DEADLINE = b"deadline-ms"
# Incarnation that the call is for; any other one responds with status 421.
_EXPECTED_INSTANCE = b"expect-instance"
_LAST_EVENT_ID = b"last-event-id"
# Attempt of the client that brought the first event of the stream that it resumes.
_RESUMED_ATTEMPT = b"resumes"
# Signature of a target over its response.
_SIGNATURE = b"response-signature"
# Present if the target has not run the request.
_NOT_EXECUTED = b"not-executed"
# "1" in all responses of a draining target.
_DRAINING = b"server-leaving"
# Requests a second that the target takes from all daemons together.
_RATE_LIMIT = b"server-limit"
# Milliseconds for which a read may wait for news (long poll).
_WAIT = b"wait-ms"
# "Token KEY"; targets never get it.
_AUTHORIZATION = b"authorization"
_KEY_SCHEME = b"token"
# Name of the organisation, which targets trust.
_ORGANISATION = b"tenant"
# Parts of a prompt in order, as comma-separated ID:TOKENS; the last one belongs to the
# request or its session.
_PROMPT_PREFIX = b"prompt-prefix"

_WRONG_TARGET_STATUS = 421
# No request and no idle connection lasts longer.
_MAX_TIME_S = 86_400.0
# Above the requests that a target can take in a second.
_MAX_RATE_PER_S = 1e9
_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that the daemon sets itself on each call.
_REPLACED_HEADERS = frozenset((_DEADLINE, _EXPECTED_INSTANCE, _LAST_EVENT_ID))
# Where there are organisations, clients say nothing of these to targets.
_IDENTITY_HEADERS = frozenset((_AUTHORIZATION, _ORGANISATION))
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")

RawHeaders = abc.Iterable[tuple[bytes, bytes]]


def _drop_hop_by_hop_headers(raw: abc.Sequence[tuple[bytes, bytes]]) -> model.Headers:
    """Return the headers without those that apply to a single connection."""
    listed = {
        token.strip().lower()
        for name, value in raw
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP_HEADERS | listed
    return tuple((name, value) for name, value in raw if name.lower() not in dropped)


def _join_values(raw: RawHeaders, wanted: bytes) -> bytes:
    """Return the values of a header that may be repeated, as HTTP combines them.

    A head that names two attempts thus belongs to neither of them.
    """
    return b", ".join(value for name, value in raw if name.lower() == wanted)


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Return a header's milliseconds as seconds, ``None`` if it is not a number."""
    if value is None:
        return None
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return min(milliseconds / 1000.0, _MAX_TIME_S) if milliseconds >= 0 else None


def _parse_rate_limit(value: bytes | None) -> model.RateStatement:
    """Return what a response says of the target's rate limit."""
    if value is None:
        return model.RateStatement()
    try:
        rate_per_s = float(value)
    except ValueError:
        rate_per_s = math.nan
    if 0 <= rate_per_s <= _MAX_RATE_PER_S:
        return model.RateStatement(rate_per_s)
    logs.limited_info("rate_limit_unusable", value=value.decode("latin-1"))
    return model.RateStatement(is_usable=False)


def _parse_prompt_segments(value: bytes) -> tuple[str, ...]:
    """Return the ids of a prompt's segments that requests may share, in order."""
    ids = [part.partition(b":")[0].strip() for part in value.split(b",")]
    return tuple(segment.decode("latin-1") for segment in ids[:-1] if segment)


def _find_key_digest(raw: RawHeaders) -> bytes:
    """Return the digest of a client's key, empty if it sent none.

    Several such headers make one that no key matches.
    """
    credentials = _join_values(raw, _AUTHORIZATION).strip()
    if not credentials:
        return b""
    scheme, _, key = credentials.partition(b" ")
    # What another scheme carries is no key, but is unknown rather than missing.
    is_key = scheme.lower() == _KEY_SCHEME
    return keys.hash_key(key.strip() if is_key else b"")


class HeaderCodec:
    """Translates between headers on the wire and types of the serving package."""

    def decode_request(
        self,
        method: bytes,
        path: bytes,
        raw: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        received_s: float,
    ) -> model.ClientRequest:
        """Return a client's request."""
        values = {name.lower(): value for name, value in raw}
        timeout_s = _parse_milliseconds(values.get(_DEADLINE))
        return model.ClientRequest(
            method=method,
            host=values.get(b"host", b"").decode("latin-1"),
            path=path.decode("latin-1"),
            headers=_drop_hop_by_hop_headers(raw),
            body=body,
            attempt_id=values.get(_ATTEMPT_ID, b""),
            received_s=received_s,
            deadline_s=None if timeout_s is None else received_s + timeout_s,
            last_event_id=values.get(_LAST_EVENT_ID, b""),
            wait_s=_parse_milliseconds(values.get(_WAIT)) or 0.0,
            prompt_segments=_parse_prompt_segments(values.get(_PROMPT_PREFIX, b"")),
            resumed_attempt=values.get(_RESUMED_ATTEMPT, b"").strip(),
            key_digest=_find_key_digest(raw),
        )

    def encode_call(
        self, call: model.TargetCall, target: model.Target
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call to a target."""
        dropped = _REPLACED_HEADERS
        if call.organisation is not None:
            dropped = dropped | _IDENTITY_HEADERS
        headers = [
            (name, value) for name, value in call.headers if name.lower() not in dropped
        ]
        present = {name.lower() for name, _ in headers}
        if _ATTEMPT_ID not in present and call.attempt_id:
            headers.append((b"Attempt-Id", call.attempt_id))
        if call.time_left_s is not None:
            milliseconds = max(1, int(call.time_left_s * 1000))
            headers.append((b"Deadline-Ms", str(milliseconds).encode()))
        headers.append((b"Expect-Instance", target.target_id.encode()))
        if call.organisation:
            headers.append((b"Tenant", call.organisation.encode("latin-1")))
        if call.last_event_id:
            headers.append((b"Last-Event-Id", call.last_event_id))
        headers.append((b"Content-Length", str(len(call.body)).encode()))
        return headers

    def decode_reply(
        self, status: int, reason: bytes, raw: abc.Sequence[tuple[bytes, bytes]]
    ) -> model.TargetReply:
        """Return the head of a target's response."""
        values = {name.lower(): value for name, value in raw}
        has_wrong_target_status = status == _WRONG_TARGET_STATUS
        match = _KEEP_ALIVE_TIMEOUT.search(values.get(b"keep-alive", b""))
        return model.TargetReply(
            status=status,
            reason=reason,
            headers=_drop_hop_by_hop_headers(raw),
            is_not_run=has_wrong_target_status or _NOT_EXECUTED in values,
            is_wrong_target=has_wrong_target_status,
            attempt_id=_join_values(raw, _ATTEMPT_ID),
            is_signed=_SIGNATURE in values,
            idle_timeout_s=None
            if match is None
            else min(float(match.group(1)), _MAX_TIME_S),
            is_draining=values.get(_DRAINING, b"0").strip() not in (b"", b"0"),
            rate=_parse_rate_limit(values.get(_RATE_LIMIT)),
        )

    def encode_item_headers(
        self, host: str, headers: abc.Mapping[str, str]
    ) -> model.Headers:
        """Return the headers of a batch item's request, without the attempt id."""
        raw = [(b"Host", host.encode("latin-1"))]
        raw.extend(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
            if name.lower() != "host"
        )
        return _drop_hop_by_hop_headers(raw)

    def decode_item_segments(self, headers: abc.Mapping[str, str]) -> tuple[str, ...]:
        """Return the shared prompt segments of a batch item's request."""
        for name, value in headers.items():
            if name.lower().encode("latin-1", "replace") == _PROMPT_PREFIX:
                return _parse_prompt_segments(value.encode("latin-1", "replace"))
        return ()
