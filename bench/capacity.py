"""Work out what a daemon and the store carry at the target size from measured slopes.

Prints the table of docs/CAPACITY.md; each row names its formula.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import sys
import typing

from bench import lines

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULTS = _ROOT / "docs" / "measurements" / "results.json"

DAEMONS = 340
REPLICAS = 600
REQUESTS_S = 4600
TOKENS_S = 2_200_000
TOKEN_S = 0.033
ITEMS_DAY = 1_900_000_000
JOBS_DAY = 81_000
CHANGES_DAY = 760
ZONES = 4
DAY_S = 86_400
CHUNK_ITEMS = 512
SESSION_RENEWAL_S = 10.0
# Size of one load report with its headers, as counted by the link counter.
REPORT_BYTES = 650
# Two batch targets each second and one candidate a second at 340 daemons.
REPORTS_S = 3.0
NOTICE_BYTES = 150


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table: what, how it is worked out, and the value."""

    part: str
    formula: str
    value: str
    limit: str = ""


def main() -> int:
    """Print the table."""
    results: dict[str, typing.Any] = json.loads(_RESULTS.read_text())
    rows = [*_list_online(results), *_list_control(results), *_list_batch(results)]
    print("| part | formula | value | limit |")
    print("|---|---|---|---|")
    for row in rows:
        print(f"| {row.part} | {row.formula} | {row.value} | {row.limit} |")
    return 0


def _list_online(results: dict[str, typing.Any]) -> list[Row]:
    rate = REQUESTS_S / DAEMONS
    tokens = TOKENS_S / DAEMONS
    streams = tokens * TOKEN_S
    points = [
        (float(count), max(_find_side(results[name], "relayed")["processor_shares"]))
        for name, count in (("relay_55", 55), ("relay_110", 110), ("relay", 220))
    ]
    intercept, slope = lines.fit(points)
    spread = lines.compute_residual(points, (intercept, slope))
    request_s = results["requests"]["request_s"]
    decision_us = results["routing"]["costs"][1]["decision_us"]
    memory = _find_side(results["relay"], "relayed")["memory_bytes"]
    return [
        Row("requests a second", "4,600 / 340", f"{rate:.1f}"),
        Row("tokens a second", "2.2 million / 340", f"{tokens:.0f}"),
        Row("streams open", "tokens a second x 33 ms", f"{streams:.0f}"),
        Row(
            "relay, processor",
            f"{slope * 1e3:.3f} ms/s a stream x streams"
            f" (fit over 55, 110, 220; intercept {intercept:.3f}, spread {spread:.3f})",
            f"{slope * streams:.3f} of a core",
            "0.4",
        ),
        Row(
            "requests, processor",
            f"{request_s * 1e3:.2f} ms x requests a second",
            f"{request_s * rate:.3f} of a core",
        ),
        Row(
            "decisions, part of the above",
            f"{decision_us:.0f} us x requests a second",
            f"{decision_us * 1e-6 * rate:.4f} of a core",
        ),
        Row("memory with 220 streams", "measured", f"{memory / 1e6:.0f} MB", "128"),
    ]


def _find_side(figures: dict[str, typing.Any], name: str) -> dict[str, typing.Any]:
    side: dict[str, typing.Any] = next(
        item for item in figures["sides"] if item["name"] == name
    )
    return side


def _list_control(results: dict[str, typing.Any]) -> list[Row]:
    rate = REQUESTS_S / DAEMONS
    rows = []
    if "members" in results:
        measured = results["members"]["rows"]
        largest = measured[-1]
        sizes = ", ".join(str(row["members"]) for row in measured)
        for key, unit, scale, limit in (
            ("messages_per_s", "messages/s", 1.0, ""),
            ("bytes_per_s", "bytes/s", 1.0, "3000"),
            ("cpu_share", "of a core", 1.0, "0.038"),
            ("memory_bytes", "MB", 1e-6, "128"),
        ):
            intercept, slope = results["members"]["lines"][key]
            value = (intercept + slope * DAEMONS) * scale
            rows.append(
                Row(
                    f"membership and configuration, {unit}",
                    f"line over {sizes} members at 340; seen at "
                    f"{largest['members']}: {largest[key] * scale:.4g}",
                    f"{value:.4g}",
                    limit,
                )
            )
    reports = REPORTS_S * REPORT_BYTES
    notices = 2 * 2 * rate * NOTICE_BYTES
    rows += [
        Row(
            "load reports, bytes/s",
            f"{REPORTS_S:.0f} reports/s x {REPORT_BYTES} bytes",
            f"{reports:.0f}",
            "3000",
        ),
        Row(
            "use notices, bytes/s at most",
            f"2 a request, in and out, x {NOTICE_BYTES} bytes, all targets nearly full",
            f"{notices:.0f}",
            "3000",
        ),
    ]
    return rows


def _list_batch(results: dict[str, typing.Any]) -> list[Row]:
    large = results["batch"]["large"]
    items_s = ITEMS_DAY / DAY_S
    writes = items_s * large["writes_per_1000"] / 1000
    reads = items_s * large["reads_per_1000"] / 1000
    sessions = DAEMONS / SESSION_RENEWAL_S
    jobs = JOBS_DAY * 5 / DAY_S
    config = CHANGES_DAY * (3 + ZONES) / DAY_S
    total = writes + sessions + jobs + config
    memory = large["memory_largest_mib"]
    return [
        Row("items a second", "1.9 billion / 86,400", f"{items_s:.0f}"),
        Row(
            "row writes for items",
            f"{large['writes_per_1000']:.2f} per 1,000 items",
            f"{writes:.0f}/s",
        ),
        Row("row writes for sessions", "340 / 10 s", f"{sessions:.0f}/s"),
        Row(
            "row writes for jobs and files", "81,000 x 5 rows / 86,400", f"{jobs:.1f}/s"
        ),
        Row(
            "row writes for configuration",
            "760 x (head, document, accepted, 4 zones) / 86,400",
            f"{config:.2f}/s",
        ),
        Row("row writes, sum", "", f"{total:.0f}/s", "300"),
        Row(
            "row reads for items",
            f"{large['reads_per_1000']:.2f} per 1,000 items",
            f"{reads:.0f}/s",
            "2000",
        ),
        Row(
            "objects",
            f"1 segment and 1 result written, 1 read per {CHUNK_ITEMS} items",
            f"{2 * items_s / CHUNK_ITEMS:.0f} written, "
            f"{items_s / CHUNK_ITEMS:.0f} read a second",
            "300, 2000",
        ),
        Row(
            "memory while a job of 260,000 items streams through",
            "measured, batch parts alone",
            f"{memory:.0f} MiB",
            "128",
        ),
    ]


if __name__ == "__main__":
    sys.exit(main())
