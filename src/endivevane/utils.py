"""Identifiers, digests and JSON encoding."""

from __future__ import annotations

import hashlib
import secrets
import typing

import orjson


def make_id(prefix: str) -> str:
    """Return a random identifier such as ``req-4f0c...``.

    :param prefix: kind of object that the identifier names
    """
    return f"{prefix}-{secrets.token_hex(12)}"


def digest_text(*parts: str) -> str:
    """Return the hexadecimal SHA-256 digest of length-prefixed parts.

    The length prefixes give ``("ab", "c")`` and ``("a", "bc")`` different digests.
    """
    hasher = hashlib.sha256()
    for part in parts:
        data = part.encode()
        hasher.update(str(len(data)).encode() + b":" + data)
    return hasher.hexdigest()


def encode_json(value: typing.Any) -> bytes:
    """Encode a value as JSON with sorted keys."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def decode_json(data: bytes) -> typing.Any:
    """Decode JSON.

    :raises ValueError: if the data is not valid JSON in UTF-8
    """
    return orjson.loads(data)
