"""What a daemon believes of the rate limits that targets have named.

A target names its limit in its responses only. A response was made after its request
was sent, so of two responses the one whose request was sent later counts as the newer.
"""

from __future__ import annotations

import dataclasses

from endivevane.serving import model

# A higher limit binds nothing: no target gets as many requests. Each request within a
# limit takes memory for some seconds.
_MAX_LIMIT_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """The rate limit of one run of a target.

    :param run_key: identifies the run of the target
    :param limit_per_s: requests a second, ``None`` once the target has stopped naming
        a limit
    :param sent_s: monotonic time at which the request was sent whose response says so
    """

    run_key: str
    limit_per_s: float | None
    sent_s: float


class LimitBeliefs:
    """Holds the newest belief of each target that has named a limit."""

    def __init__(self) -> None:
        self._beliefs: dict[str, Belief] = {}
        self._limited: dict[str, float] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any target has a limit."""
        return bool(self._limited)

    def record(self, target_id: str, belief: Belief) -> bool:
        """Record a belief if it is newer; return whether the limit has changed."""
        if belief.limit_per_s is not None and belief.limit_per_s > _MAX_LIMIT_PER_S:
            belief = dataclasses.replace(belief, limit_per_s=None)
        known = self._beliefs.get(target_id)
        is_same_run = known is not None and known.run_key == belief.run_key
        if known is None or not is_same_run:
            if belief.limit_per_s is None:
                return False
        elif belief.sent_s <= known.sent_s:
            return False
        self._beliefs[target_id] = belief
        previous_per_s = self._limited.get(target_id)
        if belief.limit_per_s is None:
            self._limited.pop(target_id, None)
        else:
            self._limited[target_id] = belief.limit_per_s
        return previous_per_s != belief.limit_per_s

    def count_limits(self) -> int:
        """Return the number of targets that have a limit."""
        return len(self._limited)

    def find_limit_per_s(self, target_id: str) -> float | None:
        """Return the limit of a target, ``None`` if it has none."""
        return self._limited.get(target_id)

    def find(self, target_id: str) -> Belief | None:
        """Return the belief of a target that has named a limit."""
        return self._beliefs.get(target_id)

    def list_all(self) -> list[Belief]:
        """Return the beliefs of all targets that have named a limit."""
        return list(self._beliefs.values())

    def drop_ended(self, before_s: float) -> None:
        """Drop the limits that have ended.

        :param before_s: monotonic time before which the end must have been read
        """
        self._beliefs = {
            target_id: belief
            for target_id, belief in self._beliefs.items()
            if belief.limit_per_s is not None or belief.sent_s >= before_s
        }

    def forget(self, target: model.Target) -> None:
        """Drop the belief of a target that is gone."""
        self._beliefs.pop(target.target_id, None)
        self._limited.pop(target.target_id, None)

    def mark_outdated(self) -> None:
        """Let any further response override what is believed.

        After a pause of the process, its monotonic times no longer tell which of two
        responses is newer.
        """
        self._beliefs = {
            target_id: dataclasses.replace(belief, sent_s=float("-inf"))
            for target_id, belief in self._beliefs.items()
        }
