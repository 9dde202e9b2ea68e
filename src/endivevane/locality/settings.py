"""Settings about leaving the availability zone and the region."""

from __future__ import annotations

import typing

import pydantic

_MS_PER_S = 1_000.0
_BITS_PER_MBIT = 1_000_000.0
_Milliseconds = typing.Annotated[float, pydantic.Field(ge=0, le=10_000)]
_MbitPerS = typing.Annotated[float, pydantic.Field(gt=0, le=1_000_000)]
_CallerSeconds = typing.Annotated[float, pydantic.Field(ge=0, le=100_000_000)]


class LocalitySection(pydantic.BaseModel):
    """When requests leave their zone or region.

    :param enabled: whether loads, delays and bytes decide, instead of constants
    :param zone_delay_ms: one-way delay between two zones of a region
    :param region_delay_ms: one-way delay between two regions
    :param vm_mbit_per_s: bandwidth of the VM, ``None`` if unknown
    :param region_mbit_per_s: bandwidth between two regions, for all daemons
    :param zone_gb_caller_s: seconds that callers may wait in total to keep a gigabyte
        from going between zones
    :param region_gb_caller_s: the same between regions
    :param batch_s_value: what a second of a batch item is worth, in seconds of a caller
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    enabled: bool = False
    zone_delay_ms: _Milliseconds = 1.0
    region_delay_ms: _Milliseconds = 20.0
    vm_mbit_per_s: _MbitPerS | None = None
    region_mbit_per_s: _MbitPerS = 30.0
    zone_gb_caller_s: _CallerSeconds = 1_000.0
    region_gb_caller_s: _CallerSeconds = 2_000.0
    batch_s_value: typing.Annotated[float, pydantic.Field(gt=0, le=1)] = 0.2

    @property
    def zone_delay_s(self) -> float:
        """One-way delay between two zones."""
        return self.zone_delay_ms / _MS_PER_S

    @property
    def region_delay_s(self) -> float:
        """One-way delay between two regions."""
        return self.region_delay_ms / _MS_PER_S

    @property
    def region_bits_per_s(self) -> float:
        """Bandwidth between two regions."""
        return self.region_mbit_per_s * _BITS_PER_MBIT

    @property
    def vm_bits_per_s(self) -> float:
        """Bandwidth of the VM, 0 if unknown."""
        return (self.vm_mbit_per_s or 0.0) * _BITS_PER_MBIT
