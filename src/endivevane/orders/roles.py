"""Assignment of roles to the engines of a service."""

from __future__ import annotations

import math
from collections import abc

from endivevane.configuration import models, snapshot
from endivevane.coordination import rendezvous
from endivevane.orders import plans

BOTH = "both"
PREFILL = "prefill"
# With this share of the engines lost, the others must all serve whole requests.
_LOST_SHARE = 0.5
# Roles resume at this share of live engines; the gap is a hysteresis, so that a single
# engine does not toggle them.
_RESTORED_SHARE = 0.75


class RoleAssigner:
    """Assigns engines their declared role, or chooses one.

    Roles are suspended while half of the engines are lost.
    """

    def __init__(self) -> None:
        self._is_suspended = False

    def compute(
        self,
        service: models.ServiceModel,
        targets: abc.Sequence[snapshot.Target],
        views: abc.Sequence[plans.EngineView],
        declared_engines: int,
    ) -> abc.Mapping[str, str]:
        """Return the role of each live engine by name.

        :param targets: targets of the service that are not leaving
        :param declared_engines: number of declared engines that the group owns
        """
        if len(views) <= (1 - _LOST_SHARE) * declared_engines:
            self._is_suspended = True
        elif len(views) >= _RESTORED_SHARE * declared_engines:
            self._is_suspended = False
        roles = dict.fromkeys((view.name for view in views), BOTH)
        if self._is_suspended:
            return roles
        declared = {target.name: target.role for target in targets if target.role}
        roles.update({name: declared[name] for name in roles if name in declared})
        free = [view for view in views if view.name not in declared]
        count = math.floor(service.roles.prefill_share * len(views))
        _choose_prefill(service, views, free, count, roles)
        _revert_unserved(service, views, roles)
        return roles


def _choose_prefill(
    service: models.ServiceModel,
    views: abc.Sequence[plans.EngineView],
    free: abc.Sequence[plans.EngineView],
    count: int,
    roles: dict[str, str],
) -> None:
    """Assign the prefill role where the models keep their declared replicas."""
    ranked = sorted(
        free,
        key=lambda view: (
            view.role != PREFILL,
            -rendezvous.score(service.name, view.name),
        ),
    )
    for view in ranked:
        if sum(role == PREFILL for role in roles.values()) >= count:
            return
        roles[view.name] = PREFILL
        for declared in service.models:
            holders = _list_holders(declared.name, views)
            serving = [name for name in holders if roles[name] != PREFILL]
            if view.name in holders and len(serving) < max(1, declared.min_replicas):
                roles[view.name] = BOTH


def _revert_unserved(
    service: models.ServiceModel,
    views: abc.Sequence[plans.EngineView],
    roles: dict[str, str],
) -> None:
    """Revert the prefill engines of a model that no other engine holds."""
    for declared in service.models:
        holders = _list_holders(declared.name, views)
        if all(roles[name] == PREFILL for name in holders):
            roles.update(dict.fromkeys(holders, BOTH))


def _list_holders(model: str, views: abc.Sequence[plans.EngineView]) -> list[str]:
    return [
        view.name
        for view in views
        if any(key[0] == model for key in plans.list_keys(view))
    ]
