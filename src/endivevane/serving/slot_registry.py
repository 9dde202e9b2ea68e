"""The places on targets that requests of this daemon hold."""

from __future__ import annotations

import dataclasses
import itertools

from endivevane.serving import load_table, model


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A place on a target, held by one request.

    :param number: names it among all places of this daemon
    :param coordinator: daemon that gave it, empty if this one did
    """

    target: model.Target
    number: int
    is_batch: bool
    coordinator: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """What other daemons are told of a place."""

    number: int
    target_id: str
    is_batch: bool


class SlotRegistry:
    """Numbers the places of this daemon and counts them on its load board."""

    def __init__(self, board: load_table.LoadTable) -> None:
        self._board = board
        self._numbers = itertools.count(1)
        self._held: dict[int, Slot] = {}

    def make_number(self) -> int:
        """Return a number that no place has had."""
        return next(self._numbers)

    def open(
        self,
        target: model.Target,
        is_batch: bool,
        number: int | None = None,
        coordinator: str = "",
    ) -> Slot:
        """Hold a place from now on.

        :param number: the number under which it was asked for, ``None`` for a new one
        :param coordinator: daemon that gave it, empty if this one did
        """
        if number is None:
            number = self.make_number()
        place = Slot(target, number, is_batch, coordinator)
        self._held[number] = place
        self._board.begin(target.target_id, is_batch)
        return place

    def close(self, place: Slot) -> None:
        """Hold a place no longer; a second time changes nothing."""
        if self._held.pop(place.number, None) is None:
            return
        self._board.end(place.target.target_id, place.is_batch)

    def is_held(self, number: int) -> bool:
        """Whether a place is held."""
        return number in self._held

    def list_held(self) -> tuple[HeldSlot, ...]:
        """Return all places that are held."""
        return tuple(
            HeldSlot(place.number, place.target.target_id, place.is_batch)
            for place in self._held.values()
        )
