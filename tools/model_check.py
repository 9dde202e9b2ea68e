"""Check the Promela models in ``spec/`` with spin.

A model whose file name ends in ``_broken`` deliberately omits a safeguard; spin must
find an error in it.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TIMEOUT_S = 300


def main() -> int:
    """Check every model and return the exit status."""
    failures = 0
    for model in sorted((_ROOT / "spec").glob("*.pml")):
        errors, states = _check(model)
        expected_errors = model.stem.endswith("_broken")
        is_expected = (errors > 0) == expected_errors
        failures += not is_expected
        verdict = "as expected" if is_expected else "NOT as expected"
        print(f"model {model.name}: errors={errors} states={states} {verdict}")
    return 1 if failures else 0


def _check(model: pathlib.Path) -> tuple[int, int]:
    """Return the numbers of errors and of states that spin found."""
    with tempfile.TemporaryDirectory() as folder:
        _run(["spin", "-a", str(model)], folder)
        _run(["cc", "-O2", "-DSAFETY", "-o", "pan", "pan.c"], folder)
        output = _run(["./pan", "-m200000", "-w24"], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    if errors is None or states is None or "max search depth too small" in output:
        raise RuntimeError(
            f"spin did not complete the check of {model.name}:\n{output}"
        )
    return int(errors.group(1)), int(states.group(1))


def _run(command: list[str], folder: str) -> str:
    run = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    return run.stdout + run.stderr


if __name__ == "__main__":
    sys.exit(main())
