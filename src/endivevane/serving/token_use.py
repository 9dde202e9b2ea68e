"""Use of tokens by requests and items that may go to targets with rate limits."""

from __future__ import annotations

from collections import abc

from endivevane.rate_limits import holder as token_holder
from endivevane.rate_limits import messages as rate_messages
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import load_table, model


class TokenUse:
    """Requests tokens, and leaves them to those that need them most."""

    def __init__(
        self, loads: load_table.LoadTable, limits: rate_limits.RateLimits
    ) -> None:
        self._loads = loads
        self._limits = limits

    def list_limited(self, targets: abc.Iterable[model.Target]) -> list[model.Target]:
        """Return the targets that have a rate limit."""
        return [
            target
            for target in targets
            if self._limits.find_limit_per_s(target.target_id) is not None
        ]

    def request(
        self,
        limited: abc.Sequence[model.Target],
        need: token_holder.TokenNeed,
        now_s: float,
    ) -> bool:
        """Request a token unless one is there; return whether one is there now."""
        if not limited:
            return False
        if self._has_open(limited, now_s):
            return True
        self._limits.request_token(limited, need, now_s)
        return self._has_open(limited, now_s)

    def list_open_for_batch(
        self,
        service: str,
        targets: abc.Sequence[model.Target],
        is_urgent: bool,
        due_s: float,
        now_s: float,
    ) -> list[model.Target]:
        """Return the targets that an item may be sent to now.

        Items leave the tokens of targets with a limit to online requests that wait.
        """
        if not self._limits.has_limits:
            return list(targets)
        limited = self.list_limited(targets)
        may_use_tokens = is_urgent or not self._loads.has_own_waiting(service)
        need = token_holder.TokenNeed(
            rate_messages.Need.URGENT_ITEM if is_urgent else rate_messages.Need.ITEM,
            0,
            due_s,
        )
        self.request(limited, need, now_s)
        return [
            target
            for target in targets
            if target not in limited
            or (may_use_tokens and self._limits.is_open(target.target_id, now_s))
        ]

    def _has_open(self, targets: abc.Iterable[model.Target], now_s: float) -> bool:
        return any(self._limits.is_open(item.target_id, now_s) for item in targets)
