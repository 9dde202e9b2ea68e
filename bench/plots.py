"""Plots of the measurements."""

from __future__ import annotations

import pathlib
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot


def draw(results: dict[str, typing.Any], folder: pathlib.Path) -> None:
    """Draw a plot for each measurement that is in the results."""
    if "isolation" in results:
        _draw_isolation(results["isolation"], folder / "isolation.png")
    if "retries" in results:
        _draw_retries(results["retries"], folder / "retries.png")
    if "members" in results:
        _draw_members(results["members"], folder / "members.png")


def _draw_isolation(figures: dict[str, typing.Any], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    labels, values = [], []
    for case, runs in figures["results"].items():
        for name, run in runs.items():
            labels.append(f"{case}\n{name}")
            values.append(run["first_token_p95_ms"])
    axes.bar(labels, values)
    axes.set_yscale("log")
    axes.set_ylabel("first token p95, ms")
    axes.tick_params(axis="x", labelsize=7)
    _save(figure, path)


def _draw_retries(figures: dict[str, typing.Any], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    rows = figures["results"]
    shares = [row["failing_share"] * 100 for row in rows]
    for key, label in (("budget", "with budget"), ("no_budget", "without")):
        sends = [row[key]["sends_per_request"] for row in rows]
        axes.plot(shares, sends, marker="o", label=label)
    axes.axhline(1.2, color="grey", linestyle=":", label="target")
    axes.set_xlabel("failing attempts, %")
    axes.set_ylabel("sends per request")
    axes.legend()
    _save(figure, path)


def _draw_members(figures: dict[str, typing.Any], path: pathlib.Path) -> None:
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    rows = figures["rows"]
    sizes = [row["members"] for row in rows]
    for key, label in (
        ("bytes_per_s", "bytes a second"),
        ("messages_per_s", "messages a second"),
    ):
        axes.plot(sizes, [row[key] for row in rows], marker="o", label=label)
    axes.set_xlabel("members")
    axes.set_yscale("log")
    axes.legend()
    _save(figure, path)


def _save(figure: typing.Any, path: pathlib.Path) -> None:
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
