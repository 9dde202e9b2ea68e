"""Choice of a target for a request."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections import abc

import xxhash

from endivevane.configuration import snapshot
from endivevane.coordination import rendezvous
from endivevane.online import contract, target_state

# Daemons of each current deployment, assumed when the count is not known.
DEFAULT_DAEMONS = 9
_SEARCHED_RANKS = 4
_COMPARED_LOADS = 16

# Targets in the order in which they are preferred.
Tiers = tuple[list[target_state.TargetState], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a daemon runs.

    :param daemon: its name, the key of its candidate subset
    """

    daemon: str
    zone: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Weights of the score, in units of a whole target's load.

    :param local_candidates: bound of the subset in the daemon's own region, as long
        as the subsets of all daemons cover the targets
    :param coverage: subsets that each target should be in on average; with 4 of them
        and independent choices 2% of the targets are in none
    :param remote_candidates: bound of the subset in other regions
    :param strong_affinity: share of the prompt that makes affinity strong
    :param affinity_weight: how much a fully cached prompt is worth; 0.6 lets a target
        with the whole prompt win until its load is 60% of its slots higher
    :param zone_cost: cost of another zone of the same region
    :param region_cost: cost of another region
    :param model_cost: cost of a target that would have to load the model first
    :param first_margin: how much dearer the first target of a fingerprint's pair may
        be; more than the zone cost, so that daemons of all zones agree in an idle
        fleet
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
    """Return the targets that a daemon sends a service's requests to.

    Each daemon keeps few connections and load reports; the rendezvous hash spreads
    the daemons evenly over the targets and changes little when targets come and go.

    :param leaving: names of targets that get no new work
    :param daemons: daemons that share the targets
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
    """Scores targets and chooses one for a request."""

    def __init__(self, place: Place, settings: RoutingSettings) -> None:
        self._place = place
        self._settings = settings

    def choose(
        self,
        request: contract.OnlineRequest,
        tiers: Tiers,
        may_use: abc.Callable[[target_state.TargetState], bool],
    ) -> target_state.TargetState | None:
        """Return the target to send to, of the first tier that has one.

        A target with a strong affinity is chosen from all; otherwise one of two is,
        because the best of all would draw the requests of all daemons between two
        load reports. The two are the first by rendezvous hash over the fingerprint:
        random for different requests, but the same at every daemon for a request that
        is sent to several daemons, so that it can crash two targets at most.

        :param tiers: targets in the order of :func:`sort_tiers`
        :param may_use: tells whether a target may be used now; asked of few targets,
            since a daemon may have hundreds of candidates
        """
        for tier in tiers:
            best = self._find_affine(request, tier, may_use)
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
        return cost - settings.affinity_weight * _match_share(request, state)

    def _find_affine(
        self,
        request: contract.OnlineRequest,
        tier: abc.Sequence[target_state.TargetState],
        may_use: abc.Callable[[target_state.TargetState], bool],
    ) -> target_state.TargetState | None:
        """Return the target with a strong affinity that is worth its load."""
        hashes = request.prefix_hashes
        if not hashes:
            return None
        # The shortest prefix that is long enough tells most targets apart.
        needed = math.ceil(len(hashes) * self._settings.strong_affinity)
        pivot = hashes[max(needed, 1) - 1]
        affine = [
            state
            for state in tier
            if pivot in state.prefixes
            and may_use(state)
            and state.estimate_load() < state.target.slots
        ]
        if not affine:
            return None
        best = min(affine, key=lambda state: self.compute_cost(request, state))
        limit = _compute_share(best) - self._settings.affinity_weight
        # No load is below zero, so the others need not be looked at.
        if limit <= 0 or limit <= _find_lightest(request.fingerprint, tier, may_use):
            return best
        return None


def sort_tiers(
    region: str, model: str, states: abc.Sequence[target_state.TargetState]
) -> Tiers:
    """Group targets: those with the model first, among them those of the own region.

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
    """Yield targets in the order of the rendezvous hash over a fingerprint.

    Without weights: the cost of the first two counts their slots, and a logarithm for
    each of the hundreds of candidates that a few daemons have would take longest here.
    """
    seed = xxhash.xxh3_64_intdigest(fingerprint)
    ranks = [xxhash.xxh3_64_intdigest(state.target.name, seed) for state in states]
    # Mostly the first two are usable, which sorting all would not pay for.
    for _ in range(min(_SEARCHED_RANKS, len(ranks))):
        best = ranks.index(max(ranks))
        yield states[best]
        ranks[best] = -1
    rest = sorted(zip(ranks, range(len(ranks)), strict=True), reverse=True)
    for rank, number in rest:
        if rank >= 0:
            yield states[number]


def choose_pair(
    fingerprint: str, states: abc.Sequence[target_state.TargetState]
) -> list[target_state.TargetState]:
    """Return the two targets that a fingerprint belongs to, the first one first."""
    return list(itertools.islice(rank_targets(fingerprint, states), 2))


def _find_lightest(
    fingerprint: str,
    states: abc.Sequence[target_state.TargetState],
    may_use: abc.Callable[[target_state.TargetState], bool],
) -> float:
    """Return the smallest load share of a bounded number of usable targets."""
    count = min(_COMPARED_LOADS, len(states))
    start = xxhash.xxh3_64_intdigest(fingerprint) % len(states)
    compared = [states[(start + offset) % len(states)] for offset in range(count)]
    shares = [_compute_share(state) for state in compared if may_use(state)]
    return min(shares, default=1.0)


def _compute_share(state: target_state.TargetState) -> float:
    return state.estimate_load() / state.target.slots


def _match_share(
    request: contract.OnlineRequest, state: target_state.TargetState
) -> float:
    """Return the share of the prompt that the target has cached."""
    if not request.prefix_hashes:
        return 0.0
    return state.prefixes.match(request.prefix_hashes) / len(request.prefix_hashes)
