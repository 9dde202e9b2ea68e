"""Queue of membership updates to piggyback on messages."""

from __future__ import annotations

import collections
import dataclasses
import math

from endivevane.coordination import members


@dataclasses.dataclass(slots=True)
class _Entry:
    update: members.Update
    sent: int = 0


class UpdateQueue:
    """Newest update per member, each transmitted a bounded number of times.

    Updates that were never sent go first, in FIFO order; the others rotate.

    :param multiplier: transmissions of an update per binary digit of the cluster size
    :param max_entries: capacity; the oldest sent update is dropped first
    """

    def __init__(self, multiplier: int = 3, max_entries: int = 1024) -> None:
        self._multiplier = multiplier
        self._max_entries = max_entries
        self._unsent: collections.OrderedDict[str, _Entry] = collections.OrderedDict()
        self._sent: collections.OrderedDict[str, _Entry] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._unsent) + len(self._sent)

    def has_unsent(self) -> bool:
        """Return whether any update has never been sent."""
        return bool(self._unsent)

    def put(self, update: members.Update) -> None:
        """Queue an update, replacing an earlier one about the same member."""
        self._unsent.pop(update.name, None)
        self._sent.pop(update.name, None)
        self._unsent[update.name] = _Entry(update)
        if len(self) > self._max_entries:
            (self._sent or self._unsent).popitem(last=False)

    def take(
        self, count: int, cluster_size: int, copies: int = 1
    ) -> tuple[members.Update, ...]:
        """Return the next updates and count them as sent.

        :param count: maximum number of updates
        :param cluster_size: number of members, for the bound on transmissions
        :param copies: number of members that they are sent to
        """
        if not self._unsent and not self._sent:
            return ()
        limit = self._multiplier * math.ceil(math.log2(cluster_size + 2))
        taken: list[members.Update] = []
        for _ in range(min(count, len(self))):
            name, entry = (self._unsent or self._sent).popitem(last=False)
            taken.append(entry.update)
            entry.sent += copies
            if entry.sent < limit:
                self._sent[name] = entry
        return tuple(taken)
