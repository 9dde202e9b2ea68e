"""Acquiring slots for batch items, by this daemon's view or from the coordinator."""

from __future__ import annotations

import time
import typing
from collections import abc

from endivevane.serving import (
    item_estimates,
    load_table,
    model,
    preemption,
    slot_client,
    slot_registry,
    target_selection,
)

T = typing.TypeVar("T")

# Most items that a daemon starts in one round, and the shortest time between rounds.
MAX_STARTS_PER_ROUND = 4
MIN_ROUND_INTERVAL_S = 0.04
# Longest time between rounds where the coordinator notifies of slots as it grants them.
_MAX_ROUND_INTERVAL_S = 0.15
# No item is sent to a target for this long after items on it have been preempted.
COOLDOWN_S = 0.5


class BatchSlots:
    """Acquires and releases the slots of this daemon's items.

    :param client: client of the coordinator, ``None`` where there is none
    """

    def __init__(
        self,
        selector: target_selection.TargetSelector,
        loads: load_table.LoadTable,
        registry: slot_registry.SlotRegistry,
        client: slot_client.SlotClient | None = None,
    ) -> None:
        self._selector = selector
        self._loads = loads
        self._registry = registry
        self._client = client
        # Target -> monotonic time of its last preemption.
        self._preempted_s: dict[str, float] = {}

    @property
    def is_coordinated(self) -> bool:
        """Whether another daemon grants the slots and chooses the items to preempt."""
        return self._client is not None and self._client.is_active

    @property
    def round_interval_s(self) -> float:
        """Time between two rounds; without a coordinator, at least the loads' age."""
        if self.is_coordinated:
            return _MAX_ROUND_INTERVAL_S
        return max(MIN_ROUND_INTERVAL_S, self._loads.same_region_age_s)

    def begin_round(self, waiting: abc.Mapping[str, int]) -> SlotRound:
        """Return the source of slots for the items of one round.

        :param waiting: number of items that could start, by service
        """
        now_s = time.monotonic()
        self._selector.record_peaks(now_s)
        if self._client is None:
            return _LocalRound(
                self._selector, self._registry, self._list_cooling_down(now_s)
            )
        self._client.refresh_batch_requests(waiting if self._client.is_active else {})
        if self._client.is_active:
            return _CoordinatedRound(self._client)
        return _LocalRound(
            self._selector, self._registry, self._list_cooling_down(now_s)
        )

    def choose_to_preempt(
        self,
        target: model.Target,
        running: abc.Sequence[preemption.Candidate[T]],
    ) -> list[T]:
        """Return the items to preempt on a target, which starts its cooldown if any.

        :param running: the items of this daemon there
        """
        surplus = self._selector.count_to_preempt(target)
        if surplus <= 0:
            return []
        self._preempted_s[target.target_id] = time.monotonic()
        batch = self._loads.total(target.target_id).batch
        return preemption.choose_items(running, surplus, batch)

    def release(self, slot: slot_registry.Slot, hold_s: float) -> None:
        """Release a slot.

        :param hold_s: how long the item held it
        """
        self._registry.free(slot)
        self._selector.record_item_hold(slot.target.service, hold_s)
        if self._client is not None and slot.coordinator:
            self._client.send_release(slot, hold_s)

    def _list_cooling_down(self, now_s: float) -> frozenset[str]:
        """Return the targets in cooldown after a preemption."""
        for target_id, preempted_s in list(self._preempted_s.items()):
            if now_s - preempted_s > COOLDOWN_S:
                del self._preempted_s[target_id]
        return frozenset(self._preempted_s)


class SlotRound(typing.Protocol):
    """The source of slots for the items that a daemon starts in one round."""

    def find(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        version: str | None = None,
        organisation: str = "",
        avoided: abc.Set[str] = frozenset(),
    ) -> slot_registry.Slot | None:
        """Return a slot for an item, ``None`` if none is free now.

        :param due_left_s: time until the item is due
        :param version: software version at which the item goes on, ``None`` for any;
            slots that a coordinator has granted may be at another one
        :param organisation: whose item it is, empty for none
        :param avoided: targets that need not get the item; a coordinator does not know
            of them
        """


class _LocalRound:
    """Chooses slots by this daemon's own view of the loads."""

    def __init__(
        self,
        selector: target_selection.TargetSelector,
        registry: slot_registry.SlotRegistry,
        cooling_down: frozenset[str],
    ) -> None:
        self._selector = selector
        self._registry = registry
        self._cooling_down = cooling_down
        self._full: set[str] = set()
        # (service, whether urgent) -> number of items that may still start.
        self._budgets: dict[tuple[str, bool], int] = {}
        self._starts = 0

    def find(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        version: str | None = None,
        organisation: str = "",
        avoided: abc.Set[str] = frozenset(),
    ) -> slot_registry.Slot | None:
        """Return a slot for an item, ``None`` if none is free now."""
        now_s = time.monotonic()
        is_urgent = urgency is item_estimates.Urgency.URGENT
        if self._starts >= MAX_STARTS_PER_ROUND or (
            service in self._full and not is_urgent
        ):
            return None
        kind = (service, is_urgent)
        if kind not in self._budgets:
            self._budgets[kind] = self._selector.draw_batch_share(
                service, now_s, is_urgent
            )
        if self._budgets[kind] <= 0:
            return None
        target = self._selector.choose_batch(
            service,
            now_s,
            self._cooling_down | avoided,
            is_urgent,
            due_s=now_s + due_left_s,
            version=version,
        )
        if target is None:
            if version is None and not avoided:
                self._full.add(service)
            return None
        self._budgets[kind] -= 1
        self._starts += 1
        return self._registry.hold(target, is_batch=True)


class _CoordinatedRound:
    """Uses the slots that the coordinator has granted, and requests more."""

    def __init__(self, client: slot_client.SlotClient) -> None:
        self._client = client

    def find(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        version: str | None = None,
        organisation: str = "",
        avoided: abc.Set[str] = frozenset(),
    ) -> slot_registry.Slot | None:
        """Return a slot for an item, ``None`` if none is free now."""
        return self._client.find_batch_slot(service, urgency, due_left_s, organisation)
