"""Least-squares lines through measured points."""

from __future__ import annotations

from collections import abc


def fit(points: abc.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


def compute_residual(
    points: abc.Sequence[tuple[float, float]], line: tuple[float, float]
) -> float:
    """Return the largest distance of a point from the line."""
    intercept, slope = line
    return max(abs(y - intercept - slope * x) for x, y in points)
