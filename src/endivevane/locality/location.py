"""Where a daemon is, and how far it is from there to a target."""

from __future__ import annotations

import dataclasses
import enum
from collections import abc


class Reach(enum.StrEnum):
    """How far a request goes; the values are metric labels and log fields."""

    ZONE = "zone"
    OTHER_ZONE = "other_zone"
    OTHER_REGION = "other_region"


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """The location of a daemon.

    :param regions: region of each availability zone
    """

    availability_zone: str
    region: str
    regions: abc.Mapping[str, str]

    def is_cross_region(self, zone: str) -> bool:
        """Whether a zone is in another region."""
        return self.regions.get(zone) != self.region

    def find_reach(self, zone: str, from_zone: str = "") -> Reach:
        """Return how far it is to a zone.

        :param from_zone: zone of this region from which a request goes, empty for this
            daemon's
        """
        if zone == (from_zone or self.availability_zone):
            return Reach.ZONE
        if self.is_cross_region(zone):
            return Reach.OTHER_REGION
        return Reach.OTHER_ZONE
