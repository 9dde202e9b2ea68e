"""Decides which engine of a service should have which models loaded."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from endivevane.configuration import models
from endivevane.coordination import rendezvous
from endivevane.platform import engine

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


def compute(group: Group, settings: PlacementSettings, now_s: float) -> Plan:
    """Compute the wanted state of each engine.

    :param now_s: monotonic time, on the clock of ``group.since_s``
    """
    draft = _Draft(group, settings, now_s)
    draft.place_replicas()
    draft.place_adapters()
    draft.remove_unwanted()
    return Plan(draft.wanted, draft.count_short())


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


class _Draft:
    """A plan that is being made."""

    def __init__(self, group: Group, settings: PlacementSettings, now_s: float) -> None:
        self._group = group
        self._settings = settings
        self._now_s = now_s
        self._declared = {item.name: item for item in group.declared}
        self._views = {view.name: view for view in group.engines}
        self.wanted: dict[str, dict[Key, frozenset[str]]] = {
            view.name: {
                **{
                    (item.model, item.version): frozenset(item.adapters)
                    for item in view.models
                },
                **{key: frozenset() for key in view.loading},
            }
            for view in group.engines
        }
        self._changed = {
            view.name for view in group.engines if view.is_busy or view.loading
        }
        share = settings.max_reloading_share * len(group.engines)
        self._max_changed = max(1, math.floor(share))
        self._loads = len(self._changed)

    def count_short(self) -> dict[str, int]:
        """Return the declared replicas that each model lacks."""
        return {
            item.name: max(0, self._count_needed(item) - self._count_current(item))
            for item in self._group.declared
        }

    def place_replicas(self) -> None:
        """Add replicas while models lack some and the limits allow."""
        skipped: set[str] = set()
        while self._may_load():
            lacking = [
                item
                for item in self._group.declared
                if item.name not in skipped and self._is_lacking(item)
            ]
            if not lacking:
                return
            chosen = min(lacking, key=self._rank_model)
            if not self._place_replica(chosen):
                skipped.add(chosen.name)

    def place_adapters(self) -> None:
        """Bring the adapters of loaded models to the declared ones."""
        for view in self._group.engines:
            if not self._may_load() or not self._may_change(view):
                continue
            wanted = self.wanted[view.name]
            for key in list_keys(view):
                declared = self._declared.get(key[0])
                if declared is None or key[1] != declared.version:
                    continue
                adapters = self._choose_adapters(view, key, declared)
                if key not in wanted or adapters == wanted[key]:
                    continue
                wanted[key] = adapters
                self._record_load(view.name)

    def remove_unwanted(self) -> None:
        """Unload models that are no longer declared and replaced versions."""
        for view in self._group.engines:
            if len(self._changed) >= self._max_changed or not self._may_change(view):
                continue
            for key in list_keys(view):
                if not self._is_unwanted(view, key):
                    continue
                self.wanted[view.name].pop(key, None)
                self._changed.add(view.name)

    def _may_load(self) -> bool:
        is_open = len(self._changed) < self._max_changed
        return is_open and self._loads < self._settings.max_loads

    def _may_change(self, view: EngineView) -> bool:
        return view.is_fresh and view.name not in self._changed

    def _record_load(self, name: str) -> None:
        if name not in self._changed:
            self._changed.add(name)
            self._loads += 1

    def _list_holders(self, name: str) -> list[str]:
        """Return the engines that hold or load any version of a model."""
        return [
            target
            for target, wanted in self.wanted.items()
            if any(key[0] == name for key in wanted)
        ]

    def _count_current(self, declared: models.LanguageModelModel) -> int:
        key = (declared.name, declared.version)
        return sum(key in wanted for wanted in self.wanted.values())

    def _count_needed(self, declared: models.LanguageModelModel) -> int:
        """Return the replicas of the declared version to have.

        While an older version is loaded somewhere, each engine with it gets the new
        one, so that a new version does not cut the number of replicas.
        """
        needed = min(declared.min_replicas, len(self._views))
        key = (declared.name, declared.version)
        has_older = any(
            other[0] == declared.name and other != key
            for wanted in self.wanted.values()
            for other in wanted
        )
        if not has_older:
            return needed
        return max(needed, len(self._list_holders(declared.name)))

    def _get_target(self, declared: models.LanguageModelModel) -> int:
        """Return the replicas to have by document and demand."""
        targets = self._group.targets or {}
        return max(declared.min_replicas, targets.get(declared.name, 0))

    def _is_lacking(self, declared: models.LanguageModelModel) -> bool:
        """Tell whether a model may get a replica now."""
        current = self._count_current(declared)
        if current < self._count_needed(declared):
            return True
        is_open = self._loads < self._settings.max_demand_loads
        return is_open and current < min(self._get_target(declared), len(self._views))

    def _rank_model(
        self, declared: models.LanguageModelModel
    ) -> tuple[bool, bool, float, str]:
        """Rank lacking models: without replica, then below the declared number."""
        holders = len(self._list_holders(declared.name))
        current = self._count_current(declared)
        is_complete = current >= self._count_needed(declared)
        share = current / max(1, self._get_target(declared))
        return holders > 0, is_complete, share, declared.name

    def _place_replica(self, declared: models.LanguageModelModel) -> bool:
        key = (declared.name, declared.version)
        is_unserved = not self._list_holders(declared.name)
        zones: dict[str, int] = {}
        for target in self._list_holders(declared.name):
            zone = self._views[target].zone
            zones[zone] = zones.get(zone, 0) + 1
        ranked: list[tuple[tuple[float, ...], str, Key | None]] = []
        for view in self._group.engines:
            wanted = self.wanted[view.name]
            if not self._may_change(view) or key in wanted:
                continue
            victim = None
            if len(wanted) >= self._settings.max_models:
                victim = self._find_victim(view, declared.name, is_unserved)
                if victim is None:
                    continue
            has_older = any(other[0] == declared.name for other in wanted)
            rank = (
                float(not has_older),
                float(victim is not None),
                float(zones.get(view.zone, 0)),
                float(len(wanted)),
                round(view.load_share, 1),
                -rendezvous.score(declared.name, view.name),
            )
            ranked.append((rank, view.name, victim))
        if not ranked:
            return False
        _, target, victim = min(ranked, key=lambda item: item[0])
        if victim is not None:
            del self.wanted[target][victim]
        self.wanted[target][key] = frozenset()
        self._record_load(target)
        return True

    def _find_victim(
        self, view: EngineView, name: str, is_unserved: bool
    ) -> Key | None:
        """Return the model that an engine can best do without.

        A model that no engine serves may displace any replica that is not the last
        one; all others displace only surplus replicas past their residence time.
        """
        ranked: list[tuple[tuple[float, ...], Key]] = []
        for key in list_keys(view):
            declared = self._declared.get(key[0])
            if key[0] in self._group.kept or key not in self.wanted[view.name]:
                continue
            if declared is None:
                if is_unserved or self._is_settled(view.name, key):
                    ranked.append(((0.0, 0.0), key))
                continue
            if not self._is_served_elsewhere(view, key):
                continue
            is_older = key[0] == name and key[1] != declared.version
            surplus = len(self._list_holders(key[0])) - self._get_target(declared)
            is_surplus = surplus > 0 and self._group.targets is not None
            may_go = is_surplus and self._is_settled(view.name, key)
            if may_go or is_unserved or is_older:
                ranked.append(((1.0 - is_older / 2, -float(surplus)), key))
        return min(ranked)[1] if ranked else None

    def _is_settled(self, target: str, key: Key) -> bool:
        since_s = self._group.since_s.get((target, key), self._now_s)
        return self._now_s - since_s >= self._settings.residence_s

    def _is_served_elsewhere(self, view: EngineView, key: Key) -> bool:
        """Tell whether another engine has the model with the same declared adapters."""
        declared = self._declared[key[0]]
        known = {name_adapter(key[0], item) for item in declared.adapters}
        needed = {
            adapter
            for item in view.models
            if (item.model, item.version) == key
            for adapter in item.adapters
            if adapter in known
        }
        return any(
            item.model == key[0]
            and needed <= set(item.adapters)
            and (item.model, item.version) in self.wanted[other.name]
            for other in self._group.engines
            if other.name != view.name and other.is_steady
            for item in other.models
        )

    def _choose_adapters(
        self, view: EngineView, key: Key, declared: models.LanguageModelModel
    ) -> frozenset[str]:
        named = frozenset(name_adapter(key[0], item) for item in declared.adapters)
        if self._is_settled(view.name, key):
            return named
        return named | self.wanted[view.name].get(key, frozenset())

    def _is_unwanted(self, view: EngineView, key: Key) -> bool:
        if key[0] in self._group.kept:
            return False
        declared = self._declared.get(key[0])
        if declared is None:
            return self._is_settled(view.name, key)
        if key[1] == declared.version:
            return False
        # An older version goes where the declared one, with its adapters, has arrived.
        named = {name_adapter(key[0], item) for item in declared.adapters}
        return any(
            (item.model, item.version) == (key[0], declared.version)
            and named <= set(item.adapters)
            for item in view.models
        )
