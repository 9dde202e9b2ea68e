"""Acquiring slots for online requests, locally or from the region's coordinator."""

from __future__ import annotations

import asyncio
import time

from endivevane.serving import slot_client, slot_queue, slot_registry

# A client of a daemon that stops is best served by another one, at once.
_STOPPED_RETRY_S = 0.05
# Interval between two passes over waiting requests, besides after each load change.
_TICK_S = 0.02


class Admission:
    """Acquires and releases slots for the online requests of this daemon.

    :param client: client of the coordinator, ``None`` where there is none
    :ivar queue: queue of the requests that this daemon decides on itself
    """

    def __init__(
        self,
        queue: slot_queue.SlotQueue,
        registry: slot_registry.SlotRegistry,
        client: slot_client.SlotClient | None = None,
    ) -> None:
        self.queue = queue
        self._registry = registry
        self._client = client
        self._is_stopped = False
        # Requests that wait for a decision of this daemon.
        self._waiting: set[asyncio.Future[slot_registry.Slot | slot_queue.Refused]]
        self._waiting = set()
        self._timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, slot_request: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused:
        """Return a slot, which counts as held from now on, or a refusal."""
        if not self._is_stopped and self._client is not None and self._client.is_active:
            answer = await self._client.ask(slot_request)
            if answer is not None:
                return answer
        return await self._acquire_here(slot_request)

    def release(
        self,
        slot: slot_registry.Slot,
        hold_s: float,
        first_event_s: float | None = None,
    ) -> None:
        """Release a slot.

        :param hold_s: how long the request held it
        :param first_event_s: time from the grant to the first event, ``None`` if there
            was no event
        """
        self._free(slot)
        self.queue.record_hold(slot.target.service, hold_s)
        if self._client is not None and slot.coordinator:
            self._client.send_release(slot, hold_s, first_event_s)
        self.dispatch()

    def stop(self) -> None:
        """Refuse the requests of this daemon that wait for a slot, and later ones.

        Those of other daemons, for which this one may decide, stay in the queue.
        """
        self._is_stopped = True
        for future in self._waiting:
            if not future.done():
                future.set_result(slot_queue.Refused(_STOPPED_RETRY_S))
        if self._client is not None:
            self._client.refuse_waiting(_STOPPED_RETRY_S)

    def dispatch(self) -> None:
        """Grant free slots to the requests that wait on this daemon."""
        self.queue.grant_free_slots(time.monotonic())

    async def _acquire_here(
        self, slot_request: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused:
        """Acquire a slot by this daemon's own view of the loads."""
        if self._is_stopped:
            return slot_queue.Refused(_STOPPED_RETRY_S)
        future: asyncio.Future[slot_registry.Slot | slot_queue.Refused]
        future = asyncio.get_running_loop().create_future()

        def resolve(decision: slot_queue.Decision) -> None:
            if isinstance(decision, slot_queue.Refused):
                if not future.done():
                    future.set_result(decision)
                return
            if future.done():
                # The client has disconnected; its slot has not been counted.
                self.queue.record_end(
                    slot_request.service, slot_request.organisation, time.monotonic()
                )
                return
            slot = self._registry.hold(
                decision.target, is_batch=False, organisation=slot_request.organisation
            )
            future.set_result(slot)

        waiter = self.queue.ask(slot_request, resolve, time.monotonic())
        if waiter is None:
            return future.result()
        self._arm()
        self._waiting.add(future)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_answer(future.result())
            raise
        finally:
            self._waiting.discard(future)
            self.queue.cancel(waiter, time.monotonic())

    def _free(self, slot: slot_registry.Slot) -> None:
        """Free a slot, and no longer count it for its organisation."""
        self._registry.free(slot)
        if not slot.coordinator:
            self.queue.record_end(
                slot.target.service, slot.organisation, time.monotonic()
            )

    def _release_answer(self, answer: slot_registry.Slot | slot_queue.Refused) -> None:
        """Free a slot that was granted as its request was cancelled."""
        if isinstance(answer, slot_registry.Slot):
            self._free(answer)

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
