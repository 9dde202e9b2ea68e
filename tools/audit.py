"""Counts lost and duplicated work from the records of the stand-ins."""

from __future__ import annotations

import collections
import dataclasses
import json
import typing
import urllib.parse
import urllib.request
from collections import abc

from standins import completions


@dataclasses.dataclass(slots=True)
class Audit:
    """Counts from the records of the platform and the targets.

    :param done: items with a committed success
    :param failed: items with a committed failure
    :param lost: accepted work with a missing or wrong result
    :param doubled: work that took effect more than once
    """

    done: int = 0
    failed: int = 0
    lost: int = 0
    doubled: int = 0

    def add(self, other: Audit) -> None:
        """Add the counts of another audit."""
        self.done += other.done
        self.failed += other.failed
        self.lost += other.lost
        self.doubled += other.doubled


def audit_job(
    record: abc.Mapping[str, typing.Any],
    store_url: str,
    job_id: str,
    bodies: abc.Mapping[str, abc.Mapping[str, typing.Any]],
) -> Audit:
    """Compare the committed results of a job with its items.

    :param record: record of the platform's stand-in
    :param store_url: base URL of the object store
    :param bodies: request body of each item by ``custom_id``
    """
    audit = Audit()
    commits: dict[str, list[dict[str, typing.Any]]] = collections.defaultdict(list)
    for entry in record["history"]:
        if entry["table"] != "chunks" or not entry["key"].startswith(f"{job_id}/"):
            continue
        if entry["value"] is not None and entry["value"]["state"] == "done":
            commits[entry["key"]].append(entry["value"])
    result_counts: collections.Counter[str] = collections.Counter()
    for rows in commits.values():
        audit.doubled += len(rows) - 1
        for line in _read_results(store_url, rows[0]["result"]):
            result_counts[line["custom_id"]] += 1
            if line["error"] is not None or line["response"]["status_code"] != 200:
                audit.failed += 1
                continue
            audit.done += 1
            body = bodies[line["custom_id"]]
            text = line["response"]["body"]["choices"][0]["message"]["content"]
            audit.lost += text != _expected_text(body)
    audit.lost += len(bodies.keys() - result_counts.keys())
    audit.doubled += sum(count - 1 for count in result_counts.values())
    return audit


def audit_calls(
    records: abc.Collection[abc.Mapping[str, typing.Any]], answered: set[str]
) -> Audit:
    """Compare the calls that services ran with those that succeeded for clients.

    :param records: records of the stand-ins for plain services
    :param answered: idempotency keys of the calls that succeeded
    """
    audit = Audit()
    runs: collections.Counter[str] = collections.Counter(
        call["key"] for record in records for call in record["calls"] if call["key"]
    )
    audit.doubled = sum(count - 1 for count in runs.values())
    audit.lost = len(answered - runs.keys())
    return audit


def _read_results(store_url: str, key: str) -> list[dict[str, typing.Any]]:
    """Return the lines of a result object without their prefix, a position and mark."""
    quoted = urllib.parse.quote(key, safe="")
    with urllib.request.urlopen(f"{store_url}/v1/objects/{quoted}") as response:
        data = response.read()
    return [json.loads(line[line.index(b"{") :]) for line in data.splitlines()]


def _expected_text(body: abc.Mapping[str, typing.Any]) -> str:
    return completions.expected_text(body["messages"], body["max_tokens"])
