"""Bars: a measured value, its target and whether the target holds."""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Bar:
    """A value that must not exceed its target.

    :param unit: unit of value and target, for the printed line
    """

    name: str
    value: float
    target: float
    unit: str = ""

    @property
    def holds(self) -> bool:
        """Whether the value is within the target."""
        return self.value <= self.target

    def format_line(self) -> str:
        """Return one line: verdict, name, value and target."""
        verdict = "holds" if self.holds else "DOES NOT HOLD"
        unit = f" {self.unit}" if self.unit else ""
        return (
            f"{verdict:13}  {self.name}: {self.value:.3f}{unit}"
            f" (target at most {self.target:g}{unit})"
        )

    def describe(self) -> dict[str, typing.Any]:
        """Return the bar as a JSON object."""
        return {**dataclasses.asdict(self), "holds": self.holds}


def run_main(
    run: abc.Callable[[], dict[str, typing.Any]], description: str | None
) -> int:
    """Run a measurement as a program and return its exit status.

    :param run: returns the figures with the key ``bars``
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--output", type=pathlib.Path, help="JSON file for the figures")
    return finish(run(), parser.parse_args().output)


def finish(figures: dict[str, typing.Any], output: pathlib.Path | None) -> int:
    """Write the figures and return 1 when a bar does not hold."""
    if output is not None:
        output.write_text(json.dumps(figures, indent=2) + "\n")
    return 0 if all(bar["holds"] for bar in figures["bars"]) else 1


def print_bars(bars: list[Bar]) -> bool:
    """Print all bars and return whether all hold."""
    for bar in bars:
        print(bar.format_line(), flush=True)
    return all(bar.holds for bar in bars)
