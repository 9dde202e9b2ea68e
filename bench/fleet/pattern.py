"""Patterns of load for the model of the fleet, read from TOML."""

from __future__ import annotations

import enum
import pathlib
import tomllib

import pydantic


class View(enum.StrEnum):
    """How daemons know the loads that all of them put on targets."""

    REPORTS = "reports"
    COORDINATED = "coordinated"
    PERFECT = "perfect"


class Pattern(pydantic.BaseModel):
    """A fleet and the load on it.

    :param daemons: daemons of each region
    :param targets: targets of each region
    :param zones: availability zones of each region, which take turns
    :param rate_per_s: mean rate of requests of all regions together
    :param low: share of the mean rate between pulses
    :param high: share of the mean rate in a pulse
    :param low_s: time between pulses
    :param high_s: length of a pulse
    :param hold_s: mean time that a request holds its place
    :param hold_spread: standard deviation of that time, as a share of it
    :param start_s: time from a place to the first event at a target with a free slot
    :param objective_s: time within which the first event is on time
    :param region_delay_s: one way between two regions
    :param items_per_s: batch items that arrive
    :param item_hold_s: time for which an item has to run, in one run or several
    :param item_due_s: time after its arrival at which an item is due
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str
    daemons: tuple[int, ...]
    targets: tuple[int, ...]
    zones: int = pydantic.Field(default=3, ge=1)
    slots: int = pydantic.Field(default=8, ge=1)
    rate_per_s: float = pydantic.Field(gt=0)
    low: float = pydantic.Field(gt=0)
    high: float = pydantic.Field(gt=0)
    low_s: float = pydantic.Field(gt=0)
    high_s: float = pydantic.Field(gt=0)
    hold_s: float = pydantic.Field(gt=0)
    hold_spread: float = pydantic.Field(default=0.25, ge=0)
    start_s: float = pydantic.Field(gt=0)
    objective_s: float = pydantic.Field(gt=0)
    region_delay_s: float = pydantic.Field(ge=0)
    items_per_s: float = pydantic.Field(default=0.0, ge=0)
    item_hold_s: float = pydantic.Field(default=4.0, gt=0)
    item_due_s: float = pydantic.Field(default=18.0, gt=0)
    duration_s: float = pydantic.Field(gt=0)

    def find_rate(self, now_s: float) -> float:
        """Return the rate of requests at a time."""
        phase_s = now_s % (self.low_s + self.high_s)
        return self.rate_per_s * (self.low if phase_s < self.low_s else self.high)


def load_pattern(path: pathlib.Path) -> Pattern:
    """Return a pattern.

    :raises pydantic.ValidationError: when a value is missing or out of range
    """
    return Pattern.model_validate(tomllib.loads(path.read_text()))
