"""Decides which engine of a service should have which models loaded."""

from __future__ import annotations

import math

from endivevane.configuration import models
from endivevane.coordination import rendezvous
from endivevane.orders import plans


def compute(
    group: plans.Group, settings: plans.PlacementSettings, now_s: float
) -> plans.Plan:
    """Compute the wanted state of each engine.

    :param now_s: monotonic time, on the clock of ``group.since_s``
    """
    draft = _Draft(group, settings, now_s)
    draft.place_replicas()
    draft.place_adapters()
    draft.remove_unwanted()
    return plans.Plan(draft.wanted, draft.count_short())


class _Draft:
    """A plan that is being made."""

    def __init__(
        self, group: plans.Group, settings: plans.PlacementSettings, now_s: float
    ) -> None:
        self._group = group
        self._settings = settings
        self._now_s = now_s
        self._declared = {item.name: item for item in group.declared}
        self._views = {view.name: view for view in group.engines}
        self.wanted: dict[str, dict[plans.Key, frozenset[str]]] = {
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
            for key in plans.list_keys(view):
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
            for key in plans.list_keys(view):
                if not self._is_unwanted(view, key):
                    continue
                self.wanted[view.name].pop(key, None)
                self._changed.add(view.name)

    def _may_load(self) -> bool:
        is_open = len(self._changed) < self._max_changed
        return is_open and self._loads < self._settings.max_loads

    def _may_change(self, view: plans.EngineView) -> bool:
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
        ranked: list[tuple[tuple[float, ...], str, plans.Key | None]] = []
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
        self, view: plans.EngineView, name: str, is_unserved: bool
    ) -> plans.Key | None:
        """Return the model that an engine can best do without.

        A model that no engine serves may displace any replica that is not the last
        one; all others displace only surplus replicas past their residence time.
        """
        ranked: list[tuple[tuple[float, ...], plans.Key]] = []
        for key in plans.list_keys(view):
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

    def _is_settled(self, target: str, key: plans.Key) -> bool:
        since_s = self._group.since_s.get((target, key), self._now_s)
        return self._now_s - since_s >= self._settings.residence_s

    def _is_served_elsewhere(self, view: plans.EngineView, key: plans.Key) -> bool:
        """Tell whether another engine has the model with the same declared adapters."""
        declared = self._declared[key[0]]
        known = {plans.name_adapter(key[0], item) for item in declared.adapters}
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
        self,
        view: plans.EngineView,
        key: plans.Key,
        declared: models.LanguageModelModel,
    ) -> frozenset[str]:
        named = frozenset(
            plans.name_adapter(key[0], item) for item in declared.adapters
        )
        if self._is_settled(view.name, key):
            return named
        return named | self.wanted[view.name].get(key, frozenset())

    def _is_unwanted(self, view: plans.EngineView, key: plans.Key) -> bool:
        if key[0] in self._group.kept:
            return False
        declared = self._declared.get(key[0])
        if declared is None:
            return self._is_settled(view.name, key)
        if key[1] == declared.version:
            return False
        # An older version goes where the declared one, with its adapters, has arrived.
        named = {plans.name_adapter(key[0], item) for item in declared.adapters}
        return any(
            (item.model, item.version) == (key[0], declared.version)
            and named <= set(item.adapters)
            for item in view.models
        )
