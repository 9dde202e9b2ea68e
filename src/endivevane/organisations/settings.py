"""Settings about keys of organisations."""

from __future__ import annotations

import typing

import pydantic

# Share of the time to a revocation for which a poll of the configuration may last: a
# copy is as old as the last poll that has ended, which is up to two polls.
_POLL_SHARE = 0.15
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

    def find_poll_wait_s(self, longest_s: float) -> float:
        """Return how long the store may hold a poll of the configuration.

        :param longest_s: the time where keys may work until a daemon learns otherwise
        """
        limit_s = self.revocation_s
        return longest_s if limit_s is None else min(longest_s, _POLL_SHARE * limit_s)
