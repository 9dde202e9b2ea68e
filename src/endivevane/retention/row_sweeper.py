"""Base class of the sweepers that process each row of a table independently."""

from __future__ import annotations

import abc

from endivevane.coordination import store
from endivevane.retention import decisions, platform_calls, shards


class RowSweeper(abc.ABC):
    """Runs the retention steps that are due for each row of a shard.

    :param calls: rate-limited store calls
    :param policy: decides which step is due
    """

    def __init__(
        self, calls: platform_calls.PlatformCalls, policy: decisions.Policy
    ) -> None:
        self._calls = calls
        self._policy = policy

    def sweep(self, shard: shards.Shard) -> None:
        """Run the steps that are due for all rows of a shard."""
        for row in self._calls.scan(shard):
            self.advance(row)

    @abc.abstractmethod
    def advance(self, row: store.Row) -> None:
        """Run the steps that are due for a row."""
