"""The link between the two regions of a fleet, and the switch for it."""

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
    """Routes from each daemon to the addresses in the other region.

    :param regions_by_name: region of each daemon and target, and of the store, by name
    :param addresses: addresses by name
    """

    def __init__(
        self,
        plan: fleet_plan.FleetPlan,
        reserved: ports.Ports,
        regions_by_name: abc.Mapping[str, str],
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
                if regions_by_name[name] == regions_by_name[caller]:
                    continue
                side = "outward" if regions_by_name[caller] == first else "inward"
                listen = reserved.reserve_address()
                table[address] = listen
                route = f"{caller}>{name},{listen},{address},{side}"
                self.arguments += ["--route", route]

    def write_table(self, caller: str, folder: pathlib.Path) -> pathlib.Path:
        """Write the routing table of a daemon for :mod:`tools.routed`."""
        path = folder / f"{caller}.routes.json"
        path.write_text(json.dumps(self._tables[caller]))
        return path


class RegionSwitch:
    """Cuts and restores the link between the regions.

    :param link: stand-in that forwards all connections between the regions
    """

    def __init__(self, link: fleet.StandIn) -> None:
        self.link = link

    def cut(self, is_silent: bool = False) -> None:
        """Break all connections, or drop all packets without closing any."""
        self.link.set_faults(down=not is_silent, silent=is_silent)

    def restore(self) -> None:
        """Restore the link."""
        self.link.set_faults(down=False, silent=False)

    def mute(self, first: str, second: str) -> int:
        """Block the open connections between two daemons permanently.

        :returns: number of blocked connections
        """
        routes = [f"{first}>{second}", f"{second}>{first}"]
        before = self._count_muted()
        self.link.post_control("/_control/mute", {"routes": routes})
        return self._count_muted() - before

    def _count_muted(self) -> int:
        return int(self.link.record()["muted"])
