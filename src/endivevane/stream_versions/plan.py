"""Assignment of streams to software versions, which any daemon can compute again.

A plan gives each version of a service a share of its streams. Which version a stream
begins at follows from the id of the attempt that begins it and from the plan in force,
so that a daemon that knows the plan knows the version of a stream that it has never
seen. A change of the shares moves few attempts; while an earlier plan may still matter,
those have several candidates.
"""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.coordination import rendezvous

# Epochs of a plan; the oldest are dropped beyond.
_MAX_EPOCHS = 64
# Shares that differ by less than this part of all slots are left as they are, so that a
# release in a large service takes few changes.
_SHARE_TOLERANCE = 0.08


@dataclasses.dataclass(frozen=True, slots=True)
class Epoch:
    """Shares of the versions of a service during a time.

    :param shares: slots of the targets by version, empty if there was no plan
    :param ended_ms: time of the store's clock at which the next epoch replaced it,
        ``None`` for the newest one
    """

    shares: abc.Mapping[str, int]
    ended_ms: int | None = None

    def assign(self, attempt: str) -> str | None:
        """Return the version at which an attempt begins its stream."""
        if len(self.shares) == 1:
            return next(iter(self.shares))
        return rendezvous.choose_member(attempt, self.shares)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The epochs of a service, the newest one last."""

    epochs: tuple[Epoch, ...]

    @property
    def newest(self) -> Epoch:
        """The epoch in force."""
        return self.epochs[-1]

    def list_candidates(self, attempt: str, since_ms: float) -> frozenset[str | None]:
        """Return the versions at which an attempt may have begun its stream.

        ``None`` stands for any version.

        :param since_ms: earliest time of the store's clock at which it can have begun
        """
        return frozenset(
            epoch.assign(attempt)
            for epoch in self.epochs
            if epoch.ended_ms is None or epoch.ended_ms >= since_ms
        )

    def list_versions(self, since_ms: float) -> frozenset[str | None]:
        """Return the versions that any stream may have begun at since a time."""
        versions: set[str | None] = set()
        for epoch in self.epochs:
            if epoch.ended_ms is not None and epoch.ended_ms < since_ms:
                continue
            versions.update(epoch.shares or (None,))
        return frozenset(versions)


def needs_change(plan: Plan | None, shares: abc.Mapping[str, int]) -> bool:
    """Return whether the shares in force differ from the wanted ones.

    :param shares: slots of the usable targets by version; empty changes nothing
    """
    if not shares:
        return False
    if plan is None or plan.newest.shares.keys() != shares.keys():
        return True
    total, wanted_total = sum(plan.newest.shares.values()), sum(shares.values())
    return any(
        abs(plan.newest.shares[version] / total - slots / wanted_total)
        >= _SHARE_TOLERANCE
        for version, slots in shares.items()
    )


def advance(
    plan: Plan | None, shares: abc.Mapping[str, int], now_ms: int, keep_ms: int
) -> Plan:
    """Return the plan with a new epoch in force.

    Where epochs are dropped, one of any version stands for them: who asks for a time
    before the last of them has ended gets no version from the others.

    :param now_ms: time of the store's clock
    :param keep_ms: how long an epoch is kept after its end
    """
    earlier = (Epoch({}),) if plan is None else plan.epochs
    if len(earlier) > 1:
        # Epochs end in the order in which they began, by whoever's clock.
        now_ms = max(now_ms, (earlier[-2].ended_ms or 0) + 1)
    ended = (*earlier[:-1], dataclasses.replace(earlier[-1], ended_ms=now_ms))
    first = next(
        number
        for number, epoch in enumerate(ended)
        if (epoch.ended_ms or 0) >= now_ms - keep_ms
    )
    # One more stands for those that are dropped, and one is in force.
    first = max(first, len(ended) - (_MAX_EPOCHS - 2))
    dropped = (Epoch({}, ended[first - 1].ended_ms),) if first else ()
    return Plan((*dropped, *ended[first:], Epoch(dict(shares))))
