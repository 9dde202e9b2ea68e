"""Starts a complete fleet: platform, engines, plain services, daemons, balancer."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import typing
import urllib.request

from tools import fleet_plan, ports, processes, regions, toml_text

FleetPlan = fleet_plan.FleetPlan
Zone = fleet_plan.Zone
_CTL_OK = 0
_CTL_NOT_CONFIRMED = 6
_CTL_TIMEOUT_S = 60.0


class Member:
    """A process of the fleet.

    :param name: also the name of its log file
    :param zone: availability zone
    :param address: ``host:port`` for calls
    """

    def __init__(
        self, process: processes.Process, name: str, zone: str, address: str
    ) -> None:
        self.process = process
        self.name = name
        self.zone = zone
        self.address = address

    @property
    def url(self) -> str:
        """Base URL for calls."""
        return f"http://{self.address}"

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.process.kill()

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.process.pause()

    def resume(self) -> None:
        """Resume a paused process."""
        self.process.resume()

    def terminate(self) -> None:
        """Send SIGTERM to the process without waiting for it to exit."""
        self.process.terminate()


class StandIn(Member):
    """A stand-in with control routes for its faults and its record.

    :param control: ``host:port`` that stays open while the stand-in is down
    """

    def __init__(
        self,
        process: processes.Process,
        name: str,
        zone: str,
        address: str,
        control: str,
    ) -> None:
        super().__init__(process, name, zone, address)
        self.control = control

    def set_faults(self, **faults: typing.Any) -> None:
        """Set fault switches, for example ``set_faults(down=True)``."""
        self.post_control("/_control/faults", faults)

    def record(self) -> dict[str, typing.Any]:
        """Return the stand-in's record of the operations that took effect."""
        with urllib.request.urlopen(f"http://{self.control}/_record") as response:
            record: dict[str, typing.Any] = json.load(response)
        return record

    def post_control(self, path: str, body: dict[str, typing.Any]) -> None:
        """Send a JSON body to a control route."""
        request = urllib.request.Request(
            f"http://{self.control}{path}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request) as response:
            response.read()

    def restart(self) -> None:
        """Restart the process on the same addresses, with an empty record."""
        self.process.end()
        self.process.start()
        self.process.wait_for_url(f"http://{self.control}/_record")


class Daemon(Member):
    """A daemon and its settings file."""

    def __init__(
        self,
        process: processes.Process,
        name: str,
        zone: str,
        address: str,
        settings_path: pathlib.Path,
    ) -> None:
        super().__init__(process, name, zone, address)
        self.settings_path = settings_path

    def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until ``/readyz`` returns 200."""
        self.process.wait_for_url(f"{self.url}/readyz", timeout_s)

    def restart(self, timeout_s: float = 30.0) -> None:
        """Restart the daemon on the same addresses and wait until it is ready."""
        self.process.end()
        self.process.start()
        self.wait_ready(timeout_s)


class Fleet:
    """A running fleet; use it as a context manager or call :meth:`close`.

    :param plan: what to start
    :param folder: for logs and files; a temporary folder when ``None``
    """

    def __init__(self, plan: FleetPlan, folder: pathlib.Path | None = None) -> None:
        self.plan = plan
        self.engines: list[StandIn] = []
        self.services: list[StandIn] = []
        self.daemons: list[Daemon] = []
        self.store_links: list[StandIn] = []
        self.balancer: StandIn | None = None
        self.regions: regions.RegionSwitch | None = None
        self._routes: regions.Routes | None = None
        self._ports = ports.Ports()
        self._processes = processes.Processes(folder)
        self.folder = self._processes.folder
        self.documents = self.folder / "documents"
        self.operator_key = fleet_plan.OPERATOR_KEY
        self.store: StandIn

    def __enter__(self) -> typing.Self:
        self.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def start(self) -> None:
        """Start everything and wait until every daemon is ready."""
        try:
            self.start_stand_ins()
            if self.plan.daemons:
                self.publish()
                self.start_daemons()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Stop all processes and release the ports."""
        self._processes.close()
        self._ports.release()

    def keep_logs(self, name: str) -> pathlib.Path:
        """Copy the logs to a new folder that outlives the fleet, and return it."""
        return self._processes.keep_logs(name)

    def caller_key(self, organisation: str | None = None) -> str:
        """Return an API key of an organisation, the first one by default."""
        return fleet_plan.caller_key(organisation or self.plan.organisations[0])

    def start_stand_ins(self) -> None:
        """Start platform, engines and services, and write the documents."""
        plan = self.plan
        self.store = self._start_stand_in(
            "platform", "platform", "", plan.platform_arguments
        )
        engine_arguments = ["--model", plan.model, "--slots", str(plan.slots)]
        engine_arguments += ["--token-ms", str(plan.token_ms)]
        engine_arguments += ["--prefill-ms", str(plan.prefill_ms)]
        if plan.loads_weights:
            engine_arguments += ["--weights", self.store.address]
        engine_arguments += plan.engine_arguments
        for index in range(plan.engines):
            zone = plan.zone_of(index).name
            arguments = (*engine_arguments, "--seed", str(index + 1))
            name = f"engine-{index}"
            self.engines.append(self._start_stand_in("engine", name, zone, arguments))
        for index in range(plan.services):
            zone = plan.zone_of(index).name
            name = f"service-{index}"
            self.services.append(
                self._start_stand_in("service", name, zone, plan.service_arguments)
            )
        for member in (self.store, *self.engines, *self.services):
            member.process.wait_for_line("listening")
        fleet_plan.write_documents(
            self.documents,
            plan,
            [_plan_target(item) for item in self.engines],
            [_plan_target(item) for item in self.services],
        )

    def publish(self, wait_s: float = 0.0) -> bool:
        """Publish the files in :attr:`documents`.

        :param wait_s: time to wait for the zones to confirm
        :returns: whether all zones have confirmed
        """
        run = self.run_ctl("publish", str(self.documents), "--wait-s", str(wait_s))
        if run.returncode not in (_CTL_OK, _CTL_NOT_CONFIRMED):
            raise RuntimeError(f"publish failed: {run.stdout}{run.stderr}")
        return run.returncode == _CTL_OK

    def run_ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``endivevanectl`` and return its output and exit code."""
        path = self.folder / "ctl.toml"
        settings = {
            "table_service": self.store.address,
            "daemons": [daemon.address for daemon in self.daemons],
            "operator_key": self.operator_key,
            "caller_key": self.caller_key(),
        }
        path.write_text(toml_text.render(settings))
        command = [sys.executable, "-m", "endivevane.ctl.main", "--config", str(path)]
        return subprocess.run(
            [*command, *arguments],
            capture_output=True,
            text=True,
            timeout=_CTL_TIMEOUT_S,
            check=False,
        )

    def start_daemons(self) -> None:
        """Start the daemons and the balancer; wait until all daemons are ready."""
        plan = self.plan
        keys = fleet_plan.make_key_sections(plan)
        listen_addresses = [self._ports.reserve_address() for _ in range(plan.daemons)]
        cluster_addresses = [self._ports.reserve_address() for _ in range(plan.daemons)]
        if plan.has_store_links:
            for index in range(plan.daemons):
                name = f"store-link-{index}"
                self.store_links.append(self.start_link(name, self.store.address))
        if plan.has_region_link:
            self._start_region_link(cluster_addresses)
        for index in range(plan.daemons):
            addresses = {
                "listen": listen_addresses[index],
                "cluster_listen": cluster_addresses[index],
                "platform": self._find_store_address(index),
                "seeds": [
                    item
                    for item in cluster_addresses
                    if item != cluster_addresses[index]
                ],
                "keys": keys[index],
            }
            settings = fleet_plan.make_settings(plan, index, addresses)
            path = self.folder / f"daemon-{index}.toml"
            path.write_text(toml_text.render(settings))
        self._publish_vms(listen_addresses)
        for index in range(plan.daemons):
            self.daemons.append(self._start_daemon(index, listen_addresses[index]))
        for daemon in self.daemons:
            daemon.wait_ready(plan.ready_timeout_s)
        if plan.confirm_s and not self.publish(plan.confirm_s):
            raise RuntimeError("a zone did not confirm the configuration")
        if plan.has_balancer:
            self.start_balancer(listen_addresses)

    def start_balancer(self, addresses: typing.Iterable[str]) -> None:
        """Start a balancer in front of some addresses."""
        arguments = [text for item in addresses for text in ("--backend", item)]
        self.balancer = self._start_stand_in("balancer", "balancer", "", arguments)
        self.balancer.process.wait_for_line("listening")

    def start_link(
        self, name: str, target: str, arguments: typing.Iterable[str] = ()
    ) -> StandIn:
        """Start a link that forwards connections to an address.

        :param arguments: additional arguments of ``standins.link``
        """
        link = self._start_stand_in("link", name, "", ("--to", target, *arguments))
        link.process.wait_for_line("listening")
        return link

    def set_vms(self, states: dict[str, str] | None = None) -> None:
        """Publish the list of VMs, which becomes visible after the platform's lag.

        :param states: states by VM name, for those that are not ``live``
        """
        members: list[Member] = [*self.daemons, *self.engines, *self.services]
        vms = [
            _make_vm(item.name, item.address, item.zone, (states or {}).get(item.name))
            for item in members
        ]
        self.store.post_control("/_control/vms", {"vms": vms})

    def _find_store_address(self, index: int) -> str:
        member = self.store_links[index] if self.store_links else self.store
        return member.address

    def _publish_vms(self, listen_addresses: list[str]) -> None:
        vms = [
            _make_vm(f"daemon-{index}", listen, self.plan.zone_of(index).name)
            for index, listen in enumerate(listen_addresses)
        ]
        vms += [
            _make_vm(item.name, item.address, item.zone)
            for item in (*self.engines, *self.services)
        ]
        self.store.post_control("/_control/vms", {"vms": vms, "at_once": True})

    def _start_region_link(self, cluster_addresses: list[str]) -> None:
        """Start the link that carries all traffic between the regions."""
        plan = self.plan
        regions_by_zone = {zone.name: zone.region for zone in plan.zones}
        addresses = {"store": self.store.address}
        regions_by_name = {"store": plan.zones[0].region}
        for item in (*self.engines, *self.services):
            addresses[item.name] = item.address
            regions_by_name[item.name] = regions_by_zone[item.zone]
        for index, address in enumerate(cluster_addresses):
            addresses[f"daemon-{index}"] = address
            regions_by_name[f"daemon-{index}"] = plan.zone_of(index).region
        self._routes = regions.Routes(plan, self._ports, regions_by_name, addresses)
        link = self._start_stand_in(
            "region_link", "region-link", "", self._routes.arguments
        )
        link.process.wait_for_line("listening")
        self.regions = regions.RegionSwitch(link)

    def _start_daemon(self, index: int, listen: str) -> Daemon:
        name = f"daemon-{index}"
        path = self.folder / f"{name}.toml"
        module, arguments = "endivevane.daemon.main", ["--config", str(path)]
        if self._routes is not None:
            table = self._routes.write_table(name, self.folder)
            module, arguments = "tools.routed", [str(table), module, *arguments]
        process = self._processes.start(module, arguments, name)
        return Daemon(process, name, self.plan.zone_of(index).name, listen, path)

    def _start_stand_in(
        self, module: str, name: str, zone: str, arguments: typing.Iterable[str]
    ) -> StandIn:
        address = self._ports.reserve_address()
        control = self._ports.reserve_address()
        command = ["--listen", address, "--control", control, "--name", name]
        process = self._processes.start(
            f"standins.{module}", [*command, *arguments], name
        )
        return StandIn(process, name, zone, address, control)


def _make_vm(
    name: str, address: str, zone: str, state: str | None = None
) -> dict[str, str]:
    return {"name": name, "address": address, "zone": zone, "state": state or "live"}


def _plan_target(member: Member) -> fleet_plan.PlannedTarget:
    return fleet_plan.PlannedTarget(member.name, member.address, member.zone)
