"""Getting places for online requests, here or from the region's coordinator."""

from __future__ import annotations

import asyncio
import time

from endivevane.serving import model, slot_client, slot_queue, slot_registry

# Waiting requests are looked at this often, besides after each change of the load.
_TICK_S = 0.02


class Admission:
    """Gets places for the online requests of this daemon.

    :param client: asks the coordinator, ``None`` where there is none
    :ivar queue: where requests wait that this daemon decides on itself
    """

    def __init__(
        self,
        queue: slot_queue.SlotQueue,
        book: slot_registry.SlotRegistry,
        client: slot_client.SlotClient | None = None,
    ) -> None:
        self.queue = queue
        self._book = book
        self._client = client
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, wish: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused:
        """Return a place, which counts from now on, or why there is none."""
        if self._client is not None and self._client.is_active:
            answer = await self._client.ask(wish)
            if answer is not None:
                return answer
        return await self._acquire_here(wish)

    def release(
        self, place: slot_registry.Slot, hold_s: float, start_s: float | None = None
    ) -> None:
        """Give a place back.

        :param hold_s: how long the request held it
        :param start_s: time from the place to the first event, ``None`` without any
        """
        self._book.close(place)
        self.queue.record_hold(place.target.service, hold_s)
        if self._client is not None and place.coordinator:
            self._client.end(place, hold_s, start_s)
        self.dispatch()

    def dispatch(self) -> None:
        """Give free places to those who wait here."""
        self.queue.pump(time.monotonic())

    async def _acquire_here(
        self, wish: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused:
        """Get a place by what this daemon knows of the loads."""
        future: asyncio.Future[slot_registry.Slot | slot_queue.Refused]
        future = asyncio.get_running_loop().create_future()

        def settle(verdict: slot_queue.Verdict) -> None:
            if future.done():
                # The client has left; its place was not counted.
                return
            if isinstance(verdict, slot_queue.Refused):
                future.set_result(verdict)
                return
            future.set_result(self._open(verdict.target))

        waiter = self.queue.ask(wish, settle, time.monotonic())
        if waiter is None:
            return future.result()
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._give_back(future.result())
            raise
        finally:
            self.queue.withdraw(waiter, time.monotonic())

    def _open(self, target: model.Target) -> slot_registry.Slot:
        return self._book.open(target, is_batch=False)

    def _give_back(self, answer: slot_registry.Slot | slot_queue.Refused) -> None:
        """Undo the count of a place that nobody took."""
        if isinstance(answer, slot_registry.Slot):
            self._book.close(answer)

    def _arm(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.dispatch()
        if self.queue.waiting:
            self._arm()
