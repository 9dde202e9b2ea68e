"""Fleet plan of the two-region scenarios; features/regions.feature has the reasons."""

from tools import fleet

CUT_S = 20.0
ZONES = (fleet.Zone("zone-a", "west"), fleet.Zone("zone-c", "east"))
TERM_S = 3.0
_SETTINGS = {
    "session": {"term_s": TERM_S},
    "batch": {"poll_interval_s": 0.5},
    "platform": {"timeout_s": 1.0},
}


def make_plan(**changes):
    """Return a plan with daemons 0, 2 and 4 in the region of the store."""
    parts = {
        "daemons": 5,
        "engines": 4,
        "zones": ZONES,
        "slots": 8,
        "token_ms": 20.0,
        "has_region_link": True,
        "daemon_settings": _SETTINGS,
        "confirm_s": 20.0,
    }
    return fleet.FleetPlan(**{**parts, **changes})
