"""The link between the two regions of a fleet, and the switches for it."""

from __future__ import annotations

import json
import pathlib
import typing
from collections import abc

from tools import fleet_plan, ports

if typing.TYPE_CHECKING:
    from tools import fleet

LATENCY_MS = 20.0
RATE_MBIT_S = 15.0


class Routes:
    """Routes of every daemon to the addresses of the other region.

    :param places: region by name of each daemon and target, the store included
    :param addresses: addresses by name
    """

    def __init__(
        self,
        plan: fleet_plan.FleetPlan,
        reserved: ports.Ports,
        places: abc.Mapping[str, str],
        addresses: abc.Mapping[str, str],
    ) -> None:
        self.arguments: list[str] = ["--latency-ms", str(LATENCY_MS)]
        self.arguments += ["--mbit-s", str(RATE_MBIT_S)]
        self._tables: dict[str, dict[str, str]] = {}
        first = plan.zones[0].region
        for index in range(plan.daemons):
            caller = f"daemon-{index}"
            table = self._tables.setdefault(caller, {})
            for name, address in addresses.items():
                if places[name] == places[caller]:
                    continue
                side = "outward" if places[caller] == first else "inward"
                listen = reserved.reserve_address()
                table[address] = listen
                route = f"{caller}>{name},{listen},{address},{side}"
                self.arguments += ["--route", route]

    def write_table(self, caller: str, folder: pathlib.Path) -> pathlib.Path:
        """Write the table of a daemon, see :mod:`tools.routed`."""
        path = folder / f"{caller}.routes.json"
        path.write_text(json.dumps(self._tables[caller]))
        return path


class RegionSwitch:
    """Cuts the regions from each other and brings the link back.

    :param link: the process that passes all connections between the regions
    """

    def __init__(self, link: fleet.StandIn) -> None:
        self.link = link

    def cut(self, is_silent: bool = False) -> None:
        """Break everything, or lose all packets without closing anything."""
        self.link.set_faults(down=not is_silent, silent=is_silent)

    def restore(self) -> None:
        """Let everything pass again."""
        self.link.set_faults(down=False, silent=False)

    def mute(self, first: str, second: str) -> int:
        """Silence the connections that are open between two daemons for good.

        :returns: how many there were
        """
        routes = [f"{first}>{second}", f"{second}>{first}"]
        before = self._count_muted()
        self.link.post_control("/_control/mute", {"routes": routes})
        return self._count_muted() - before

    def _count_muted(self) -> int:
        return int(self.link.record()["muted"])
