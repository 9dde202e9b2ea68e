"""The slots on targets that this daemon's requests hold."""

from __future__ import annotations

import dataclasses
import itertools

from endivevane.serving import load_table, model


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A slot on a target, held by one request.

    :param number: identifies the slot among all slots of this daemon
    :param coordinator: daemon that granted it, empty if this one did
    :param organisation: whose request it was granted to; empty for online requests
        where another daemon granted it
    """

    target: model.Target
    number: int
    is_batch: bool
    coordinator: str = ""
    organisation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A held slot, as reported to other daemons."""

    number: int
    target_id: str
    is_batch: bool


class SlotRegistry:
    """Numbers the slots of this daemon and counts them in its load table."""

    def __init__(self, loads: load_table.LoadTable) -> None:
        self._loads = loads
        self._numbers = itertools.count(1)
        self._held: dict[int, Slot] = {}

    def allocate_number(self) -> int:
        """Return a number that no slot has had."""
        return next(self._numbers)

    def hold(
        self,
        target: model.Target,
        is_batch: bool,
        number: int | None = None,
        coordinator: str = "",
        organisation: str = "",
    ) -> Slot:
        """Record a slot as held and return it.

        :param number: the number under which it was requested, ``None`` for a new one
        :param coordinator: daemon that granted it, empty if this one did
        :param organisation: whose request it was granted to, empty if not needed
        """
        if number is None:
            number = self.allocate_number()
        slot = Slot(target, number, is_batch, coordinator, organisation)
        self._held[number] = slot
        self._loads.begin(target.target_id, is_batch)
        return slot

    def free(self, slot: Slot) -> None:
        """Free a slot; freeing it again has no effect."""
        if self._held.pop(slot.number, None) is None:
            return
        self._loads.end(slot.target.target_id, slot.is_batch)

    def is_held(self, number: int) -> bool:
        """Whether the slot with this number is held."""
        return number in self._held

    def list_held(self) -> tuple[HeldSlot, ...]:
        """Return all held slots."""
        return tuple(
            HeldSlot(slot.number, slot.target.target_id, slot.is_batch)
            for slot in self._held.values()
        )
