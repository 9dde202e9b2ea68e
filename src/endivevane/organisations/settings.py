"""Settings about keys of organisations."""

from __future__ import annotations

import typing

import pydantic

_Milliseconds = typing.Annotated[float, pydantic.Field(gt=0, le=3_600_000)]


class KeysSection(pydantic.BaseModel):
    """Keys of organisations.

    :param revocation_ms: time after which a key that was taken away must not work at
        any daemon, ``None`` if it may work until the daemon learns of it
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    revocation_ms: _Milliseconds | None = None

    @property
    def revocation_s(self) -> float | None:
        """The same time in seconds."""
        return None if self.revocation_ms is None else self.revocation_ms / 1000.0
