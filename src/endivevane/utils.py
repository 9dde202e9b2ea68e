"""Helpers without a better home."""

from __future__ import annotations

import hashlib
import secrets
import typing

import orjson


def make_id(prefix: str) -> str:
    """Return a random identifier such as ``req-4f0c...``.

    :param prefix: short word that says what the identifier names
    """
    return f"{prefix}-{secrets.token_hex(12)}"


def digest_text(*parts: str) -> str:
    """Return a SHA-256 digest in hex over length-prefixed parts.

    The length prefix keeps ``("ab", "c")`` and ``("a", "bc")`` apart.
    """
    state = hashlib.sha256()
    for part in parts:
        data = part.encode()
        state.update(str(len(data)).encode() + b":" + data)
    return state.hexdigest()


def encode_json(value: typing.Any) -> bytes:
    """Encode a value as JSON with sorted keys."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def decode_json(data: bytes) -> typing.Any:
    """Decode JSON.

    :raises ValueError: when the data is not valid JSON in UTF-8
    """
    return orjson.loads(data)
