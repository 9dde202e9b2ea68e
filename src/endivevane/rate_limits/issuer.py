"""Issue of tokens, each the right to send one request to a target with a rate limit.

One daemon of a target's region issues the tokens of that target, so that the sum over
all daemons keeps to the limit. It does no I/O, and the time is passed in.
"""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

from endivevane.rate_limits import beliefs, messages

# Targets count what they get over this time, so requests may come unevenly within it.
WINDOW_S = 4.0
# A target that names a lower limit still gets a request in this time, since only its
# responses say that the limit has ended.
_MAX_INTERVAL_S = 10.0
# A request for a token that is not repeated is dropped after this time.
_REQUEST_TTL_S = 0.3


class _Window:
    """Tokens of one run of a target, as many in a window as its limit allows.

    A new window counts as used evenly up to its limit: others may have issued tokens.
    """

    def __init__(self, run_key: str, limit_per_s: float, now_s: float) -> None:
        self.run_key = run_key
        self._rate_per_s = 0.0
        self._issued_s: collections.deque[float] = collections.deque()
        self.set_limit(limit_per_s)
        self.fill(now_s)

    def set_limit(self, limit_per_s: float) -> None:
        """Set the limit, which applies to the tokens issued before too."""
        self._rate_per_s = max(limit_per_s, 1 / _MAX_INTERVAL_S)

    def fill(self, now_s: float) -> None:
        """Count as used evenly up to the limit."""
        self._issued_s = collections.deque(
            now_s - number / self._rate_per_s for number in range(self._capacity, 0, -1)
        )

    def count_free(self, now_s: float) -> int:
        """Return the number of tokens that may be issued now."""
        oldest_s = now_s - self._length_s
        while self._issued_s and self._issued_s[0] <= oldest_s:
            self._issued_s.popleft()
        return self._capacity - len(self._issued_s)

    def issue(self, now_s: float) -> None:
        """Count a token."""
        self._issued_s.append(now_s)

    def find_wait_s(self, now_s: float) -> float:
        """Return the time until the next token."""
        free = self.count_free(now_s)
        if free > 0:
            return 0.0
        return self._issued_s[-free] + self._length_s - now_s

    @property
    def _capacity(self) -> int:
        """Tokens in a window."""
        return max(1, int(WINDOW_S * self._rate_per_s))

    @property
    def _length_s(self) -> float:
        """Time in which the limit allows that many tokens."""
        return self._capacity / self._rate_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A daemon's request for a token.

    :param due_s: monotonic time at which the waiting request or item is due
    """

    holder: str
    message: messages.TokenRequest
    target_ids: tuple[str, ...]
    due_s: float
    expires_s: float

    @property
    def sort_key(self) -> tuple[int, int, float]:
        """Position among all requests, lower goes first."""
        return (self.message.need, self.message.priority, self.due_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """A token for a daemon."""

    holder: str
    grant: messages.TokenGrant


class TokenIssuer:
    """Issues the tokens of targets in the order in which they are needed."""

    def __init__(self, limits: beliefs.LimitBeliefs) -> None:
        self._limits = limits
        self._windows: dict[str, _Window] = {}
        self._pending: dict[tuple[str, int], _Pending] = {}

    def add(
        self,
        holder: str,
        message: messages.TokenRequest,
        target_ids: abc.Sequence[str],
        now_s: float,
    ) -> None:
        """Queue a daemon's request, or replace it by its repetition."""
        self._pending[(holder, message.number)] = _Pending(
            holder,
            message,
            tuple(target_ids),
            now_s + message.due_left_s,
            now_s + _REQUEST_TTL_S,
        )

    def issue(self, now_s: float) -> list[Issued]:
        """Return the tokens that are available for the requests that wait."""
        self._drop_expired(now_s)
        issued: list[Issued] = []
        for pending in sorted(self._pending.values(), key=lambda item: item.sort_key):
            target_id = self._find_freest(pending.target_ids, now_s)
            if target_id is None:
                continue
            self._windows[target_id].issue(now_s)
            number = pending.message.number
            del self._pending[(pending.holder, number)]
            grant = messages.TokenGrant(number, target_id)
            issued.append(Issued(pending.holder, grant))
        return issued

    def is_pending(self, holder: str, number: int) -> bool:
        """Whether a daemon's request waits."""
        return (holder, number) in self._pending

    def find_wait_s(self, now_s: float) -> float | None:
        """Return the time until the next token that is waited for, ``None`` if none."""
        wanted = {
            target_id
            for pending in self._pending.values()
            for target_id in pending.target_ids
        }
        windows = (self._find_window(target_id, now_s) for target_id in wanted)
        waits_s = (item.find_wait_s(now_s) for item in windows if item is not None)
        return min(waits_s, default=None)

    def restart(self, now_s: float) -> None:
        """Begin anew, as after a time in which others may have issued tokens."""
        self._pending.clear()
        for window in self._windows.values():
            window.fill(now_s)

    def forget(self, target_id: str) -> None:
        """Drop the tokens of a target that is gone or has no limit any longer."""
        self._windows.pop(target_id, None)

    def _find_freest(self, target_ids: abc.Iterable[str], now_s: float) -> str | None:
        """Return the target with the most tokens, ``None`` if none has one."""
        most, freest = 0, None
        for target_id in target_ids:
            window = self._find_window(target_id, now_s)
            if window is None:
                continue
            free = window.count_free(now_s)
            if free > most:
                most, freest = free, target_id
        return freest

    def _find_window(self, target_id: str, now_s: float) -> _Window | None:
        """Return the window of a target, ``None`` if it has no limit."""
        belief = self._limits.find(target_id)
        if belief is None or belief.limit_per_s is None:
            return None
        window = self._windows.get(target_id)
        if window is None or window.run_key != belief.run_key:
            window = _Window(belief.run_key, belief.limit_per_s, now_s)
            self._windows[target_id] = window
        window.set_limit(belief.limit_per_s)
        return window

    def _drop_expired(self, now_s: float) -> None:
        for key, pending in list(self._pending.items()):
            if now_s >= pending.expires_s:
                del self._pending[key]
