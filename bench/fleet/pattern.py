"""Load patterns for the fleet simulation, read from TOML."""

from __future__ import annotations

import enum
import pathlib
import tomllib

import pydantic


class View(enum.StrEnum):
    """Source of a daemon's view of the load on targets.

    :cvar REPORTS: load reports from the other daemons
    :cvar COORDINATED: the coordinator of the region
    :cvar PERFECT: the true load, without delay
    """

    REPORTS = "reports"
    COORDINATED = "coordinated"
    PERFECT = "perfect"


class Uneven(enum.StrEnum):
    """Which parts of the fleet have their bursts at different times."""

    NONE = "none"
    ZONES = "zones"
    REGIONS = "regions"


class Pattern(pydantic.BaseModel):
    """A fleet and its load.

    :param daemons: number of daemons per region
    :param targets: number of targets per region
    :param zones: availability zones per region, assigned round robin
    :param rate_per_s: mean request rate over all regions
    :param low: factor on the rate between bursts
    :param high: factor on the rate during a burst
    :param low_s: time between bursts
    :param high_s: length of a burst
    :param hold_s: mean time for which a request occupies a slot
    :param hold_spread: standard deviation of ``hold_s``, as a share of it
    :param uneven: what has its bursts in turn
    :param start_s: time from start to first event at a target with a free slot
    :param objective_s: objective for the time to the first event
    :param region_delay_s: one-way delay between two regions
    :param items_per_s: arrival rate of batch items
    :param item_hold_s: mean total run time of an item over all its runs
    :param item_due_s: deadline of an item, counted from its arrival
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
    uneven: Uneven = Uneven.NONE
    start_s: float = pydantic.Field(gt=0)
    objective_s: float = pydantic.Field(gt=0)
    region_delay_s: float = pydantic.Field(ge=0)
    items_per_s: float = pydantic.Field(default=0.0, ge=0)
    item_hold_s: float = pydantic.Field(default=4.0, gt=0)
    item_due_s: float = pydantic.Field(default=18.0, gt=0)
    duration_s: float = pydantic.Field(gt=0)

    def find_rate(self, now_s: float, offset: float = 0.0) -> float:
        """Return the request rate at a time.

        :param offset: by which share of their period bursts come earlier
        """
        period_s = self.low_s + self.high_s
        phase_s = (now_s + offset * period_s) % period_s
        return self.rate_per_s * (self.low if phase_s < self.low_s else self.high)

    def find_offset(self, region: int, zone: int) -> float:
        """Return by which share of their period a zone's bursts come earlier."""
        regions = len(self.daemons)
        if self.uneven is Uneven.ZONES:
            return (region * self.zones + zone) / (regions * self.zones)
        if self.uneven is Uneven.REGIONS:
            return region / regions
        return 0.0


def load_pattern(path: pathlib.Path) -> Pattern:
    """Read a pattern from a TOML file.

    :raises pydantic.ValidationError: when a value is missing or out of range
    """
    return Pattern.model_validate(tomllib.loads(path.read_text()))
