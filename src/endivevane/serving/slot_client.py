"""Requesting slots on targets from the coordinator of the region."""

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

# A request is repeated when there is no answer within this time, which is several round
# trips in a region; after as long again the coordinator is suspected.
_ANSWER_TIMEOUT_S = 0.025
# A daemon that answers that it does not coordinate is suspected for this long.
_NOT_COORDINATING_SUSPICION_S = 0.3
# A queued request is repeated after this time, in case the answer was lost.
_RETRY_INTERVAL_S = 0.15
# A coordinator that does not answer a queued request for this long is suspected, and
# the next one in rank is asked.
_UNRESPONSIVE_AFTER_S = 0.5
# Most pending slot requests for batch items of one service and organisation.
_MAX_BATCH_REQUESTS = 8
# A slot granted for a batch item is released when it stays unused for this long.
_UNUSED_TIMEOUT_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A slot request of an online request that is not resolved.

    :ivar last_seen_s: monotonic time of the last answer, 0 if there was none
    """

    coordinator: str
    answer: asyncio.Future[slot_registry.Slot | slot_queue.Refused | None]
    last_seen_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _PendingBatchRequest:
    """A slot request for a batch item.

    :ivar last_sent_s: monotonic time at which it was last sent
    """

    message: slot_messages.Acquire
    coordinator: str
    last_sent_s: float


class SlotClient:
    """Gets slots from the coordinator, for a daemon that does not coordinate.

    :param send: sends a message to the daemon with a name
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        availability_zone: str,
        peers: peer_registry.PeerRegistry,
        targets: target_registry.TargetRegistry,
        registry: slot_registry.SlotRegistry,
        send: slot_messages.Send,
    ) -> None:
        self._identity = identity
        self._availability_zone = availability_zone
        self._peers = peers
        self._targets = targets
        self._registry = registry
        self._send = send
        self._online: dict[int, _PendingRequest] = {}
        self._batch: dict[int, _PendingBatchRequest] = {}
        # Slots that no batch item uses yet, with the time at which they were granted.
        self._granted: dict[int, tuple[slot_registry.Slot, float]] = {}
        self._on_granted: abc.Callable[[], None] = _do_nothing
        self._on_preempted: abc.Callable[[int], None] = _ignore_number

    def set_batch_callbacks(
        self,
        on_granted: abc.Callable[[], None],
        on_preempted: abc.Callable[[int], None],
    ) -> None:
        """Set what is called when an item may start, and when one is preempted."""
        self._on_granted = on_granted
        self._on_preempted = on_preempted

    @property
    def is_active(self) -> bool:
        """Whether another daemon grants the slots of this region."""
        if not self._peers.is_coordinated:
            return False
        first = self._find_coordinator()
        return first not in (None, self._identity.name)

    async def ask(
        self, slot_request: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Return a slot or a refusal, ``None`` when no coordinator answers."""
        for _ in range(peer_registry.CANDIDATE_COUNT):
            name = self._find_coordinator()
            if name is None or name == self._identity.name:
                return None
            answer = await self._ask_coordinator(name, slot_request)
            if answer is not None:
                return answer
        metrics.PLACES_WITHOUT_COORDINATOR.inc()
        return None

    def refuse_waiting(self, retry_after_s: float) -> None:
        """Refuse the online requests that wait for a coordinator's decision."""
        for number, pending in self._online.items():
            if not pending.answer.done():
                pending.answer.set_result(slot_queue.Refused(retry_after_s))
                self._release_unused(number, pending.coordinator)

    def send_release(
        self,
        slot: slot_registry.Slot,
        hold_s: float,
        first_event_s: float | None = None,
    ) -> None:
        """Tell the coordinator that a slot is free again."""
        message = slot_messages.Release(
            self._identity.incarnation, slot.number, hold_s, first_event_s
        )
        self._send(slot.coordinator, message)

    def handle(self, sender: str, message: slot_messages.Message) -> None:
        """Handle a message from a coordinator."""
        self._handle(message, sender)

    def find_batch_slot(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        organisation: str = "",
    ) -> slot_registry.Slot | None:
        """Return a slot granted for a batch item, or request one.

        :param due_left_s: time until the item is due
        :param organisation: whose item it is, empty for none
        """
        now_s = time.monotonic()
        found = [
            slot for slot, _ in self._granted.values() if slot.target.service == service
        ]
        if found:
            # The first of its organisation, or else the first one.
            slot = min(found, key=lambda item: item.organisation != organisation)
            del self._granted[slot.number]
            return slot
        pending = sum(
            (item.message.service, item.message.organisation) == (service, organisation)
            for item in self._batch.values()
        )
        if pending < _MAX_BATCH_REQUESTS:
            self._request_batch_slot(service, urgency, due_left_s, organisation, now_s)
        return None

    def refresh_batch_requests(self, waiting: abc.Mapping[str, int]) -> None:
        """Repeat the requests for batch items that still wait, and cancel the others.

        :param waiting: number of items that could start, by service
        """
        now_s = time.monotonic()
        left = dict(waiting)
        for number, pending in list(self._batch.items()):
            service = pending.message.service
            left[service] = left.get(service, 0) - 1
            if left[service] < 0 or pending.coordinator != self._find_coordinator():
                del self._batch[number]
                self._release_unused(number, pending.coordinator)
            elif now_s - pending.last_sent_s >= _RETRY_INTERVAL_S:
                pending.last_sent_s = now_s
                self._send(pending.coordinator, pending.message)
        for number, (slot, granted_s) in list(self._granted.items()):
            is_wanted = waiting.get(slot.target.service, 0) > 0
            if is_wanted and now_s - granted_s < _UNUSED_TIMEOUT_S:
                continue
            del self._granted[number]
            self._registry.free(slot)
            self._release_unused(number, slot.coordinator)

    async def _ask_coordinator(
        self, name: str, slot_request: slot_queue.SlotRequest
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Return the answer of one coordinator, ``None`` when it does not answer."""
        number = self._registry.allocate_number()
        future: asyncio.Future[slot_registry.Slot | slot_queue.Refused | None]
        future = asyncio.get_running_loop().create_future()
        pending = _PendingRequest(name, future)
        self._online[number] = pending
        is_resolved = False
        try:
            self._send(name, self._make_acquire(number, slot_request))
            answer = await self._wait(pending, number, slot_request)
            is_resolved = future.done()
            return answer
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_answer(future.result())
            raise
        finally:
            del self._online[number]
            if not is_resolved:
                self._release_unused(number, name)

    async def _wait(
        self,
        pending: _PendingRequest,
        number: int,
        slot_request: slot_queue.SlotRequest,
    ) -> slot_registry.Slot | slot_queue.Refused | None:
        """Wait for the decision for as long as the coordinator is responsive."""
        # Counted in waits: this process may stand still while answers arrive.
        silent_s = 0.0
        while True:
            seen_s = pending.last_seen_s
            interval_s = _RETRY_INTERVAL_S if seen_s else _ANSWER_TIMEOUT_S
            await asyncio.wait((pending.answer,), timeout=interval_s)
            if pending.answer.done():
                return pending.answer.result()
            is_silent = pending.last_seen_s == seen_s
            silent_s = silent_s + interval_s if is_silent else 0.0
            timeout_s = (
                _UNRESPONSIVE_AFTER_S if pending.last_seen_s else 2 * _ANSWER_TIMEOUT_S
            )
            if silent_s >= timeout_s:
                logs.limited_info("coordinator_silent", coordinator=pending.coordinator)
                now_s = time.monotonic()
                self._peers.suspect(pending.coordinator, now_s)
                return None
            self._send(pending.coordinator, self._make_acquire(number, slot_request))

    def _make_acquire(
        self, number: int, slot_request: slot_queue.SlotRequest
    ) -> slot_messages.Acquire:
        now_s = time.monotonic()
        allowed_targets = (
            None
            if slot_request.allowed is None
            else tuple(sorted(slot_request.allowed))
        )
        return slot_messages.Acquire(
            incarnation=self._identity.incarnation,
            number=number,
            service=slot_request.service,
            availability_zone=self._availability_zone,
            priority=slot_request.priority,
            objective_left_s=slot_request.objective_s - now_s,
            deadline_left_s=slot_request.deadline_s - now_s,
            client_may_retry=slot_request.may_retry,
            excluded=tuple(sorted(slot_request.excluded)),
            avoided=self._list_avoided(slot_request.service, now_s),
            allowed_targets=allowed_targets,
            request=slot_request.request,
            organisation=slot_request.organisation,
            version=slot_request.version,
            request_bytes=slot_request.request_bytes,
        )

    def _request_batch_slot(
        self,
        service: str,
        urgency: item_estimates.Urgency,
        due_left_s: float,
        organisation: str,
        now_s: float,
    ) -> None:
        name = self._find_coordinator()
        if name is None:
            return
        message = slot_messages.Acquire(
            incarnation=self._identity.incarnation,
            number=self._registry.allocate_number(),
            service=service,
            availability_zone=self._availability_zone,
            is_batch=True,
            urgency=int(urgency),
            objective_left_s=due_left_s,
            avoided=self._list_avoided(service, now_s),
            organisation=organisation,
        )
        self._batch[message.number] = _PendingBatchRequest(message, name, now_s)
        self._send(name, message)

    def _list_avoided(self, service: str, now_s: float) -> tuple[str, ...]:
        """Return the targets that this daemon has seen fail, or that are draining."""
        return tuple(
            known.target.target_id
            for known in self._targets.list_service(service)
            if known.is_draining
            or known.health.is_paused(now_s)
            or known.health.is_unresponsive(now_s)
            or known.health.is_full(now_s)
        )

    def _find_coordinator(self) -> str | None:
        ranked = self._peers.rank(self._identity.region, time.monotonic())
        return ranked[0] if ranked else None

    @functools.singledispatchmethod
    def _handle(self, message: typing.Any, sender: str) -> None:
        raise TypeError(f"not a coordinator's answer: {type(message).__name__}")

    @_handle.register
    def _(self, message: slot_messages.Granted, sender: str) -> None:
        number = message.number
        if self._registry.is_held(number):
            # A duplicate of the answer.
            return
        pending = self._online.get(number)
        pending_batch = self._batch.pop(number, None)
        is_batch = pending_batch is not None
        is_pending = pending is not None and not pending.answer.done()
        known = self._targets.find(message.target_id)
        if known is None or not (is_pending or is_batch):
            self._release_unused(number, sender)
            if pending is not None and is_pending:
                pending.answer.set_result(None)
            return
        organisation = pending_batch.message.organisation if pending_batch else ""
        slot = self._registry.hold(known.target, is_batch, number, sender, organisation)
        if pending is not None:
            pending.answer.set_result(slot)
            return
        self._granted[number] = (slot, time.monotonic())
        self._on_granted()

    @_handle.register
    def _(self, message: slot_messages.Refused, sender: str) -> None:
        pending = self._online.get(message.number)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(slot_queue.Refused(message.retry_after_s, sender))

    @_handle.register
    def _(self, message: slot_messages.Queued, sender: str) -> None:
        pending = self._online.get(message.number)
        if pending is not None:
            pending.last_seen_s = time.monotonic()

    @_handle.register
    def _(self, message: slot_messages.NotCoordinating, sender: str) -> None:
        self._peers.suspect(sender, time.monotonic(), _NOT_COORDINATING_SUSPICION_S)
        self._batch.pop(message.number, None)
        pending = self._online.get(message.number)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(None)

    @_handle.register
    def _(self, message: slot_messages.Preempt, sender: str) -> None:
        self._on_preempted(message.number)

    def _release_answer(
        self, answer: slot_registry.Slot | slot_queue.Refused | None
    ) -> None:
        """Release a slot that was granted as its request was cancelled."""
        if not isinstance(answer, slot_registry.Slot):
            return
        self._registry.free(answer)
        self._release_unused(answer.number, answer.coordinator)

    def _release_unused(self, number: int, coordinator: str) -> None:
        """Tell a coordinator that a requested slot is not used."""
        message = slot_messages.Release(self._identity.incarnation, number)
        self._send(coordinator, message)


def _do_nothing() -> None:
    """Serve as the callback until batch work sets its own."""


def _ignore_number(number: int) -> None:
    """Serve as the callback until batch work sets its own."""
