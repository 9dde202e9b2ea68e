"""Measure how a daemon reads tables of many pages, by the former way and by this one.

The former way takes the version of the last page for that of all rows, and begins anew
after each failure. Both ways read the same in-process store, one after the other.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import bisect
import dataclasses
import json
import random
import statistics
import time

import orjson

from endivevane.serving import failures, follower, full_read, store

_TABLE = "state"
_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000
_VALUE_BYTES = 400
_LATENCY_S = 0.005
_SEED = 20261206
_SIZES = (500, 5_000, 50_000)
# One call in fifty fails; such starts are measured with several seeds.
_FAILED_SHARE = 0.02
_ROUNDS = 5
# Plays with changes: the history is dropped until shortly before the end, or one call
# in ten fails.
_CHANGED_ROWS = 5_000
_CHANGES_PER_S = 100
_TROUBLE_S = 30.0
_SLOW_LATENCY_S = 0.1
_DROP_INTERVAL_S = 3.0
_LAST_DROP_S = 25.0
_LOST_SHARE = 0.1
_SETTLE_S = 5.0
_LIMIT_S = 120.0


class _Store:
    """Rows in order of their keys, with the size that responses have as JSON."""

    def __init__(self, count: int, failed_share: float, seed: int = _SEED) -> None:
        self.calls = 0
        self.sent_bytes = 0
        self.full_reads = 0
        self.latency_s = _LATENCY_S
        self.horizon = 0
        self.version = 0
        self.rows: dict[str, store.Row] = {}
        self._keys: list[str] = []
        self._log: list[store.Row] = []
        self._failed_share = failed_share
        self._generator = random.Random(seed)
        for number in range(count):
            self.put(f"job/{number:016x}")

    def put(self, key: str) -> None:
        """Write a row."""
        self.version += 1
        value = b"%0*d" % (_VALUE_BYTES, self.version)
        row = store.Row(store.RowKey(_TABLE, "", key), value, self.version)
        if key not in self.rows:
            bisect.insort(self._keys, key)
        self.rows[key] = row
        self._log.append(row)

    async def read_rows(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> store.RowPage:
        """Return a page."""
        self.full_reads += not start
        await self._answer("rows-get")
        first = bisect.bisect_left(self._keys, start)
        names = self._keys[first : first + _PAGE_ROWS]
        found = [self.rows[name] for name in names]
        found = self._count_bytes(found)
        has_more = first + len(found) < len(self._keys)
        return store.RowPage(tuple(found), self.version, has_more)

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> store.RowPage:
        """Return changes; a quiet table is answered after a short wait."""
        await self._answer("rows-feed")
        if after_version < self.horizon:
            raise failures.StoreHistoryGone("rows-feed", "gone")
        if after_version == self.version:
            await asyncio.sleep(min(wait_s, 0.1))
        # Each version has one row of the log, in order.
        found = self._count_bytes(self._log[after_version:][:_PAGE_ROWS])
        version = found[-1].version if found else self.version
        return store.RowPage(tuple(found), version)

    async def _answer(self, call: str) -> None:
        self.calls += 1
        await asyncio.sleep(self.latency_s)
        if self._generator.random() < self._failed_share:
            raise failures.StoreUncertain(call, "no answer")

    def _count_bytes(self, found: list[store.Row]) -> list[store.Row]:
        """Count the bytes of a response; return the rows that fit into it."""
        entries = [
            {
                "table": _TABLE,
                "part": "",
                "key": row.row_key.key,
                "value": base64.b64encode(row.value or b"").decode(),
                "ver": row.version,
            }
            for row in found
        ]
        size = len(orjson.dumps({"rows": entries, "ver": self.version}))
        assert size <= _PAGE_BYTES
        self.sent_bytes += size
        return found


class _FormerFollower(follower.TableFollower):
    """Reads as before: the last page's version for all rows, nothing kept."""

    async def _finish_read(self) -> full_read.JoinedRows:
        found = await full_read.read_all(self._store, self._table, self._partition)
        return dataclasses.replace(
            found, starts=found.starts[:1], versions=found.versions[-1:]
        )


_WAYS = {"former": _FormerFollower, "this": follower.TableFollower}


async def _measure_start(
    way: str, count: int, failed_share: float, seed: int
) -> dict[str, float]:
    """Measure a daemon that starts, until it knows the table."""
    rows = _Store(count, failed_share, seed)
    copy = _WAYS[way](rows, _TABLE, "", lambda row: None)  # type: ignore[arg-type]
    started_s = time.monotonic()
    task = asyncio.ensure_future(copy.run())
    while not copy.is_loaded and time.monotonic() - started_s < _LIMIT_S:
        await asyncio.sleep(0.001)
    found = {
        "is_loaded": float(copy.is_loaded),
        "known_after_s": round(time.monotonic() - started_s, 3),
        "calls": float(rows.calls),
        "megabytes": round(rows.sent_bytes / 1e6, 2),
    }
    task.cancel()
    return found


async def _measure_changes(way: str, is_dropping: bool) -> dict[str, float]:
    """Measure a daemon while rows change and the history is dropped or calls fail."""
    rows = _Store(_CHANGED_ROWS, 0.0 if is_dropping else _LOST_SHARE)
    copy = _WAYS[way](rows, _TABLE, "", lambda row: None)  # type: ignore[arg-type]
    task = asyncio.ensure_future(copy.run())
    generator = random.Random(_SEED)
    rows.latency_s = _SLOW_LATENCY_S
    started_s = time.monotonic()
    drop_s = _DROP_INTERVAL_S if is_dropping else float("inf")
    while (passed_s := time.monotonic() - started_s) < _TROUBLE_S:
        rows.put(f"job/{generator.randrange(_CHANGED_ROWS):016x}")
        if drop_s <= min(passed_s, _LAST_DROP_S):
            rows.horizon = rows.version
            drop_s += _DROP_INTERVAL_S
        await asyncio.sleep(1 / _CHANGES_PER_S)
    found = {
        "full_reads_per_min": rows.full_reads * 60 / _TROUBLE_S,
        "calls_per_min": rows.calls * 60 / _TROUBLE_S,
        "megabytes_per_min": round(rows.sent_bytes / 1e6 * 60 / _TROUBLE_S, 1),
    }
    rows.latency_s = _LATENCY_S
    await asyncio.sleep(_SETTLE_S)
    task.cancel()
    wrong = sum(1 for key, row in rows.rows.items() if copy.rows.get(key) != row)
    return {**found, "wrong_rows_at_the_end": float(wrong)}


async def _measure_starts(count: int, failed_share: float) -> None:
    """Measure starts by both ways; print the median and the largest of each value."""
    rounds = _ROUNDS if failed_share else 1
    for way in _WAYS:
        found = [
            await _measure_start(way, count, failed_share, _SEED + number)
            for number in range(rounds)
        ]
        values = {
            name: {
                "median": statistics.median(item[name] for item in found),
                "largest": max(item[name] for item in found),
            }
            for name in found[0]
        }
        described = {"play": "start", "rows": count, "failed_share": failed_share}
        print(json.dumps({**described, "way": way, **values}), flush=True)


async def _measure_all(sizes: tuple[int, ...]) -> None:
    for failed_share in (0.0, _FAILED_SHARE):
        for count in sizes:
            await _measure_starts(count, failed_share)
    for play, is_dropping in (("history dropped", True), ("calls fail", False)):
        for way in _WAYS:
            found = await _measure_changes(way, is_dropping)
            described = {"play": play, "rows": _CHANGED_ROWS, "way": way}
            print(json.dumps({**described, **found}), flush=True)


def main() -> None:
    """Print one line of JSON for each play and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(_SIZES))
    arguments = parser.parse_args()
    random.seed(_SEED)
    asyncio.run(_measure_all(tuple(arguments.sizes)))


if __name__ == "__main__":
    main()
