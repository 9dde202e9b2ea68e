"""Placement of models on the engines of a service."""

from __future__ import annotations

import math

from endivevane.configuration import models
from endivevane.coordination import rendezvous
from endivevane.orders import plans


def compute(
    group: plans.Group, settings: plans.PlacementSettings, now_s: float
) -> plans.Plan:
    """Compute the desired state of each engine.

    :param now_s: monotonic time, on the clock of ``group.since_s``
    """
    builder = _PlanBuilder(group, settings, now_s)
    builder.place_replicas()
    builder.place_adapters()
    builder.remove_unwanted()
    return plans.Plan(builder.desired, builder.count_missing())


class _PlanBuilder:
    """Builds a plan step by step."""

    def __init__(
        self, group: plans.Group, settings: plans.PlacementSettings, now_s: float
    ) -> None:
        self._group = group
        self._settings = settings
        self._now_s = now_s
        self._declared = {item.name: item for item in group.declared}
        self._views = {view.name: view for view in group.engines}
        self.desired: dict[str, dict[plans.Key, frozenset[str]]] = {
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

    def count_missing(self) -> dict[str, int]:
        """Return the number of missing declared replicas by model."""
        return {
            item.name: max(0, self._count_needed(item) - self._count_current(item))
            for item in self._group.declared
        }

    def place_replicas(self) -> None:
        """Add missing replicas while the limits allow."""
        skipped: set[str] = set()
        while self._may_load():
            short = [
                item
                for item in self._group.declared
                if item.name not in skipped and self._is_short(item)
            ]
            if not short:
                return
            chosen = min(short, key=self._rank_model)
            if not self._place_replica(chosen):
                skipped.add(chosen.name)

    def place_adapters(self) -> None:
        """Change the adapters of loaded models to the declared ones."""
        for view in self._group.engines:
            if not self._may_load() or not self._may_change(view):
                continue
            desired = self.desired[view.name]
            for key in plans.list_keys(view):
                declared = self._declared.get(key[0])
                if declared is None or key[1] != declared.version:
                    continue
                adapters = self._choose_adapters(view, key, declared)
                if key not in desired or adapters == desired[key]:
                    continue
                desired[key] = adapters
                self._record_load(view.name)

    def remove_unwanted(self) -> None:
        """Unload models that are no longer declared and replaced versions."""
        for view in self._group.engines:
            if len(self._changed) >= self._max_changed or not self._may_change(view):
                continue
            for key in plans.list_keys(view):
                if not self._is_unwanted(view, key):
                    continue
                self.desired[view.name].pop(key, None)
                self._changed.add(view.name)

    def _may_load(self) -> bool:
        has_capacity = len(self._changed) < self._max_changed
        return has_capacity and self._loads < self._settings.max_loads

    def _may_change(self, view: plans.EngineView) -> bool:
        return view.is_fresh and view.name not in self._changed

    def _record_load(self, name: str) -> None:
        if name not in self._changed:
            self._changed.add(name)
            self._loads += 1

    def _list_holders(self, name: str) -> list[str]:
        """Return the engines with any version of a model loaded or loading."""
        return [
            target
            for target, desired in self.desired.items()
            if any(key[0] == name for key in desired)
        ]

    def _count_current(self, declared: models.LanguageModelModel) -> int:
        key = (declared.name, declared.version)
        return sum(key in desired for desired in self.desired.values())

    def _count_needed(self, declared: models.LanguageModelModel) -> int:
        """Return the required replicas of the declared version.

        While an older version is loaded somewhere, each engine with it gets the new
        one, so that a version change does not reduce the number of replicas.
        """
        needed = min(declared.min_replicas, len(self._views))
        key = (declared.name, declared.version)
        has_older = any(
            other[0] == declared.name and other != key
            for desired in self.desired.values()
            for other in desired
        )
        if not has_older:
            return needed
        return max(needed, len(self._list_holders(declared.name)))

    def _get_desired_replicas(self, declared: models.LanguageModelModel) -> int:
        """Return the desired replicas by document and demand."""
        desired_replicas = self._group.desired_replicas or {}
        return max(declared.min_replicas, desired_replicas.get(declared.name, 0))

    def _is_short(self, declared: models.LanguageModelModel) -> bool:
        """Return whether a model may get another replica now."""
        current = self._count_current(declared)
        if current < self._count_needed(declared):
            return True
        has_capacity = self._loads < self._settings.max_demand_loads
        return has_capacity and current < min(
            self._get_desired_replicas(declared), len(self._views)
        )

    def _rank_model(
        self, declared: models.LanguageModelModel
    ) -> tuple[bool, bool, float, str]:
        """Rank short models: unserved first, then below the declared number."""
        holders = len(self._list_holders(declared.name))
        current = self._count_current(declared)
        is_complete = current >= self._count_needed(declared)
        share = current / max(1, self._get_desired_replicas(declared))
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
            desired = self.desired[view.name]
            if not self._may_change(view) or key in desired:
                continue
            victim = None
            if len(desired) >= self._settings.max_models:
                victim = self._find_victim(view, declared.name, is_unserved)
                if victim is None:
                    continue
            has_older = any(other[0] == declared.name for other in desired)
            rank = (
                float(not has_older),
                float(victim is not None),
                float(zones.get(view.zone, 0)),
                float(len(desired)),
                round(view.load_share, 1),
                -rendezvous.score(declared.name, view.name),
            )
            ranked.append((rank, view.name, victim))
        if not ranked:
            return False
        _, target, victim = min(ranked, key=lambda item: item[0])
        if victim is not None:
            del self.desired[target][victim]
        self.desired[target][key] = frozenset()
        self._record_load(target)
        return True

    def _find_victim(
        self, view: plans.EngineView, name: str, is_unserved: bool
    ) -> plans.Key | None:
        """Return the model to evict from an engine.

        An unserved model may evict any replica that is not the last one of its model;
        all others evict only surplus replicas past their residence time.
        """
        ranked: list[tuple[tuple[float, ...], plans.Key]] = []
        for key in plans.list_keys(view):
            declared = self._declared.get(key[0])
            if key[0] in self._group.protected or key not in self.desired[view.name]:
                continue
            if declared is None:
                if is_unserved or self._is_past_residence(view.name, key):
                    ranked.append(((0.0, 0.0), key))
                continue
            if not self._is_served_elsewhere(view, key):
                continue
            is_older = key[0] == name and key[1] != declared.version
            surplus = len(self._list_holders(key[0])) - self._get_desired_replicas(
                declared
            )
            is_surplus = surplus > 0 and self._group.desired_replicas is not None
            is_evictable = is_surplus and self._is_past_residence(view.name, key)
            if is_evictable or is_unserved or is_older:
                ranked.append(((1.0 - is_older / 2, -float(surplus)), key))
        return min(ranked)[1] if ranked else None

    def _is_past_residence(self, target: str, key: plans.Key) -> bool:
        since_s = self._group.since_s.get((target, key), self._now_s)
        return self._now_s - since_s >= self._settings.residence_s

    def _is_served_elsewhere(self, view: plans.EngineView, key: plans.Key) -> bool:
        """Return whether another engine has the model and its declared adapters."""
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
            and (item.model, item.version) in self.desired[other.name]
            for other in self._group.engines
            if other.name != view.name and other.is_quiescent
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
        if self._is_past_residence(view.name, key):
            return named
        return named | self.desired[view.name].get(key, frozenset())

    def _is_unwanted(self, view: plans.EngineView, key: plans.Key) -> bool:
        if key[0] in self._group.protected:
            return False
        declared = self._declared.get(key[0])
        if declared is None:
            return self._is_past_residence(view.name, key)
        if key[1] == declared.version:
            return False
        # Unload an older version once the declared one and its adapters are loaded.
        named = {plans.name_adapter(key[0], item) for item in declared.adapters}
        return any(
            (item.model, item.version) == (key[0], declared.version)
            and named <= set(item.adapters)
            for item in view.models
        )
