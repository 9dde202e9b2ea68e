"""Client of the platform's list of VMs, which may be out of date."""

from __future__ import annotations

import dataclasses
import enum

import result

from endivevane import exceptions, types, utils
from endivevane.external import http_pool


class VmState(enum.StrEnum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list."""

    name: str
    address: types.Address
    zone: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs at one moment.

    :param as_of_s: Unix time of the listed state
    """

    as_of_s: float
    vms: tuple[Vm, ...]


class VmListError(exceptions.EndivevaneError):
    """The list of VMs could not be read.

    :param detail: cause of the failure
    """

    def __init__(self, detail: str) -> None:
        super().__init__()
        self.detail = detail

    def format_message(self) -> str:
        """Return the cause."""
        return f"VM list: {self.detail}"


class VmListClient:
    """Reads the list of VMs.

    :param pool: connections to the VM list service
    """

    def __init__(self, pool: http_pool.HttpPool) -> None:
        self._pool = pool

    def fetch(self) -> result.Result[VmList, VmListError]:
        """Return the current list."""
        outcome = self._pool.request("GET", "/v1/vms")
        if isinstance(outcome, result.Err):
            return result.Err(VmListError(outcome.err_value.format_message()))
        response = outcome.ok_value
        if response.status != 200:
            return result.Err(VmListError(f"status {response.status}"))
        body = utils.decode_json(response.body)
        vms = [
            Vm(
                item["name"],
                types.parse_address(item["address"]),
                item["zone"],
                VmState(item["state"]),
            )
            for item in body["vms"]
        ]
        return result.Ok(VmList(body["as_of_s"], tuple(vms)))
