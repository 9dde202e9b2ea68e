"""Run the feature files with behave and count scenarios from its JSON reports.

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
    counts = _count(report_path)
    if status and not counts["failed"]:
        counts["failed"] = 1
    print(f"== {path.name}: {counts}", flush=True)
    if counts["failed"]:
        print(output, flush=True)
    for line in output.splitlines():
        if line.startswith("known-red:"):
            print(line, flush=True)
    return counts


def _describe_failures(path: pathlib.Path) -> list[str]:
    """Return lines that describe the failed scenarios of a feature file."""
    report_path = _BUILD / f"{path.stem}.json"
    if not report_path.exists() or not report_path.read_text().strip():
        return [f"{path.name}: no report"]
    lines = []
    for feature in json.loads(report_path.read_text()):
        for element in feature.get("elements", []):
            if element.get("status") != "failed":
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
    if not report_path.exists() or not report_path.read_text().strip():
        return counts
    for feature in json.loads(report_path.read_text()):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status = element.get("status", "failed")
            counts[status if status in counts else "failed"] += 1
    return counts


if __name__ == "__main__":
    sys.exit(main())
