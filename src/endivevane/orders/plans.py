"""Input and output of the placement, and the orders that implement a plan."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.configuration import models
from endivevane.external import engine

Key = tuple[str, str]
"""Name and version of a model."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Limits of the placement.

    :param max_models: models loaded per engine; a declared model that is already
        loaded is never unloaded for this limit alone
    :param max_loads: engines of a service that load concurrently, because of the rate
        limit of the weight store
    :param max_reloading_share: share of the engines of a service that change
        concurrently; at least one may
    :param residence_s: time that a model stays loaded before it may be unloaded
    :param max_demand_loads: concurrent loads that only demand requires; the rest of
        ``max_loads`` is reserved for models with missing declared replicas
    """

    max_models: int = 2
    max_loads: int = 4
    max_demand_loads: int = 2
    max_reloading_share: float = 0.34
    residence_s: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """State of a live engine that is not leaving.

    :param models: loaded models, as last read
    :param loading: models that were ordered and are not reported as loaded yet
    :param is_fresh: whether it answered and may get orders now
    :param is_busy: whether orders are in progress
    :param is_quiescent: whether no order from any owner can be in flight to it
    :param load_share: used share of the slots
    :param role: role as last read
    """

    name: str
    zone: str
    models: tuple[engine.LoadedModel, ...]
    loading: frozenset[Key] = frozenset()
    is_fresh: bool = True
    is_busy: bool = False
    is_quiescent: bool = True
    load_share: float = 0.0
    role: str = "both"


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The engines and the declared models of a service.

    :param declared: models of the service's document
    :param protected: other models that are never unloaded, such as those that another
        service declares for the same engines
    :param desired_replicas: replicas by model that demand requires, at least
        ``min_replicas``; ``None`` while demand is unknown and all loaded replicas
        count as in use
    :param since_s: monotonic time of the load of a model, by engine and key
    """

    declared: tuple[models.LanguageModelModel, ...]
    engines: abc.Sequence[EngineView]
    protected: frozenset[str] = frozenset()
    desired_replicas: abc.Mapping[str, int] | None = dataclasses.field(
        default_factory=dict
    )
    since_s: abc.Mapping[tuple[str, Key], float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Desired state of the engines.

    :param desired: models of each engine, with their adapters
    :param missing_replicas: number of missing replicas of each declared model
    """

    desired: abc.Mapping[str, abc.Mapping[Key, frozenset[str]]]
    missing_replicas: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One change of an engine.

    :param adapter: empty for orders about the model
    """

    target: str
    action: str
    model: str
    version: str
    adapter: str = ""


def list_keys(view: EngineView) -> list[Key]:
    """Return the loaded models of an engine."""
    return [(item.model, item.version) for item in view.models]


def name_adapter(model: str, adapter: str) -> str:
    """Return the name of an adapter as engines and callers use it."""
    return f"{model}:{adapter}"


def list_orders(
    view: EngineView, desired: abc.Mapping[Key, frozenset[str]]
) -> tuple[Order, ...]:
    """Return the orders that bring an engine to the desired state.

    Unloads come first, as a load may need the room they free; adapters follow their
    model.
    """
    held = {(item.model, item.version): set(item.adapters) for item in view.models}
    orders = [Order(view.name, "unload_model", *key) for key in held.keys() - desired]
    orders += [
        Order(view.name, "load_model", *key)
        for key in sorted(desired.keys() - held - view.loading)
    ]
    for key in sorted(held.keys() & desired.keys()):
        for adapter in sorted(held[key] - desired[key]):
            orders.append(Order(view.name, "unload_adapter", *key, adapter))
        for adapter in sorted(desired[key] - held[key]):
            orders.append(Order(view.name, "load_adapter", *key, adapter))
    return tuple(orders)
