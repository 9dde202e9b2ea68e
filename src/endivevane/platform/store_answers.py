"""Decoding of the store's answers, and of those that daemons give in its place."""

from __future__ import annotations

import base64
import gzip
import io
import typing

from endivevane import exceptions, json_fields, logs, metrics
from endivevane.platform import copied_feed
from endivevane.serving import failures, http_client, store

# Limit of a decompressed answer.
_MAX_BODY_BYTES = 64 << 20
# Larger answers are logged; those of most calls are below 2 kB.
_LARGE_ANSWER_BYTES = 64 * 1024


def decompress(response: http_client.HttpResponse) -> bytes:
    """Return the body of a response, which a daemon may have compressed.

    :raises ValueError: when it is too large
    :raises OSError, EOFError, zlib.error: when it is not whole
    """
    if (b"content-encoding", b"gzip") not in response.headers:
        return response.body
    with gzip.GzipFile(fileobj=io.BytesIO(response.body)) as file:
        body = file.read(_MAX_BODY_BYTES + 1)
    if len(body) > _MAX_BODY_BYTES:
        raise ValueError("body too large")
    return body


def record_answer(
    name: str,
    path: str,
    endpoint: http_client.Endpoint,
    response: http_client.HttpResponse,
    took_s: float,
) -> None:
    """Record the size and the time of an answer."""
    source = "daemon" if endpoint.is_relay else "store"
    size = len(response.body)
    metrics.STORE_ANSWER_BYTES.labels(name, source).inc(size)
    metrics.STORE_ANSWER_SECONDS.labels(name, source).observe(took_s)
    if size >= _LARGE_ANSWER_BYTES:
        logs.limited_info(
            "store_answer_large",
            path=path[:100],
            source=source,
            status=response.status,
            bytes=size,
            took_ms=int(took_s * 1000),
        )


def decode_version(name: str, content: dict[str, typing.Any]) -> int:
    """Return the version of the store that a response is as of.

    :raises failures.StoreUncertain: when it has none
    """
    version = content.get("ver")
    if not isinstance(version, int) or isinstance(version, bool):
        raise failures.StoreUncertain(name, "no version")
    return version


def decode_age_s(name: str, content: dict[str, typing.Any]) -> float:
    """Return the age of rows that a relay answers from its memory, else 0.

    :raises failures.StoreUncertain: when it is malformed
    """
    try:
        return json_fields.read_age_s(content.get(copied_feed.AGE_FIELD, 0.0))
    except ValueError as error:
        raise failures.StoreUncertain(name, f"age of the rows: {error}") from error


def decode_rows(content: dict[str, typing.Any]) -> list[store.Row]:
    """Decode the rows of a response; those without a key or a version are left out."""
    entries = content.get("rows")
    rows = []
    for entry in entries if isinstance(entries, list) else ():
        try:
            rows.append(_decode_row(entry))
        except exceptions.ProtocolError as error:
            logs.limited_info("store_row_unusable", cause=error)
    return rows


def _decode_row(entry: typing.Any) -> store.Row:
    """Decode a row; a value that is not base64 becomes empty.

    :raises exceptions.ProtocolError: when it has no key or no version
    """
    if not isinstance(entry, dict):
        raise exceptions.ProtocolError("the store", "a row is no object")
    version = entry.get("ver", 0)
    table, partition = entry.get("table", ""), entry.get("part", "")
    key = entry.get("key")
    is_named = all(isinstance(name, str) for name in (table, partition, key))
    if not is_named or not isinstance(version, int) or isinstance(version, bool):
        raise exceptions.ProtocolError("the store", "a row has no key or version")
    value: bytes | None = None
    if not entry.get("deleted") and entry.get("value") is not None:
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (ValueError, TypeError):
            # Written by another program; the decoder of the row reports it.
            value = b""
    return store.Row(store.RowKey(table, partition, str(key)), value, version)
