"""What the placement decisions read and return, and the orders that carry them out."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.configuration import models
from endivevane.external import engine

Key = tuple[str, str]
"""Name and version of a model."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Limits on changes.

    :param max_models: models that an engine holds together; a declared model that is
        loaded already is never removed for this limit alone
    :param max_loads: engines of a service that load at the same time, for the rate
        limit of the weight store
    :param max_reloading_share: share of the engines of a service that change at the
        same time; at least one may
    :param residence_s: time that a model stays loaded before it may be unloaded
    :param max_demand_loads: loads at the same time that only demand asks for; the
        rest of ``max_loads`` stays free for models that lack declared replicas
    """

    max_models: int = 2
    max_loads: int = 4
    max_demand_loads: int = 2
    max_reloading_share: float = 0.34
    residence_s: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """What is known of a live engine that is not leaving.

    :param models: what the last read-back showed
    :param loading: models that were ordered and are not shown yet
    :param is_fresh: whether it answered and may get orders now
    :param is_busy: whether orders are in progress
    :param is_steady: whether no order of anyone can be under way to it
    :param load_share: used share of the slots
    :param role: the role that the last read-back showed
    """

    name: str
    zone: str
    models: tuple[engine.LoadedModel, ...]
    loading: frozenset[Key] = frozenset()
    is_fresh: bool = True
    is_busy: bool = False
    is_steady: bool = True
    load_share: float = 0.0
    role: str = "both"


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The engines and the declared models of a service.

    :param declared: models of the service's document
    :param kept: other names that are never unloaded, such as models that another
        service declares for the same engines
    :param targets: replicas by model that demand asks for, at least ``min_replicas``;
        ``None`` while demand is not known, when all loaded models count as in use
    :param since_s: monotonic time since when a model is loaded, by engine and key
    """

    declared: tuple[models.LanguageModelModel, ...]
    engines: abc.Sequence[EngineView]
    kept: frozenset[str] = frozenset()
    targets: abc.Mapping[str, int] | None = dataclasses.field(default_factory=dict)
    since_s: abc.Mapping[tuple[str, Key], float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The wanted state.

    :param wanted: by engine, the adapters of each model that it should hold
    :param short: replicas that each declared model lacks
    """

    wanted: abc.Mapping[str, abc.Mapping[Key, frozenset[str]]]
    short: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One change at an engine.

    :param adapter: empty for orders about the model
    """

    target: str
    action: str
    model: str
    version: str
    adapter: str = ""


def list_keys(view: EngineView) -> list[Key]:
    """Return the models that an engine has loaded."""
    return [(item.model, item.version) for item in view.models]


def name_adapter(model: str, adapter: str) -> str:
    """Return the name by which engines and callers know an adapter."""
    return f"{model}:{adapter}"


def list_orders(
    view: EngineView, wanted: abc.Mapping[Key, frozenset[str]]
) -> tuple[Order, ...]:
    """Return the orders that lead from what an engine holds to the wanted state.

    Unloading comes first, as a load may need the room; adapters follow their model.
    """
    held = {(item.model, item.version): set(item.adapters) for item in view.models}
    orders = [Order(view.name, "unload_model", *key) for key in held.keys() - wanted]
    orders += [
        Order(view.name, "load_model", *key)
        for key in sorted(wanted.keys() - held - view.loading)
    ]
    for key in sorted(held.keys() & wanted.keys()):
        for adapter in sorted(held[key] - wanted[key]):
            orders.append(Order(view.name, "unload_adapter", *key, adapter))
        for adapter in sorted(wanted[key] - held[key]):
            orders.append(Order(view.name, "load_adapter", *key, adapter))
    return tuple(orders)
