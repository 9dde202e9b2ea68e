"""States of the engines of a group, as its owner knows them."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import typing
from collections import abc

import result

from endivevane import logs
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine
from endivevane.orders import plans


class Client(typing.Protocol):
    """The calls of :class:`engine.EngineClient` that orders need."""

    def fetch_state(self) -> result.Result[dict[str, typing.Any], engine.EngineError]:
        """Return the state of the engine."""

    def send_order(
        self, fencing_token: int, action: str, **arguments: str
    ) -> result.Result[None, engine.EngineError]:
        """Send an order with its fencing token."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The last state that an engine reported.

    :param read_s: monotonic time of the read
    :param is_fresh: whether the latest read succeeded
    """

    target: snapshot.Target
    models: tuple[engine.LoadedModel, ...]
    role: str
    fencing_token: int
    is_busy: bool
    read_s: float
    is_fresh: bool = True


class EngineStates:
    """Reads the states of the engines of a group and tracks the sent orders.

    :param make_client: returns the client of an engine
    :param executor: runs the calls
    :param silent_after_s: time without an answer after which an engine is dropped
    :param longest_order_s: time after which an unanswered order can no longer take
        effect
    """

    def __init__(
        self,
        make_client: abc.Callable[[snapshot.Target], Client],
        executor: concurrent.futures.Executor,
        silent_after_s: float,
        longest_order_s: float,
        states_clock: clock.Clock,
    ) -> None:
        self._make_client = make_client
        self._executor = executor
        self._silent_after_s = silent_after_s
        self._longest_order_s = longest_order_s
        self._clock = states_clock
        self._states: dict[str, EngineState] = {}
        self._loading: dict[str, set[plans.Key]] = {}
        self._uncertain_until_s: dict[str, float] = {}

    @property
    def states(self) -> abc.Mapping[str, EngineState]:
        """The known engine states by name."""
        return self._states

    def forget(self) -> None:
        """Discard all state, for a new term of ownership."""
        self._states.clear()
        self._loading.clear()
        self._uncertain_until_s.clear()

    def record_sent(self, target: str, order: plans.Order) -> None:
        """Record an order just before it is sent."""
        if order.action == "load_model":
            key = (order.model, order.version)
            self._loading.setdefault(target, set()).add(key)

    def record_unknown(self, target: str) -> None:
        """Record that the answer to an order was lost."""
        until_s = self._clock.monotonic_s() + self._longest_order_s
        self._uncertain_until_s[target] = until_s

    def read_back(self, targets: abc.Sequence[snapshot.Target]) -> None:
        """Read the states of all engines."""
        names = {target.name for target in targets}
        for name in [name for name in self._states if name not in names]:
            self._drop(name)
        for target, state in self._executor.map(self._fetch, targets):
            if state is None:
                self._record_unresponsive(target.name)
                continue
            reported = {(item.model, item.version) for item in state.models}
            # An idle engine that does not report an ordered model missed the order.
            ordered = self._loading.get(target.name, set()) if state.is_busy else set()
            self._loading[target.name] = ordered - reported
            self._states[target.name] = state

    def make_views(
        self,
        token: int,
        may_order: abc.Callable[[snapshot.Target], bool],
        load_shares: abc.Mapping[str, float],
    ) -> list[plans.EngineView]:
        """Return the engine states as input of the placement.

        An engine that checks fencing tokens is quiescent only after it has seen the
        own token: until then it would accept a late order from an earlier owner.

        :param token: the own fencing token
        :param may_order: whether an engine may get orders now
        """
        now_s = self._clock.monotonic_s()
        views = []
        for name, state in self._states.items():
            has_seen_token = (
                state.fencing_token == token or not state.target.checks_fencing
            )
            is_uncertain = now_s < self._uncertain_until_s.get(name, now_s)
            is_fresh = state.is_fresh and may_order(state.target)
            view = plans.EngineView(
                name,
                state.target.zone,
                state.models,
                frozenset(self._loading.get(name, ())),
                is_fresh=is_fresh,
                is_busy=state.is_busy,
                is_quiescent=is_fresh
                and has_seen_token
                and not is_uncertain
                and not state.is_busy,
                load_share=load_shares.get(name, 0.0),
                role=state.role,
            )
            views.append(view)
        return views

    def _fetch(
        self, target: snapshot.Target
    ) -> tuple[snapshot.Target, EngineState | None]:
        started_s = self._clock.monotonic_s()
        try:
            outcome = self._make_client(target).fetch_state()
            if isinstance(outcome, result.Err):
                return target, None
            return target, _parse_state(target, outcome.ok_value, started_s)
        except (ValueError, KeyError, TypeError) as error:
            logs.warning("engine_state_malformed", target=target.name, error=error)
            return target, None

    def _record_unresponsive(self, name: str) -> None:
        state = self._states.get(name)
        if state is None:
            return
        if self._clock.monotonic_s() - state.read_s > self._silent_after_s:
            self._drop(name)
            logs.warning("engine_silent", target=name)
            return
        self._states[name] = dataclasses.replace(state, is_fresh=False)

    def _drop(self, name: str) -> None:
        self._states.pop(name, None)
        self._loading.pop(name, None)
        # Keep _uncertain_until_s: the engine may return with the order still in flight.


def _parse_state(
    target: snapshot.Target, body: abc.Mapping[str, typing.Any], read_s: float
) -> EngineState:
    models = tuple(
        engine.LoadedModel(item["model"], item["version"], tuple(item["adapters"]))
        for item in body["models"]
    )
    return EngineState(
        target,
        models,
        str(body["role"]),
        int(body["fencing_number"]),
        int(body["in_progress"]) > 0,
        read_s,
    )
