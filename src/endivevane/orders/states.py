"""What the owner of an engine group knows of its engines."""

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
        """Return what the engine has loaded."""

    def send_order(
        self, fencing_token: int, action: str, **arguments: str
    ) -> result.Result[None, engine.EngineError]:
        """Send an order with its fencing number."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """The last state that an engine has shown.

    :param read_s: monotonic time of the read
    :param is_fresh: whether the last try to read it succeeded
    """

    target: snapshot.Target
    models: tuple[engine.LoadedModel, ...]
    role: str
    fencing_number: int
    is_busy: bool
    read_s: float
    is_fresh: bool = True


class EngineStates:
    """Reads back the engines of a group and remembers what was ordered.

    :param make_client: returns the client of an engine
    :param executor: runs the calls
    :param silent_after_s: time without an answer after which an engine is given up
    :param longest_order_s: time after which an order without an answer is certainly
        over
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
        self._unsure_until_s: dict[str, float] = {}

    @property
    def states(self) -> abc.Mapping[str, EngineState]:
        """The engines that are known, by name."""
        return self._states

    def forget(self) -> None:
        """Forget everything, for a new term of ownership."""
        self._states.clear()
        self._loading.clear()
        self._unsure_until_s.clear()

    def record_sent(self, target: str, order: plans.Order) -> None:
        """Record an order that may reach its engine from now on."""
        if order.action == "load_model":
            key = (order.model, order.version)
            self._loading.setdefault(target, set()).add(key)

    def record_unknown(self, target: str) -> None:
        """Record that the answer to an order was lost."""
        until_s = self._clock.monotonic_s() + self._longest_order_s
        self._unsure_until_s[target] = until_s

    def read_back(self, targets: abc.Sequence[snapshot.Target]) -> None:
        """Read what all engines have loaded."""
        names = {target.name for target in targets}
        for name in [name for name in self._states if name not in names]:
            self._drop(name)
        for target, state in self._executor.map(self._fetch, targets):
            if state is None:
                self._record_silence(target.name)
                continue
            shown = {(item.model, item.version) for item in state.models}
            # An idle engine that does not show a model has not got its order.
            ordered = self._loading.get(target.name, set()) if state.is_busy else set()
            self._loading[target.name] = ordered - shown
            self._states[target.name] = state

    def make_views(
        self,
        number: int,
        may_order: abc.Callable[[snapshot.Target], bool],
        load_shares: abc.Mapping[str, float],
    ) -> list[plans.EngineView]:
        """Return the engines as placement sees them.

        An engine that checks numbers is steady only after it has seen the own number:
        until then it would still accept a late order of an earlier owner.

        :param number: the own fencing number
        :param may_order: whether an engine may get orders now
        """
        now_s = self._clock.monotonic_s()
        views = []
        for name, state in self._states.items():
            is_fenced = (
                state.fencing_number == number or not state.target.checks_fencing
            )
            is_unsure = now_s < self._unsure_until_s.get(name, now_s)
            is_fresh = state.is_fresh and may_order(state.target)
            view = plans.EngineView(
                name,
                state.target.zone,
                state.models,
                frozenset(self._loading.get(name, ())),
                is_fresh=is_fresh,
                is_busy=state.is_busy,
                is_steady=is_fresh
                and is_fenced
                and not is_unsure
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

    def _record_silence(self, name: str) -> None:
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
        # A time for doubt stays: the engine may come back with the order under way.


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
