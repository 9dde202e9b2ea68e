"""Asking the coordinator of the region for places on targets."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
import typing
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    item_estimates,
    peer_registry,
    slot_messages,
    slot_queue,
    slot_registry,
    target_registry,
)

# A request asks again when there is no answer within this time, which is several round
# trips in a region, and passes the coordinator over after as long again.
_ANSWER_S = 0.025
# The same for a daemon that says that it does not coordinate.
_NOT_COORDINATING_S = 0.3
# A waiting request asks again after this time, in case the answer was lost.
_REPEAT_S = 0.15
# Silence of the coordinator, while a request waits there, after which the next one
# in rank is asked.
_SILENCE_S = 0.5
# Batch items of one service that ask for places at the same time.
_MOST_BATCH_ASKS = 8
# A place for a batch item that nobody takes for this long is given back.
_UNUSED_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class _OnlineAsk:
    """A request that has asked and is not settled.

    :ivar heard_s: monotonic time of the last answer, 0 if there was none
    """

    coordinator: str
    answer: asyncio.Future[slot_registry.Slot | slot_queue.Refused | None]
    heard_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _BatchAsk:
    """A place that is wanted for a batch item.

    :ivar asked_s: monotonic time of the last message about it
    """

    message: slot_messages.Acquire
    coordinator: str
    asked_s: float


class SlotClient:
    """Gets places from the coordinator, for a daemon that does not coordinate.

    :param send: sends a message to the daemon of a name
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        availability_zone: str,
        members: peer_registry.PeerRegistry,
        targets: target_registry.TargetRegistry,
        book: slot_registry.SlotRegistry,
        send: slot_messages.Send,
    ) -> None:
        self._identity = identity
        self._availability_zone = availability_zone
        self._roster = members
        self._targets = targets
        self._book = book
        self._send = send
        self._online: dict[int, _OnlineAsk] = {}
        self._batch: dict[int, _BatchAsk] = {}
        # Places that batch items have not taken yet, with the time of their coming.
        self._granted: dict[int, tuple[slot_registry.Slot, float]] = {}
        self._on_granted: abc.Callable[[], None] = _do_nothing
        self._on_give_way: abc.Callable[[int], None] = _ignore_number

    def set_batch_callbacks(
        self,
        on_granted: abc.Callable[[], None],
        on_give_way: abc.Callable[[int], None],
    ) -> None:
        """Set what is called when an item may start, and when one has to leave."""
        self._on_granted = on_granted
        self._on_give_way = on_give_way

    @property
    def is_active(self) -> bool:
        """Whether another daemon gives out the places of this region."""
        if not self._roster.is_coordinated:
            return False
        first = self._find_coordinator()
        return first not in (None, self._identity.name)

    async def ask(
        self, wish: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Return a place or a refusal, ``None`` when no coordinator answers."""
        for _ in range(peer_registry.CANDIDATE_COUNT):
            name = self._find_coordinator()
            if name is None or name == self._identity.name:
                return None
            answer = await self._ask_one(name, wish)
            if answer is not None:
                return answer
        metrics.PLACES_WITHOUT_COORDINATOR.inc()
        return None

    def end(
        self, place: slot_registry.Slot, hold_s: float, start_s: float | None = None
    ) -> None:
        """Tell the coordinator that a place is free again."""
        message = slot_messages.Release(
            self._identity.incarnation, place.number, hold_s, start_s
        )
        self._send(place.coordinator, message)

    def handle(self, sender: str, message: slot_messages.Message) -> None:
        """Take in an answer of a coordinator."""
        self._take(message, sender)

    def find_batch(
        self, service: str, urgency: item_estimates.Urgency, due_left_s: float
    ) -> slot_registry.Slot | None:
        """Return a place for a batch item, or ask for one.

        :param due_left_s: time until the item is due
        """
        now_s = time.monotonic()
        for number, (place, _) in self._granted.items():
            if place.target.service == service:
                del self._granted[number]
                return place
        asked = sum(1 for item in self._batch.values() if _is_for(item, service))
        if asked < _MOST_BATCH_ASKS:
            self._ask_for_batch(service, urgency, due_left_s, now_s)
        return None

    def refresh_batch(self, waiting: abc.Mapping[str, int]) -> None:
        """Repeat the asks for batch items that still wait, and withdraw the others.

        :param waiting: items that could start, by service
        """
        now_s = time.monotonic()
        left = dict(waiting)
        for number, asked in list(self._batch.items()):
            service = asked.message.service
            left[service] = left.get(service, 0) - 1
            if left[service] < 0 or asked.coordinator != self._find_coordinator():
                del self._batch[number]
                self._withdraw(number, asked.coordinator)
            elif now_s - asked.asked_s >= _REPEAT_S:
                asked.asked_s = now_s
                self._send(asked.coordinator, asked.message)
        for number, (place, granted_s) in list(self._granted.items()):
            is_wanted = waiting.get(place.target.service, 0) > 0
            if is_wanted and now_s - granted_s < _UNUSED_S:
                continue
            del self._granted[number]
            self._book.close(place)
            self._withdraw(number, place.coordinator)

    async def _ask_one(
        self, name: str, wish: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Return what one coordinator answers, ``None`` when it does not."""
        number = self._book.make_number()
        future: asyncio.Future[slot_registry.Slot | slot_queue.Refused | None]
        future = asyncio.get_running_loop().create_future()
        asked = _OnlineAsk(name, future)
        self._online[number] = asked
        is_settled = False
        try:
            self._send(name, self._make_ask(number, wish))
            answer = await self._wait(asked, number, wish)
            is_settled = future.done()
            return answer
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._give_back(future.result())
            raise
        finally:
            del self._online[number]
            if not is_settled:
                self._withdraw(number, name)

    async def _wait(
        self, asked: _OnlineAsk, number: int, wish: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Wait for the verdict as long as the coordinator gives signs of life."""
        sent_s = time.monotonic()
        while True:
            limit_s = _REPEAT_S if asked.heard_s else _ANSWER_S
            await asyncio.wait((asked.answer,), timeout=limit_s)
            if asked.answer.done():
                return asked.answer.result()
            now_s = time.monotonic()
            patience_s = _SILENCE_S if asked.heard_s else 2 * _ANSWER_S
            if now_s - max(sent_s, asked.heard_s) >= patience_s:
                logs.limited_info("coordinator_silent", coordinator=asked.coordinator)
                self._roster.suspect(asked.coordinator, now_s)
                return None
            self._send(asked.coordinator, self._make_ask(number, wish))

    def _make_ask(
        self, number: int, wish: slot_queue.SlotRequest
    ) -> slot_messages.Acquire:
        now_s = time.monotonic()
        only = None if wish.allowed is None else tuple(sorted(wish.allowed))
        return slot_messages.Acquire(
            incarnation=self._identity.incarnation,
            number=number,
            service=wish.service,
            availability_zone=self._availability_zone,
            priority=wish.priority,
            objective_left_s=wish.objective_s - now_s,
            deadline_left_s=wish.deadline_s - now_s,
            may_return=wish.may_retry,
            excluded=tuple(sorted(wish.excluded)),
            avoided=self._list_avoided(wish.service, now_s),
            only=only,
            request=wish.request,
        )

    def _ask_for_batch(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        now_s: float,
    ) -> None:
        name = self._find_coordinator()
        if name is None:
            return
        message = slot_messages.Acquire(
            incarnation=self._identity.incarnation,
            number=self._book.make_number(),
            service=service,
            availability_zone=self._availability_zone,
            is_batch=True,
            urgency=int(urgency),
            objective_left_s=due_left_s,
            avoided=self._list_avoided(service, now_s),
        )
        self._batch[message.number] = _BatchAsk(message, name, now_s)
        self._send(name, message)

    def _list_avoided(self, service: str, now_s: float) -> tuple[str, ...]:
        """Return the targets that this daemon has seen fail, or that are leaving."""
        return tuple(
            known.target.target_id
            for known in self._targets.list_service(service)
            if known.is_draining
            or known.health.is_paused(now_s)
            or known.health.is_unresponsive(now_s)
            or known.health.is_full(now_s)
        )

    def _find_coordinator(self) -> str | None:
        ranked = self._roster.rank(self._identity.region, time.monotonic())
        return ranked[0] if ranked else None

    @functools.singledispatchmethod
    def _take(self, message: typing.Any, sender: str) -> None:
        raise TypeError(f"not an answer: {type(message).__name__}")

    @_take.register
    def _(self, message: slot_messages.Granted, sender: str) -> None:
        number = message.number
        if self._book.is_held(number):
            # The answer has come twice.
            return
        asked = self._online.get(number)
        is_batch = self._batch.pop(number, None) is not None
        is_open = asked is not None and not asked.answer.done()
        known = self._targets.find(message.target_id)
        if known is None or not (is_open or is_batch):
            self._withdraw(number, sender)
            if asked is not None and is_open:
                asked.answer.set_result(None)
            return
        place = self._book.open(known.target, is_batch, number, sender)
        if asked is not None:
            asked.answer.set_result(place)
            return
        self._granted[number] = (place, time.monotonic())
        self._on_granted()

    @_take.register
    def _(self, message: slot_messages.Refused, sender: str) -> None:
        asked = self._online.get(message.number)
        if asked is not None and not asked.answer.done():
            asked.answer.set_result(slot_queue.Refused(message.retry_after_s, sender))

    @_take.register
    def _(self, message: slot_messages.Queued, sender: str) -> None:
        asked = self._online.get(message.number)
        if asked is not None:
            asked.heard_s = time.monotonic()

    @_take.register
    def _(self, message: slot_messages.NotCoordinating, sender: str) -> None:
        self._roster.suspect(sender, time.monotonic(), _NOT_COORDINATING_S)
        self._batch.pop(message.number, None)
        asked = self._online.get(message.number)
        if asked is not None and not asked.answer.done():
            asked.answer.set_result(None)

    @_take.register
    def _(self, message: slot_messages.Preempt, sender: str) -> None:
        self._on_give_way(message.number)

    def _give_back(
        self, answer: slot_registry.Slot | slot_queue.Refused | None
    ) -> None:
        """Free a place that came as its request ended."""
        if not isinstance(answer, slot_registry.Slot):
            return
        self._book.close(answer)
        self._withdraw(answer.number, answer.coordinator)

    def _withdraw(self, number: int, coordinator: str) -> None:
        """Tell a coordinator that a place is not wanted."""
        message = slot_messages.Release(self._identity.incarnation, number)
        self._send(coordinator, message)


def _is_for(asked: _BatchAsk, service: str) -> bool:
    return asked.message.service == service


def _do_nothing() -> None:
    """Stand in until batch work is connected."""


def _ignore_number(number: int) -> None:
    """Stand in until batch work is connected."""
