"""Run all measurements, compare them with the committed results and draw the plots.

Each measurement runs as a process of its own, so that none inherits the memory or the
threads of another. Results go to ``docs/measurements/results.json``; the former content
is printed next to the new one.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time
import typing
from collections import abc

from bench import plots

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULTS = _ROOT / "docs" / "measurements"
_BUILD = _ROOT / "build"
_TIMEOUT_S = 700
# Keeps the whole run under 20 minutes.
_MEMBER_SIZES = ("--sizes", "50", "100", "200", "340")
_MEMBER_TIMES = ("--settle-s", "40", "--duration-s", "20")
_SHORT_RELAY = ("--rounds", "1", "--tokens", "240")
# Name of the measurement, module and arguments.
_MEASUREMENTS: dict[str, tuple[str, tuple[str, ...]]] = {
    "routing": ("routing", ()),
    "retries": ("retries", ()),
    "relay": ("relay", ()),
    "relay_110": ("relay", ("--streams", "110", *_SHORT_RELAY)),
    "relay_55": ("relay", ("--streams", "55", *_SHORT_RELAY)),
    "requests": ("requests", ()),
    "isolation": ("isolation", ()),
    "batch": ("batch", ()),
    "placement": ("placement", ()),
    "link_shares": ("link_shares", ()),
    "members": ("members", (*_MEMBER_SIZES, *_MEMBER_TIMES)),
}


def main() -> int:
    """Run the measurements; the status tells whether all targets hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", default=list(_MEASUREMENTS))
    arguments = parser.parse_args()
    _BUILD.mkdir(exist_ok=True)
    _RESULTS.mkdir(exist_ok=True)
    path = _RESULTS / "results.json"
    former: dict[str, typing.Any] = (
        json.loads(path.read_text()) if path.exists() else {}
    )
    results = dict(former)
    failed = []
    for name in arguments.names:
        status, figures = _run(name)
        if status:
            failed.append(name)
        if figures is not None:
            results[name] = figures
            _compare(name, former.get(name), figures)
    path.write_text(json.dumps(_drop_histograms(results), indent=1) + "\n")
    plots.draw(results, _RESULTS)
    print(f"measurements with a bar that does not hold: {', '.join(failed) or 'none'}")
    return 1 if failed else 0


def _run(name: str) -> tuple[int, dict[str, typing.Any] | None]:
    """Run one measurement; return its status and figures."""
    output = _BUILD / f"bench-{name}.json"
    output.unlink(missing_ok=True)
    module, options = _MEASUREMENTS[name]
    command = [sys.executable, "-m", f"bench.{module}", "--output", str(output)]
    path = os.pathsep.join((str(_ROOT / "src"), str(_ROOT)))
    started_s = time.monotonic()
    print(f"== {name}", flush=True)
    try:
        status = subprocess.run(
            [*command, *options],
            cwd=_ROOT,
            env={**os.environ, "PYTHONPATH": path},
            timeout=_TIMEOUT_S,
            check=False,
        ).returncode
    except subprocess.TimeoutExpired:
        print(f"{name} ran longer than {_TIMEOUT_S} s", flush=True)
        status = 1
    print(f"   {time.monotonic() - started_s:.0f} s, status {status}", flush=True)
    if not output.exists():
        return 1, None
    return status, json.loads(output.read_text())


def _compare(name: str, former: typing.Any, figures: typing.Any) -> None:
    """Print the figures that changed by more than a tenth since the last results."""
    before = dict(_flatten(former)) if former is not None else {}
    for key, value in _flatten(figures):
        old = before.get(key)
        if old is None or abs(value - old) <= 0.1 * abs(old):
            continue
        print(f"   changed: {name}.{key}: {old:.4g} -> {value:.4g}", flush=True)


def _flatten(value: typing.Any, prefix: str = "") -> abc.Iterator[tuple[str, float]]:
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield prefix, float(value)
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(item, f"{prefix}.{key}" if prefix else key)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _flatten(item, f"{prefix}.{index}")


def _drop_histograms(value: typing.Any) -> typing.Any:
    """Return the results without encoded histograms, which change with each run."""
    if isinstance(value, dict):
        return {
            key: _drop_histograms(item) for key, item in value.items() if key != "hdr"
        }
    if isinstance(value, list):
        return [_drop_histograms(item) for item in value]
    return value


if __name__ == "__main__":
    sys.exit(main())
