"""Updates that wait to be piggybacked on messages."""

from __future__ import annotations

import dataclasses
import math

from endivevane.coordination import members


@dataclasses.dataclass(slots=True)
class _Entry:
    update: members.Update
    sent: int = 0


class UpdateQueue:
    """Newest update per member, each handed out a bounded number of times.

    :param multiplier: transmissions of an update per binary digit of the cluster size
    :param max_entries: updates that may wait; those sent most often are dropped first
    """

    def __init__(self, multiplier: int = 3, max_entries: int = 512) -> None:
        self._multiplier = multiplier
        self._max_entries = max_entries
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def has_fresh(self) -> bool:
        """Tell whether an update has never been sent."""
        return any(entry.sent == 0 for entry in self._entries.values())

    def put(self, update: members.Update) -> None:
        """Queue an update in place of an earlier one about the same member."""
        self._entries.pop(update.name, None)
        if len(self._entries) >= self._max_entries:
            most_sent = max(self._entries.values(), key=lambda entry: entry.sent)
            del self._entries[most_sent.update.name]
        self._entries[update.name] = _Entry(update)

    def take(self, count: int, cluster_size: int) -> tuple[members.Update, ...]:
        """Return the updates sent least often and count them as sent.

        :param count: how many at most
        :param cluster_size: number of members, for the bound on transmissions
        """
        if not self._entries:
            return ()
        limit = self._multiplier * math.ceil(math.log2(cluster_size + 2))
        chosen = sorted(self._entries.values(), key=lambda entry: entry.sent)[:count]
        for entry in chosen:
            entry.sent += 1
            if entry.sent >= limit:
                del self._entries[entry.update.name]
        return tuple(entry.update for entry in chosen)
