"""Mutation test: break each mechanism and check that its scenario fails.

Each entry of ``tools/mechanisms.toml`` names a guarantee, a file, the text that
implements the mechanism, the text without it, and the scenario that must then fail.
The change is made in a copy of the tree; the tree itself is not modified.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_MECHANISMS_PATH = _ROOT / "tools" / "mechanisms.toml"
_RESULTS_PATH = _ROOT / "docs" / "measurements" / "broken-mechanisms.json"
_COPIED = (
    "src",
    "features",
    "standins",
    "soak",
    "tools",
    "bench",
    "deploy",
    "docs",
    "KNOWN-RED.txt",
)
_TIMEOUT_S = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism and the scenario that guards it.

    :param promises: guarantees and failures listed in docs/promises.md
    :param find: text that occurs exactly once in the file
    :param scenario: part of the scenario's name, as ``behave -n`` takes it
    """

    name: str
    promises: str
    file: str
    find: str
    replace: str
    feature: str
    scenario: str


def main() -> int:
    """Break the mechanisms one by one; return 0 if every change was noticed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="mechanisms, all by default")
    parser.add_argument(
        "--record", action="store_true", help=f"write {_RESULTS_PATH.name}"
    )
    arguments = parser.parse_args()
    entries = tomllib.loads(_MECHANISMS_PATH.read_text())["mechanisms"]
    mechanisms = [Mechanism(**entry) for entry in entries]
    if arguments.names:
        mechanisms = [item for item in mechanisms if item.name in arguments.names]
    rows = []
    for mechanism in mechanisms:
        row = _check(mechanism)
        rows.append(row)
        print(f"{row['verdict']:>10}  {mechanism.name}: {row['seen']}", flush=True)
    noticed = sum(row["verdict"] == "noticed" for row in rows)
    print(f"{noticed} of {len(rows)} broken mechanisms were noticed")
    if arguments.record:
        _write_results(rows)
    return 0 if rows and noticed == len(rows) else 1


def _write_results(rows: list[dict[str, str]]) -> None:
    """Replace the rows of the mechanisms that were run and keep the others."""
    results = {row["name"]: row for row in json.loads(_RESULTS_PATH.read_text())}
    results.update({row["name"]: row for row in rows})
    _RESULTS_PATH.write_text(json.dumps(list(results.values()), indent=1) + "\n")


def _check(mechanism: Mechanism) -> dict[str, str]:
    """Run the scenario with and without the mechanism."""
    with tempfile.TemporaryDirectory(prefix="endivevane-broken-") as folder:
        copy = pathlib.Path(folder)
        _copy_tree(copy)
        baseline_passed, baseline_output = _run_scenario(copy, mechanism)
        if not baseline_passed:
            return _describe(mechanism, "fails whole", _find_failure(baseline_output))
        path = copy / mechanism.file
        text = path.read_text()
        if text.count(mechanism.find) != 1:
            count = text.count(mechanism.find)
            return _describe(mechanism, "outdated", f"the text occurs {count} times")
        path.write_text(text.replace(mechanism.find, mechanism.replace))
        passed, output = _run_scenario(copy, mechanism)
    verdict = "unnoticed" if passed else "noticed"
    return _describe(mechanism, verdict, _find_failure(output))


def _describe(mechanism: Mechanism, verdict: str, seen: str) -> dict[str, str]:
    return {
        "name": mechanism.name,
        "promises": mechanism.promises,
        "feature": mechanism.feature,
        "scenario": mechanism.scenario,
        "verdict": verdict,
        "seen": seen,
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def _copy_tree(copy: pathlib.Path) -> None:
    skip = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for name in _COPIED:
        source = _ROOT / name
        if source.is_dir():
            shutil.copytree(source, copy / name, ignore=skip)
            continue
        shutil.copy(source, copy / name)


def _run_scenario(copy: pathlib.Path, mechanism: Mechanism) -> tuple[bool, str]:
    """Return whether the scenario ran and passed, and what behave printed."""
    command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
    command += ["--no-skipped", "-f", "plain", f"features/{mechanism.feature}"]
    command += ["-n", mechanism.scenario]
    environment = {**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"}
    try:
        run = subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False, f"Assertion Failed: ran longer than {_TIMEOUT_S} s"
    output = run.stdout + run.stderr
    has_run = "0 scenarios passed, 0 failed" not in output
    if not has_run:
        return False, "Assertion Failed: no scenario has this name"
    return run.returncode == 0, output


def _find_failure(output: str) -> str:
    """Return the first lines that state why a scenario failed."""
    lines = output.splitlines()
    patterns = ("Assertion Failed", "ASSERT FAILED", "Error:", "Falsifying")
    for number, line in enumerate(lines):
        if any(pattern in line for pattern in patterns):
            text = " ".join(" ".join(lines[number : number + 2]).split())
            return text.split(" Captured")[0][:200]
    return "the scenario passed" if "0 failed" in output else "no message"


if __name__ == "__main__":
    sys.exit(main())
