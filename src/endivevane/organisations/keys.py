"""Digests of keys, so that neither logs nor dumps of the memory show a key."""

from __future__ import annotations

import hashlib
import secrets

_DIGEST_BYTES = 16
# Digests stay within the process, so that each process may have its own.
_SECRET = secrets.token_bytes(_DIGEST_BYTES)


def hash_key(key: bytes) -> bytes:
    """Return the digest of a key, which differs from one process to the next."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES, key=_SECRET).digest()
