"""Getting places for batch items, by this daemon's view or from the coordinator."""

from __future__ import annotations

import time
import typing
from collections import abc

from endivevane.serving import (
    item_estimates,
    load_table,
    slot_client,
    slot_registry,
    target_selection,
)

# Items that a daemon starts in one round at most, and the shortest time between rounds.
MAX_STARTS_PER_ROUND = 4
MIN_ROUND_INTERVAL_S = 0.04
# The longest time between rounds where the coordinator tells of places as they come.
_LONGEST_ROUND_S = 0.15
# Items do not return to a target for this long after some have left it.
COOLDOWN_S = 0.5


class BatchSlots:
    """Gets and frees the places of this daemon's items.

    :param client: asks the coordinator, ``None`` where there is none
    """

    def __init__(
        self,
        choices: target_selection.TargetSelector,
        board: load_table.LoadTable,
        book: slot_registry.SlotRegistry,
        client: slot_client.SlotClient | None = None,
    ) -> None:
        self._choices = choices
        self._board = board
        self._book = book
        self._client = client
        # Target -> monotonic time at which items last left it for online requests.
        self._yielded_s: dict[str, float] = {}

    @property
    def is_coordinated(self) -> bool:
        """Whether another daemon gives out the places and says which items leave."""
        return self._client is not None and self._client.is_active

    @property
    def round_interval_s(self) -> float:
        """Time between two rounds; what is known of the loads is as old."""
        if self.is_coordinated:
            return _LONGEST_ROUND_S
        return max(MIN_ROUND_INTERVAL_S, self._board.same_region_age_s)

    def begin_round(self, waiting: abc.Mapping[str, int]) -> SlotRound:
        """Return where the items of one round get their places.

        :param waiting: items that could start, by service
        """
        now_s = time.monotonic()
        self._choices.record_peaks(now_s)
        if self._client is None:
            return _OwnViewRound(self._choices, self._book, self._list_resting(now_s))
        self._client.refresh_batch(waiting if self._client.is_active else {})
        if self._client.is_active:
            return _CoordinatedRound(self._client)
        return _OwnViewRound(self._choices, self._book, self._list_resting(now_s))

    def record_preemption(self, target_id: str) -> None:
        """Note that items leave a target for online requests."""
        self._yielded_s[target_id] = time.monotonic()

    def release(self, place: slot_registry.Slot, hold_s: float) -> None:
        """Give a place back.

        :param hold_s: how long the item held it
        """
        self._book.close(place)
        if self._client is not None and place.coordinator:
            self._client.end(place, hold_s)

    def _list_resting(self, now_s: float) -> frozenset[str]:
        """Return the targets that items have left a moment ago."""
        for target_id, yielded_s in list(self._yielded_s.items()):
            if now_s - yielded_s > COOLDOWN_S:
                del self._yielded_s[target_id]
        return frozenset(self._yielded_s)


class SlotRound(typing.Protocol):
    """Places for the items that a daemon starts at one moment."""

    def find(
        self, service: str, urgency: item_estimates.Urgency, due_left_s: float
    ) -> slot_registry.Slot | None:
        """Return a place for an item, ``None`` if there is none now.

        :param due_left_s: time until the item is due
        """


class _OwnViewRound:
    """Takes places by what this daemon knows of the loads."""

    def __init__(
        self,
        choices: target_selection.TargetSelector,
        book: slot_registry.SlotRegistry,
        resting: frozenset[str],
    ) -> None:
        self._choices = choices
        self._book = book
        self._resting = resting
        self._full: set[str] = set()
        # (service, whether urgent) -> items that may still start.
        self._budgets: dict[tuple[str, bool], int] = {}
        self._starts = 0

    def find(
        self, service: str, urgency: item_estimates.Urgency, due_left_s: float
    ) -> slot_registry.Slot | None:
        """Return a place for an item, ``None`` if there is none now."""
        now_s = time.monotonic()
        is_urgent = urgency is item_estimates.Urgency.URGENT
        if self._starts >= MAX_STARTS_PER_ROUND or (
            service in self._full and not is_urgent
        ):
            return None
        kind = (service, is_urgent)
        if kind not in self._budgets:
            self._budgets[kind] = self._choices.draw_batch_share(
                service, now_s, is_urgent
            )
        if self._budgets[kind] <= 0:
            return None
        target = self._choices.choose_batch(service, now_s, self._resting, is_urgent)
        if target is None:
            self._full.add(service)
            return None
        self._budgets[kind] -= 1
        self._starts += 1
        return self._book.open(target, is_batch=True)


class _CoordinatedRound:
    """Takes the places that the coordinator has given, and asks for more."""

    def __init__(self, client: slot_client.SlotClient) -> None:
        self._client = client

    def find(
        self, service: str, urgency: item_estimates.Urgency, due_left_s: float
    ) -> slot_registry.Slot | None:
        """Return a place for an item, ``None`` if there is none now."""
        return self._client.find_batch(service, urgency, due_left_s)
