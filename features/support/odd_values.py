"""JSON texts that no sound writer puts into a field, and feeds that read them."""

import asyncio
import contextlib
import json

from endivevane.serving import store
from standins import replica

_DEPTH = 100_000
_FEED_S = 5.0

# Neither a text of moderate length nor a number in any usual range.
ODD_VALUES = {
    "nested lists": b"[" * _DEPTH + b"]" * _DEPTH,
    "nested objects": b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH,
    "401 digits": b"9" * 401,
    "5,000 digits": b"9" * 5_000,
    "1e400": b"1e400",
    "NaN": b"NaN",
    "Infinity": b"Infinity",
    "-1": b"-1",
    "2**63": b"%d" % 2**63,
    "2**64": b"%d" % 2**64,
    "true": b"true",
    "null": b"null",
    "a lone surrogate": b'"\\ud800"',
    "a NUL": b'"a\\u0000b"',
    "a line break": b'"a\\r\\nb: c"',
    "invalid UTF-8": b'"\xff\xfe"',
    "an empty list": b"[]",
    "an empty object": b"{}",
    "an empty text": b'""',
    "a long text": b'"' + b"x" * 100_000 + b'"',
}


def dump_with(fields, name, odd):
    """Return an object, or a list by index, in which one field is an odd text."""
    if isinstance(fields, dict):
        pairs = [
            json.dumps(key).encode() + b":" + _dump(key, value, name, odd)
            for key, value in fields.items()
        ]
        return b"{" + b",".join(pairs) + b"}"
    items = [_dump(number, value, name, odd) for number, value in enumerate(fields)]
    return b"[" + b",".join(items) + b"]"


def _dump(key, value, name, odd):
    return odd if key == name else json.dumps(value).encode()


def describe_target():
    return {**replica.Replica("odd").describe("lm"), "address": "127.0.0.1:80"}


async def follow(context, rows):
    """Write rows one after the other while the feed runs, until it has the last."""
    feed = asyncio.ensure_future(context.feed.run())
    try:
        for key, value in rows:
            put = (store.RowKey(context.feed_table, "", key), value)
            await context.rows.apply(store.Transaction(puts=(put,)))
        is_current = await context.feed.wait_until(context.rows.version, _FEED_S)
        assert is_current, f"the feed stands at {context.feed.version}: {feed!r}"
    finally:
        feed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await feed
