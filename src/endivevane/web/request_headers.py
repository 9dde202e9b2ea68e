"""Parsing of headers that are common to all kinds of requests."""

from __future__ import annotations

import werkzeug.wrappers

from endivevane.web import errors

_MAX_DEADLINE_MS = 86_400_000
_MAX_KEY_LENGTH = 255


def read_deadline_s(request: werkzeug.wrappers.Request, default_s: float) -> float:
    """Return the time until the deadline, from ``X-Deadline-Ms`` or a default.

    :raises errors.ApiError: when the header is invalid or the deadline has passed
    """
    text = request.headers.get("X-Deadline-Ms")
    if text is None:
        return default_s
    digits = text.strip()
    is_negative = digits.startswith("-")
    digits = digits.removeprefix("-")
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 18):
        raise errors.InvalidRequest(
            "X-Deadline-Ms must be a whole number of milliseconds from now",
            param="X-Deadline-Ms",
        )
    deadline_ms = int(digits)
    if is_negative or deadline_ms == 0:
        raise errors.DeadlineExceeded(
            "the deadline in X-Deadline-Ms has passed", param="X-Deadline-Ms"
        )
    if deadline_ms > _MAX_DEADLINE_MS:
        raise errors.InvalidRequest(
            f"X-Deadline-Ms is larger than {_MAX_DEADLINE_MS}", param="X-Deadline-Ms"
        )
    return deadline_ms / 1000


def read_idempotency_key(request: werkzeug.wrappers.Request) -> str | None:
    """Return ``Idempotency-Key``; ``None`` when it is missing.

    :raises errors.InvalidRequest: when it is empty, too long or not printable
    """
    key = request.headers.get("Idempotency-Key")
    if key is None:
        return None
    key = key.strip()
    if not 0 < len(key) <= _MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise errors.InvalidRequest(
            f"Idempotency-Key must have 1 to {_MAX_KEY_LENGTH} printable ASCII "
            "characters",
            param="Idempotency-Key",
        )
    return key
