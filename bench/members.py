"""Measure control overhead and configuration delay by cluster size.

Real cluster tasks with CURVE keys run in a few processes on loopback and use the
stand-in platform as the table service.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import pathlib
import sys
import time
import typing

import zmq

from bench import lines
from endivevane import types
from endivevane.configuration import publishing
from endivevane.external import http_pool, table
from tools import ports, processes

SIZES = (9, 50, 100, 200, 340)
# Targets of the design page, per daemon.
TARGETS = {
    "cpu_share": 0.038,
    "memory_bytes": 128e6,
    "bytes_per_s": 3000.0,
    "in_force_s": 12.0,
}
_IN_FORCE_SMALL_S = 3.0
# Ethernet, IP, TCP with timestamps, ZMTP and CURVE framing around one small message;
# an estimate, since the payload alone is counted.
_FRAME_BYTES = 66 + 35
_MEMBERS_PER_WORKER = 10
_ORGANISATIONS = 40
# All members share one machine here; more starts a second would measure its overload.
_STARTS_PER_S = 8.0
_JOIN_LIMIT_S = 120.0
_IN_FORCE_LIMIT_S = 60.0
_ZONES = (("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r2"))


class Cluster:
    """Members of one size, spread over processes."""

    def __init__(self, size: int, has_keys: bool) -> None:
        self.size = size
        self._has_keys = has_keys
        self._ports = ports.Ports()
        self._processes = processes.Processes()
        self._workers: list[processes.Process] = []
        address = self._ports.reserve_address()
        host, port = address.split(":")
        platform = self._processes.start(
            "standins.platform", _platform_arguments(host, port), "platform"
        )
        platform.wait_for_url(f"http://{address}/_record")
        self._platform = address
        pool = http_pool.HttpPool(
            types.parse_address(address), http_pool.PoolSettings()
        )
        self.store = table.TableClient(pool)
        self.documents = publishing.NO_DOCUMENTS

    def close(self) -> None:
        """End all processes."""
        self._processes.close()
        self._ports.release()

    def start(self) -> float:
        """Start all members and return how long it took until they were ready."""
        started_s = time.monotonic()
        settings = self._make_settings()
        count = math.ceil(self.size / _MEMBERS_PER_WORKER)
        for number in range(count):
            plan = {
                "members": settings[number::count],
                "start_gap_s": count / _STARTS_PER_S,
            }
            path = self._processes.folder / f"plan-{number}.json"
            path.write_text(json.dumps(plan))
            worker = self._processes.start(
                "bench.member_worker", [str(path)], f"worker-{number}"
            )
            self._workers.append(worker)
        self._wait(
            lambda lines: sum(line["ready"] for line in lines) == self.size
            and min(line["least_known"] for line in lines) == self.size,
            _JOIN_LIMIT_S,
        )
        return time.monotonic() - started_s

    def report(self) -> list[dict[str, typing.Any]]:
        """Return the last report of each worker."""
        lines = []
        for worker in self._workers:
            text = worker.log_path.read_bytes()[-8000:].decode("utf-8", "replace")
            # The last line may still be in the middle of being written.
            found = [
                line
                for line in text.split("\n")[:-1]
                if line.startswith("report ") and line.endswith("}")
            ]
            if found:
                lines.append(json.loads(found[-1].removeprefix("report ")))
        return lines if len(lines) == len(self._workers) else []

    def publish(self, number: int) -> float | None:
        """Publish a change; return when it was in force in every member."""
        documents = {f"services/s{item}": _service(item, 0) for item in range(8)}
        documents |= {
            f"organisations/o{item}": {"kind": "organisation", "name": f"o{item}"}
            for item in range(1, _ORGANISATIONS + 1)
        }
        documents["fleet"] = _FLEET
        documents["services/s0"] = _service(0, number)
        started_s = time.monotonic()
        outcome = publishing.publish(
            self.store, publishing.Change(documents), self.documents
        )
        self.documents = outcome.unwrap()
        revision = str(self.documents.revision)
        lines = self._wait(
            lambda lines: sum(line["counts"].get(revision, 0) for line in lines)
            == self.size,
            _IN_FORCE_LIMIT_S,
        )
        if lines is None:
            return None
        return max(line["last_s"][revision] for line in lines) - started_s

    def confirmed_s(self, limit_s: float) -> float | None:
        """Return how long it takes from now until all zones have confirmed."""
        started_s = time.monotonic()
        zones = len({item[0] for item in _ZONES[: self.size]})
        while time.monotonic() - started_s < limit_s:
            found = publishing.read_confirmations(self.store).unwrap()
            if sum(item >= self.documents.revision for item in found.values()) == zones:
                return time.monotonic() - started_s
            time.sleep(0.1)
        return None

    def _wait(
        self, is_done: typing.Any, limit_s: float
    ) -> list[dict[str, typing.Any]] | None:
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            lines = self.report()
            if lines and is_done(lines):
                return lines
            time.sleep(0.2)
        print(f"limit of {limit_s} s reached", [_brief(line) for line in lines])
        return None

    def _make_settings(self) -> list[dict[str, typing.Any]]:
        addresses = [self._ports.reserve_address() for _ in range(self.size)]
        pairs = [
            [key.decode() for key in zmq.curve_keypair()] for _ in range(self.size)
        ]
        allowed = [public for public, _ in pairs]
        settings = []
        for number, address in enumerate(addresses):
            zone, region = _ZONES[number % len(_ZONES)]
            public, secret = pairs[number]
            document: dict[str, typing.Any] = {
                "daemon": {
                    "name": f"d{number:03d}",
                    "zone": zone,
                    "region": region,
                    "listen": address,
                    "cluster_listen": address,
                },
                "platform": {
                    "table_service": self._platform,
                    "object_store": self._platform,
                    "vm_list": self._platform,
                },
                "membership": {"seeds": addresses[:4]},
                "session": {"term_s": 30.0 if self.size > 16 else 9.0},
            }
            if self._has_keys:
                keys = {"public": public, "secret": secret, "peer_public": allowed}
                document["keys"] = keys
            settings.append(document)
        return settings


def measure(
    size: int, duration_s: float, settle_s: float, has_keys: bool = True
) -> dict[str, typing.Any]:
    """Return the figures of one cluster size.

    :param settle_s: wait before the measurement; all members start at once here, and
        their introductions have to spread first
    """
    cluster = Cluster(size, has_keys)
    try:
        ready_s = cluster.start()
        first_s = cluster.publish(0)
        time.sleep(settle_s)
        before = cluster.report()
        time.sleep(duration_s)
        after = cluster.report()
        in_force = [cluster.publish(number) for number in (1, 2, 3)]
        confirmed_s = cluster.confirmed_s(30.0)
        end = cluster.report()
    finally:
        cluster.close()
    passed_s = sum(_differ(before, after, "at_s")) / len(before)
    rate = sum(_differ(before, after, "messages")) / passed_s / size
    payload = sum(_differ(before, after, "bytes")) / passed_s / size
    task_bytes = sum(line["rss_bytes"] - line["base_bytes"] for line in after) / size
    base_bytes = sum(line["base_bytes"] for line in after) / len(after)
    return {
        "members": size,
        "has_keys": has_keys,
        "ready_s": ready_s,
        "messages_per_s": rate,
        "busiest_messages_per_s": max(_differ(before, after, "busiest")) / passed_s,
        "payload_bytes_per_s": payload,
        "bytes_per_s": payload + rate * _FRAME_BYTES,
        "cpu_share": sum(_differ(before, after, "cpu_s")) / passed_s / size,
        "memory_bytes": base_bytes + task_bytes,
        "first_in_force_s": first_s,
        "in_force_s": in_force,
        "confirmed_after_s": confirmed_s,
        "dead_reports": sum(line["dead"] for line in end),
        "dropped": sum(line["dropped"] for line in end),
        "machine_load": os.getloadavg()[0],
    }


def compare(row: dict[str, typing.Any]) -> dict[str, bool]:
    """Return which targets hold for one size."""
    limit_s = _IN_FORCE_SMALL_S if row["members"] <= 9 else TARGETS["in_force_s"]
    times = row["in_force_s"]
    held = {
        key: row[key] <= TARGETS[key]
        for key in ("cpu_share", "memory_bytes", "bytes_per_s")
    }
    held["in_force_s"] = None not in times and max(times) <= limit_s
    return held


def main() -> int:
    """Measure all sizes and print them with the targets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--settle-s", type=float, default=60.0)
    parser.add_argument("--plain", action="store_true", help="without CURVE keys")
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    rows = []
    for size in arguments.sizes:
        row = measure(
            size, arguments.duration_s, arguments.settle_s, not arguments.plain
        )
        rows.append(row)
        print({**row, "holds": compare(row)}, flush=True)
    summary: dict[str, typing.Any] = {"targets": TARGETS, "rows": rows, "lines": {}}
    if len(rows) > 1:
        for key in ("messages_per_s", "bytes_per_s", "cpu_share", "memory_bytes"):
            points = [(float(row["members"]), float(row[key])) for row in rows]
            summary["lines"][key] = lines.fit(points)
    print(summary)
    if arguments.output is not None:
        arguments.output.write_text(json.dumps(summary, indent=1))
    return 0 if all(all(compare(row).values()) for row in rows) else 1


def _platform_arguments(host: str, port: str) -> list[str]:
    return ["--listen", f"{host}:{port}"]


def _differ(
    before: list[dict[str, typing.Any]], after: list[dict[str, typing.Any]], key: str
) -> list[float]:
    return [later[key] - line[key] for line, later in zip(before, after, strict=True)]


def _brief(line: dict[str, typing.Any]) -> dict[str, typing.Any]:
    return {key: line[key] for key in ("ready", "members", "least_known", "counts")}


def _service(number: int, version: int) -> dict[str, typing.Any]:
    return {
        "kind": "service",
        "name": f"s{number}",
        "type": "model",
        "organisations": ["o1"],
        "online": {"max_queue": 256 + version},
        "models": [{"name": f"m{number}"}],
        "targets": [
            {"name": f"s{number}-t{item}", "address": "127.0.0.1:9", "zone": "z1"}
            for item in range(9)
        ],
    }


_FLEET = {
    "kind": "fleet",
    "zones": [{"name": name, "region": region} for name, region in _ZONES],
}


if __name__ == "__main__":
    sys.exit(main())
