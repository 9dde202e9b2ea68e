"""Run the feature files with behave and count scenarios from its JSON reports.

Scenarios that KNOWN-RED.txt lists as passed over run like all others. One that fails is
printed and counted as skipped.

A few behave processes run in parallel, because many scenarios mostly wait for processes
to start or for timeouts to expire.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import typing

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_BUILD = _ROOT / "build"
_PARALLEL_RUNS = 3
_FILE_TIMEOUT_S = 800
# Crowds of clients press one process; other features beside it would change what shows.
_RUN_ALONE = frozenset(("uncontrolled_clients.feature",))
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_PASSED_OVER_MARK = "flaky, passed over: "


def main() -> int:
    """Run the features and print the summary line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("features", nargs="*", help="feature files, all by default")
    arguments = parser.parse_args()
    files = [pathlib.Path(item).resolve() for item in arguments.features]
    if not files:
        files = sorted((_ROOT / "features").glob("*.feature"))
    _BUILD.mkdir(exist_ok=True)
    summary_path = _BUILD / "features-summary.txt"
    summary_path.unlink(missing_ok=True)
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    failed_names: list[str] = []
    together = [path for path in files if path.name not in _RUN_ALONE]
    alone = [path for path in files if path.name in _RUN_ALONE]
    with concurrent.futures.ThreadPoolExecutor(_PARALLEL_RUNS) as executor:
        outcomes = list(executor.map(_run_feature, together))
    outcomes += [_run_feature(path) for path in alone]
    for path, outcome in zip([*together, *alone], outcomes, strict=True):
        for key in counts:
            counts[key] += outcome[key]
        if outcome["failed"]:
            failed_names += _describe_failures(path)
    # Printed last, so that a log without its start still shows the failures.
    for name in failed_names:
        print(f"failed: {name}")
    line = ", ".join(f"{count} {name}" for name, count in counts.items())
    summary_path.write_text(line + "\n")
    print(line)
    return 1 if counts["failed"] or not counts["passed"] else 0


def _run_feature(path: pathlib.Path) -> dict[str, int]:
    """Run one feature file and return its counts."""
    report_path = _BUILD / f"{path.stem}.json"
    report_path.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
    command += ["-f", "json", "-o", str(report_path), "-f", "plain", str(path)]
    try:
        run = subprocess.run(
            command,
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=_FILE_TIMEOUT_S,
            check=False,
        )
        output, status = run.stdout + run.stderr, run.returncode
    except subprocess.TimeoutExpired:
        output, status = f"{path.name} ran longer than {_FILE_TIMEOUT_S} s\n", 1
    passed_over = _list_passed_over(report_path)
    counts = _count(report_path)
    counts["failed"] -= len(passed_over)
    counts["skipped"] += len(passed_over)
    if status and not (counts["failed"] or passed_over):
        counts["failed"] = 1
    print(f"== {path.name}: {counts}", flush=True)
    if counts["failed"] or passed_over:
        print(output, flush=True)
    for name in passed_over:
        print(f"known-red: {name} (failed, passed over)", flush=True)
    for line in output.splitlines():
        if line.startswith("known-red:"):
            print(line, flush=True)
    return counts


def _read_passed_over() -> frozenset[str]:
    """Return the names of the scenarios whose failures do not count."""
    if not _KNOWN_RED.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(_PASSED_OVER_MARK).strip()
        for line in _KNOWN_RED.read_text().splitlines()
        if line.startswith(_PASSED_OVER_MARK)
    )


def _list_passed_over(report_path: pathlib.Path) -> list[str]:
    """Return the scenarios of a report that failed and are passed over."""
    known = _read_passed_over()
    return [
        element["name"].strip()
        for element in _read_elements(report_path)
        if element.get("status") == "failed" and element["name"].strip() in known
    ]


def _read_elements(report_path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Return the scenarios and backgrounds of a report, none without one."""
    if not report_path.exists() or not report_path.read_text().strip():
        return []
    return [
        element
        for feature in json.loads(report_path.read_text())
        for element in feature.get("elements", [])
    ]


def _describe_failures(path: pathlib.Path) -> list[str]:
    """Return lines that describe the failed scenarios of a feature file."""
    report_path = _BUILD / f"{path.stem}.json"
    if not report_path.exists() or not report_path.read_text().strip():
        return [f"{path.name}: no report"]
    lines = []
    known = _read_passed_over()
    for element in _read_elements(report_path):
        if element.get("status") != "failed" or element["name"].strip() in known:
            continue
        lines.append(f"{path.name}: {element['name']}")
        lines += _describe_steps(element)
    return lines


def _describe_steps(element: dict[str, typing.Any]) -> list[str]:
    """Return the failed steps of a scenario with the end of their messages."""
    lines = []
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") != "failed":
            continue
        message = result.get("error_message", "")
        text = message if isinstance(message, str) else " ".join(message)
        lines.append(f"  {step['name']}: {' '.join(text.split())[-400:]}")
    return lines


def _count(report_path: pathlib.Path) -> dict[str, int]:
    """Count the scenarios in a JSON report of behave."""
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    for element in _read_elements(report_path):
        if element["type"] == "background":
            continue
        status = element.get("status", "failed")
        counts[status if status in counts else "failed"] += 1
    return counts


if __name__ == "__main__":
    sys.exit(main())
