"""Parts of the batch measurements."""

from __future__ import annotations

import collections
import time
import typing

from endivevane import types, utils
from endivevane.batch import attempts, items, jobs, records, results, segments
from endivevane.configuration import snapshot
from endivevane.coordination import clock, store
from endivevane.external import engine, http_pool, objects, table
from features.support import batch_local

FILE_ID = "file-bench"
ORGANISATION = "org"
MODEL = "m"
_SLOTS = 64


class IdleLoads:
    """Reports an engine without any other load."""

    def __init__(self, system: clock.Clock) -> None:
        self._clock = system

    def load_report(self, _target_name: str) -> engine.LoadReport:
        """Return a fresh report of an idle engine."""
        return engine.LoadReport(
            as_of_s=self._clock.wall_ms() / 1000,
            running=0,
            waiting=0,
            slots=_SLOTS,
            models=(engine.LoadedModel(MODEL, "1", ()),),
            role="both",
            kv_used_share=0.0,
            fencing_number=0,
        )


def answer_at_once(
    _pool: http_pool.HttpPool, attempt: attempts.Attempt
) -> attempts.Outcome:
    """Answer an item without an engine."""
    message = {"role": "assistant", "content": f"answer to {attempt.item.custom_id}"}
    body = {"object": "chat.completion", "choices": [{"index": 0, "message": message}]}
    return attempts.Outcome(attempts.Kind.ANSWERED, "", 200, body)


def open_platform(address: str) -> tuple[table.TableClient, objects.ObjectClient]:
    """Return clients of the platform stand-in."""
    pool = http_pool.HttpPool(types.parse_address(address), http_pool.PoolSettings())
    return table.TableClient(pool), objects.ObjectClient(pool)


def make_snapshot() -> snapshot.Snapshot:
    """Return a configuration with one engine."""
    return batch_local.make_snapshot(
        [("127.0.0.1:1", _SLOTS)], ORGANISATION, MODEL, online_reserve_slots=0
    )


def make_line(index: int) -> bytes:
    """Return one valid line of about 220 bytes."""
    messages = [{"role": "user", "content": f"summarise lot {index:09d}, shift two"}]
    line = {
        "custom_id": f"lot-{index:09d}",
        "method": "POST",
        "url": items.ENDPOINT,
        "body": {"model": MODEL, "max_tokens": 64, "messages": messages},
    }
    return utils.encode_json(line) + b"\n"


def insert_file(table_store: store.TableStore, summary: segments.Summary) -> None:
    """Insert the row of the uploaded file."""
    record = records.InputFile(
        file_id=FILE_ID,
        organisation=ORGANISATION,
        name="bench.jsonl",
        purpose="batch",
        size_bytes=summary.size_bytes,
        lines=summary.lines,
        segments=summary.segments,
        digest=summary.digest,
        created_ms=time.time_ns() // 1_000_000,
        upload="bench",
        model=summary.model,
        duplicates=summary.duplicates,
    )
    write = store.Write(records.FILES, FILE_ID, records.encode(record))
    table_store.transact(
        "bench-file", [store.Condition(records.FILES, FILE_ID, None)], [write]
    ).unwrap()


def make_request() -> jobs.JobRequest:
    """Return the request that creates the job."""
    return jobs.JobRequest(
        ORGANISATION, FILE_ID, items.ENDPOINT, "24h", 86_400_000, None, ""
    )


def read_results(
    table_store: store.TableStore, object_store: objects.ObjectClient, job_id: str
) -> int:
    """Stream the output file and return its lines."""
    reader = results.ResultReader(table_store, object_store)
    return sum(part.count(b"\n") for part in reader.read(job_id, is_errors=False))


def count_calls(record: dict[str, typing.Any]) -> collections.Counter[str]:
    """Return row writes and reads of all tables; a scan counts as one read."""
    counts: collections.Counter[str] = collections.Counter()
    for entry in record["tables"].values():
        counts["writes"] += entry["writes"]
        counts["reads"] += entry["reads"] + entry["scans"]
    return counts


def subtract(
    after: collections.Counter[str], before: collections.Counter[str]
) -> collections.Counter[str]:
    """Return the difference of two counts."""
    return collections.Counter({key: after[key] - before[key] for key in after})
