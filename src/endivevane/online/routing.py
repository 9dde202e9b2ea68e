"""Selection of a target for a request."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections import abc

import xxhash

from endivevane.configuration import snapshot
from endivevane.coordination import rendezvous
from endivevane.online import contract, target_state

# Assumed number of daemons when the count is not known; current deployments have 9.
DEFAULT_DAEMONS = 9
_UNSORTED_RANKS = 4
_COMPARED_LOADS = 16

# Targets grouped by preference, most preferred group first.
Tiers = tuple[list[target_state.TargetState], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Location of a daemon.

    :param daemon: name of the daemon; seeds its choice of candidates
    """

    daemon: str
    zone: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Weights of the routing cost; 1.0 is the load of a fully used target.

    :param local_candidates: maximum candidates in the daemon's own region, unless
        ``coverage`` needs more
    :param coverage: average number of daemons that have a target as a candidate; at 4
        with independent choices, 2% of the targets are nobody's candidate
    :param remote_candidates: maximum candidates in other regions
    :param strong_affinity: cached share of the prompt that makes affinity strong
    :param affinity_weight: cost reduction for a fully cached prompt; at 0.6 such a
        target is preferred until its load is higher by 60% of its slots
    :param zone_cost: cost of another zone of the same region
    :param region_cost: cost of another region
    :param model_cost: cost of a target that would have to load the model first
    :param first_margin: cost by which the first target of a fingerprint's pair may
        exceed the second; above the zone cost, so that daemons of all zones choose
        the same target in an idle fleet
    """

    local_candidates: int = 16
    remote_candidates: int = 4
    coverage: float = 4.0
    strong_affinity: float = 0.5
    affinity_weight: float = 0.6
    zone_cost: float = 0.05
    region_cost: float = 1.0
    model_cost: float = 4.0
    first_margin: float = 0.1


def choose_candidates(
    place: Place,
    service: snapshot.Service,
    leaving: abc.Collection[str],
    settings: RoutingSettings,
    daemons: int = DEFAULT_DAEMONS,
) -> list[snapshot.Target]:
    """Return the targets to which a daemon sends a service's requests.

    A subset limits the connections and load reports of each daemon. Rendezvous hashing
    spreads the daemons evenly and changes the subset little when targets come or go.

    :param leaving: names of draining targets
    :param daemons: number of daemons that share the targets
    """
    local: dict[str, float] = {}
    remote: dict[str, float] = {}
    by_name: dict[str, snapshot.Target] = {}
    for target in service.targets:
        if target.name in leaving:
            continue
        by_name[target.name] = target
        group = local if target.region == place.region else remote
        group[target.name] = float(target.slots)
    key = f"{place.daemon}/{service.name}"
    needed = math.ceil(settings.coverage * len(local) / max(1, daemons))
    bound = max(settings.local_candidates, needed)
    names = rendezvous.choose_subset(key, local, bound)
    names += rendezvous.choose_subset(key, remote, settings.remote_candidates)
    return [by_name[name] for name in names]


class Router:
    """Chooses the target with the lowest cost for a request."""

    def __init__(self, place: Place, settings: RoutingSettings) -> None:
        self._place = place
        self._settings = settings

    def choose(
        self,
        request: contract.OnlineRequest,
        tiers: Tiers,
        may_use: abc.Callable[[target_state.TargetState], bool],
    ) -> target_state.TargetState | None:
        """Return a usable target from the first tier that has one.

        Targets with a strong cache affinity are searched in the whole tier. Otherwise
        two targets are compared: choosing the best of all would send the requests of
        all daemons to one target between two load reports. The two rank first by
        rendezvous hash of the fingerprint, so all daemons send copies of a request to
        the same two targets, and it can crash two at most.

        :param tiers: targets in the order of :func:`sort_tiers`
        :param may_use: returns whether a target may be used now; called for few
            targets, since a daemon may have hundreds of candidates
        """
        for tier in tiers:
            best = self._find_affinity_target(request, tier, may_use)
            if best is not None:
                return best
            usable = filter(may_use, rank_targets(request.fingerprint, tier))
            pair = list(itertools.islice(usable, 2))
            if pair:
                return self._choose_of_pair(request, pair)
        return None

    def _choose_of_pair(
        self,
        request: contract.OnlineRequest,
        pair: abc.Sequence[target_state.TargetState],
    ) -> target_state.TargetState:
        first, *others = pair
        limit = self.compute_cost(request, first) - self._settings.first_margin
        for other in others:
            if self.compute_cost(request, other) < limit:
                return other
        return first

    def compute_cost(
        self, request: contract.OnlineRequest, state: target_state.TargetState
    ) -> float:
        """Return the cost of a target for a request; lower is better."""
        settings = self._settings
        cost = state.estimate_load() / state.target.slots
        if state.target.region != self._place.region:
            cost += settings.region_cost
        elif state.target.zone != self._place.zone:
            cost += settings.zone_cost
        if not state.has_model(request.model):
            cost += settings.model_cost
        return cost - settings.affinity_weight * _compute_cached_share(request, state)

    def _find_affinity_target(
        self,
        request: contract.OnlineRequest,
        tier: abc.Sequence[target_state.TargetState],
        may_use: abc.Callable[[target_state.TargetState], bool],
    ) -> target_state.TargetState | None:
        """Return the best target with strong affinity, unless its load is too high."""
        hashes = request.prefix_hashes
        if not hashes:
            return None
        # Only the shortest sufficient prefix is looked up per target.
        needed = math.ceil(len(hashes) * self._settings.strong_affinity)
        pivot_hash = hashes[max(needed, 1) - 1]
        matching = [
            state
            for state in tier
            if pivot_hash in state.prefixes
            and may_use(state)
            and state.estimate_load() < state.target.slots
        ]
        if not matching:
            return None
        best = min(matching, key=lambda state: self.compute_cost(request, state))
        limit = _compute_share(best) - self._settings.affinity_weight
        # No load is below zero, so the other targets need not be checked.
        if limit <= 0 or limit <= _find_lowest_load(request.fingerprint, tier, may_use):
            return best
        return None


def sort_tiers(
    region: str, model: str, states: abc.Sequence[target_state.TargetState]
) -> Tiers:
    """Group targets: first by whether they have the model, then by region.

    :param region: region of the daemon
    """
    tiers: dict[tuple[bool, bool], list[target_state.TargetState]] = {}
    for state in states:
        rank = (not state.has_model(model), state.target.region != region)
        tiers.setdefault(rank, []).append(state)
    return tuple(tiers[rank] for rank in sorted(tiers))


def rank_targets(
    fingerprint: str, states: abc.Sequence[target_state.TargetState]
) -> abc.Iterator[target_state.TargetState]:
    """Yield targets in the order of the rendezvous hash of a fingerprint.

    The hash is unweighted: the cost accounts for slots already, and a logarithm for
    each of up to hundreds of candidates would dominate the run time.
    """
    seed = xxhash.xxh3_64_intdigest(fingerprint)
    ranks = [xxhash.xxh3_64_intdigest(state.target.name, seed) for state in states]
    # The first two are usable in most cases, so a full sort is avoided.
    for _ in range(min(_UNSORTED_RANKS, len(ranks))):
        best = ranks.index(max(ranks))
        yield states[best]
        ranks[best] = -1
    remaining = sorted(zip(ranks, range(len(ranks)), strict=True), reverse=True)
    for rank, number in remaining:
        if rank >= 0:
            yield states[number]


def choose_pair(
    fingerprint: str, states: abc.Sequence[target_state.TargetState]
) -> list[target_state.TargetState]:
    """Return the two highest-ranked targets for a fingerprint, in order."""
    return list(itertools.islice(rank_targets(fingerprint, states), 2))


def _find_lowest_load(
    fingerprint: str,
    states: abc.Sequence[target_state.TargetState],
    may_use: abc.Callable[[target_state.TargetState], bool],
) -> float:
    """Return the lowest utilisation among a limited number of usable targets."""
    count = min(_COMPARED_LOADS, len(states))
    start = xxhash.xxh3_64_intdigest(fingerprint) % len(states)
    compared = [states[(start + offset) % len(states)] for offset in range(count)]
    shares = [_compute_share(state) for state in compared if may_use(state)]
    return min(shares, default=1.0)


def _compute_share(state: target_state.TargetState) -> float:
    return state.estimate_load() / state.target.slots


def _compute_cached_share(
    request: contract.OnlineRequest, state: target_state.TargetState
) -> float:
    """Return the share of the prompt that the target has cached."""
    if not request.prefix_hashes:
        return 0.0
    return state.prefixes.match(request.prefix_hashes) / len(request.prefix_hashes)
