"""Answers to reads of a table by other daemons, from the copy that this one follows."""

from __future__ import annotations

import base64
import dataclasses
import gzip
import http
import typing
import urllib.parse
from collections import abc

import orjson

from endivevane.serving import copy_age, follower, model, responder, store

# Paths of these calls: those of the store behind this prefix.
PATH_PREFIX = "/copies"
# Time since rows that a daemon answers from its copy were the store's, in seconds.
AGE_FIELD = "relayAgeS"
READ_PATH = "/api/rows-get"
_FEED_PATH = "/api/rows-feed"
# A copy that has never been confirmed is older than any that counts.
_OLDEST_S = 1e6
# Older copies answer nothing: the store may have changed since.
_MAX_COPY_AGE_S = 2.0
_MAX_WAIT_S = 2.0
# Reads of a whole table within this time get the same rows, which are encoded once.
_SNAPSHOT_S = 1.0
# How long a call waits for a daemon that has just started to read the table.
_LOADING_WAIT_S = 1.0
# Smaller answers gain too little by compression.
_MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 1
_MAX_DIGITS = 18
_GZIP = b"gzip"
_GZIP_MAGIC = b"\x1f\x8b"


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """Rows of a copy as they were sent, for daemons that ask soon after.

    :param key: first key, key after the last one, and whether it is compressed
    :param head: body up to its last fields
    :param as_of_s: time of the boot clock up to which the rows lack no change
    :param made_s: time of the boot clock at which they were encoded
    """

    key: tuple[str, str, bool]
    head: bytes
    version: int
    as_of_s: float
    made_s: float


class CopiedFeed:
    """Answers polls and full reads of one table without a call to the store.

    :param copy: the rows of the table, whose partition is the empty one
    :param is_reader: returns whether this daemon reads the table from the store for
        others; a copy that follows another daemon answers nothing
    :param has_polls: whether other daemons follow the table here, or only load it
    """

    def __init__(
        self,
        table: str,
        copy: follower.TableFollower,
        is_reader: abc.Callable[[], bool],
        has_polls: bool,
    ) -> None:
        self.table = table
        self._copy = copy
        self._is_reader = is_reader
        self._has_polls = has_polls
        # The changes that were encoded last, by their versions and whether compressed.
        self._encoded: tuple[tuple[tuple[int, ...], bool], bytes] | None = None
        self._snapshot: _Snapshot | None = None

    async def answer(
        self, path: str, query: abc.Mapping[str, str], accepts_gzip: bool
    ) -> responder.Response:
        """Return the response to a read: 503 if the copy can't tell, 410 as the store.

        :param path: path of the call to the store
        """
        if not self._is_reader():
            return _refuse()
        await self._copy.wait_until_loaded(_LOADING_WAIT_S)
        if self._copy.age.measure_s() > _MAX_COPY_AGE_S:
            return _refuse()
        if path == READ_PATH:
            return self._read(query.get("from", ""), query.get("to", ""), accepts_gzip)
        after, wait_ms = _read_number(query, "after"), _read_number(query, "waitMs")
        if path != _FEED_PATH or not self._has_polls or after is None:
            return responder.Response(http.HTTPStatus.NOT_FOUND)
        if after < self._copy.history_start:
            return responder.Response(http.HTTPStatus.GONE)
        wait_s = min((wait_ms or 0) / 1000.0, _MAX_WAIT_S)
        changes = await self._copy.wait_for_changes(after, wait_s)
        head = self._encode_changes(changes, accepts_gzip)
        return _make_response(head, self._copy.version, self._copy.age.measure_s())

    def _read(self, start: str, end: str, accepts_gzip: bool) -> responder.Response:
        """Return the response to a read of the rows with keys in ``[start, end)``.

        Daemons that start at the same time get the same answer, which tells its age.
        """
        key = (start, end, accepts_gzip)
        now_s = copy_age.read_clock_s()
        snapshot = self._snapshot
        is_old = snapshot is None or now_s - snapshot.made_s > _SNAPSHOT_S
        if snapshot is None or is_old or snapshot.key != key:
            rows = tuple(
                row
                for name, row in sorted(self._copy.rows.items())
                if start <= name and (not end or name < end)
            )
            as_of_s = now_s - self._copy.age.measure_s()
            head = _encode_rows(rows, accepts_gzip)
            snapshot = _Snapshot(key, head, self._copy.version, as_of_s, now_s)
            self._snapshot = snapshot
        return _make_response(snapshot.head, snapshot.version, now_s - snapshot.as_of_s)

    def _encode_changes(
        self, changes: tuple[store.Row, ...], accepts_gzip: bool
    ) -> bytes:
        """Return the first part of a body; many daemons ask for the same changes."""
        key = (tuple(row.version for row in changes), accepts_gzip)
        if self._encoded is None or self._encoded[0] != key:
            self._encoded = (key, _encode_rows(changes, accepts_gzip))
        return self._encoded[1]


async def answer(
    request: model.ClientRequest, feeds: abc.Sequence[CopiedFeed]
) -> responder.Response:
    """Return the response to a read of a copy of this daemon."""
    parsed = urllib.parse.urlsplit(request.path.removeprefix(PATH_PREFIX))
    query = dict(urllib.parse.parse_qsl(parsed.query))
    accepts_gzip = any(
        name.lower() == b"accept-encoding" and _GZIP in value
        for name, value in request.headers
    )
    for feed in feeds:
        if feed.table == query.get("table") and not query.get("part"):
            return await feed.answer(parsed.path, query, accepts_gzip)
    return responder.Response(http.HTTPStatus.NOT_FOUND)


def _make_response(head: bytes, version: int, age_s: float) -> responder.Response:
    """Return the response with a body's first part, a version and an age."""
    fields = {"ver": version, "nowMs": 0, AGE_FIELD: limit_age_s(age_s)}
    tail = b"," + orjson.dumps(fields)[1:]
    if not head.startswith(_GZIP_MAGIC):
        return responder.Response(http.HTTPStatus.OK, head + tail)
    # Compressed parts may be joined.
    body = head + gzip.compress(tail, _COMPRESSION_LEVEL)
    headers = ((b"Content-Encoding", _GZIP),)
    return responder.Response(http.HTTPStatus.OK, body, headers)


def _encode_rows(rows: tuple[store.Row, ...], accepts_gzip: bool) -> bytes:
    """Return a body up to its last fields, compressed if that is accepted and pays."""
    content = {"rows": [encode_row(row) for row in rows], "hasMore": False}
    head = orjson.dumps(content)[:-1]
    if accepts_gzip and len(head) >= _MIN_COMPRESSED_BYTES:
        return gzip.compress(head, _COMPRESSION_LEVEL)
    return head


def encode_row(row: store.Row) -> dict[str, typing.Any]:
    """Return a row, or its deletion, in the store's form."""
    fields: dict[str, typing.Any] = {
        "table": row.row_key.table,
        "part": row.row_key.partition,
        "key": row.row_key.key,
        "ver": row.version,
    }
    if row.value is None:
        fields["deleted"] = True
    else:
        fields["value"] = base64.b64encode(row.value).decode()
    return fields


def limit_age_s(age_s: float) -> float:
    """Return an age that can be sent."""
    return min(_OLDEST_S, age_s)


def _refuse() -> responder.Response:
    return responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)


def _read_number(query: abc.Mapping[str, str], name: str) -> int | None:
    """Return a number of a query, ``None`` if it has none."""
    text = query.get(name, "")
    if len(text) > _MAX_DIGITS or not text.removeprefix("-").isdecimal():
        return None
    return int(text)
