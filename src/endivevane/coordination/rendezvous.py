"""Weighted rendezvous hashing."""

from __future__ import annotations

import heapq
import math
from collections import abc

import xxhash


def score(key: str, member: str, weight: float = 1.0) -> float:
    """Return the score of a member for a key; the highest score wins.

    Members get keys in proportion to their weights, and a change of one weight moves
    keys only from or to that member.

    :param weight: greater than zero
    """
    digest = xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{member}")
    uniform = (digest + 0.5) / 2.0**64
    # The highest digests round to 1.0, whose logarithm is zero.
    uniform = min(uniform, 1.0 - 2.0**-53)
    return -weight / math.log(uniform)


def choose_member(key: str, members: abc.Mapping[str, float]) -> str | None:
    """Return the member that owns a key, or ``None`` without members.

    :param members: weights by name
    """
    chosen = choose_subset(key, members, 1)
    return chosen[0] if chosen else None


def choose_subset(key: str, members: abc.Mapping[str, float], size: int) -> list[str]:
    """Return the members with the highest scores, best first.

    A member that joins or leaves replaces at most one member of the subset.

    :param members: weights by name; members of weight zero or less are excluded
    """
    ranked = [
        (score(key, name, weight), name)
        for name, weight in members.items()
        if weight > 0
    ]
    return [name for _, name in heapq.nlargest(size, ranked)]
