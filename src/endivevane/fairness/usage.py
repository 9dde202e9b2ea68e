"""How many slots of a service an organisation uses."""

from __future__ import annotations

import dataclasses
import math

# Time over which slots held earlier still count: several times what a request holds one
# for, so that an organisation between two grants is not taken for one without any.
_MEAN_S = 2.0


@dataclasses.dataclass(slots=True)
class Usage:
    """The slots that an organisation holds, and has lately held.

    :ivar held: slots held now
    """

    held: int = 0
    _mean: float = 0.0
    _updated_s: float = 0.0

    def change(self, difference: int, now_s: float) -> None:
        """Count slots that are granted, or that have been freed."""
        self._mean = self._measure_mean(now_s)
        self._updated_s = max(now_s, self._updated_s)
        self.held = max(0, self.held + difference)

    def measure(self, now_s: float) -> float:
        """Return the slots in use: those held now, or the mean if that is more."""
        if self._mean <= self.held:
            return self.held
        return self._measure_mean(now_s)

    def _measure_mean(self, now_s: float) -> float:
        """Return the slots held, averaged over the last seconds."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self.held + (self._mean - self.held) * math.exp(-elapsed_s / _MEAN_S)
