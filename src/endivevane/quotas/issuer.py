"""Issue of tokens, each the right to send one request of an organisation to a target.

It does no I/O, and the time is passed in. See docs/design/quotas.md for the sum of what
all issuers and holders together let pass.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import typing

from endivevane import metrics
from endivevane.quotas import messages, settings
from endivevane.serving import model

# Life of a token that is lent to a daemon that holds tokens for requests to come.
LENT_TTL_S = 4.0
# Share of max_lent that may be lent while tokens of the previous issuer may be
# outstanding.
_EARLY_LENT_SHARE = 1 / 3
# Share of a bucket that may be lent beyond max_lent; each such token lowers what the
# bucket can hold by one.
_LENT_DEPTH_SHARE = 0.25
# What a daemon asks for ahead is issued from the upper part of a bucket only.
_AHEAD_SHARE = 0.5
# Requests that were refused come again after about this time.
_REFUSED_MEMORY_S = 1.0
_MAX_RETRY_S = 2.0


class View(typing.Protocol):
    """What an issuer has to know of the other daemons."""

    share: float
    share_before: float
    risen_s: float

    def find_since_s(self, organisation: str) -> float:
        """Return the time since which no other daemon issues in place of this one."""

    def may_issue(self, organisation: str, now_s: float) -> bool:
        """Whether others confirm that no other daemon issues."""

    def is_confirmed(self, now_s: float) -> bool:
        """Whether others have answered this daemon lately."""


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """Tokens for a daemon.

    :param retry_after_s: time until another one is likely due
    """

    count: int
    life_s: float
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """Lent tokens with which this daemon bridges the start of the next issuer."""

    organisation: str
    count: int
    until_s: float


@dataclasses.dataclass(slots=True)
class _Loan:
    """Tokens with a long life that are outstanding."""

    asker: str
    number: int
    count: int
    until_s: float


class _Bucket:
    """Tokens of an organisation, which start empty."""

    def __init__(self, since_s: float) -> None:
        self.since_s = since_s
        self.level = 0.0
        self.filled_s = since_s
        self.loans: collections.deque[_Loan] = collections.deque()
        self.max_lent = 0.0
        self._rate_per_s = 0.0
        self._depth = 0.0
        self._share = 0.0
        self._refused = 0.0
        self._refused_s = since_s

    @property
    def is_full(self) -> bool:
        """Whether it holds all that it can."""
        return self.level >= self.depth

    def is_early(self, now_s: float) -> bool:
        """Whether tokens that the issuer before has lent may be outstanding."""
        return now_s - self.since_s < LENT_TTL_S

    def begin(self, rate_per_s: float, depth: float, view: View) -> None:
        """Fill it as if it had been there since this daemon ranked first."""
        self._rate_per_s, self._depth = rate_per_s, depth
        self._share = view.share
        if view.risen_s <= self.since_s:
            return
        full = min(depth, rate_per_s * (view.risen_s - self.since_s))
        self.level = view.share_before * full
        self.filled_s = view.risen_s

    def fill(self, share: float, now_s: float) -> None:
        """Add what has become available, and apply a share from now on.

        :param share: share of the quota that this daemon may issue
        """
        passed_s = max(0.0, now_s - self.filled_s)
        while self.loans and self.loans[0].until_s <= now_s:
            self.loans.popleft()
        self.level = min(
            self._find_free_depth(now_s), self.level + self.rate_per_s * passed_s
        )
        self.filled_s = max(self.filled_s, now_s)
        self._share = share
        self.level = min(self._find_free_depth(now_s), self.level)

    def set_limits(self, rate_per_s: float, depth: float) -> None:
        """Apply the limits of a configuration."""
        self._rate_per_s, self._depth = rate_per_s, depth
        self.level = min(self.depth, self.level)

    @property
    def rate_per_s(self) -> float:
        """Tokens a second."""
        return self._share * self._rate_per_s

    @property
    def depth(self) -> float:
        """Most tokens that it holds, at least one."""
        return max(1.0, self._share * self._depth)

    def find_room(self, now_s: float) -> int:
        """Return how many tokens may be lent now."""
        most = self._find_covered(now_s)
        if not self.is_early(now_s):
            most += _LENT_DEPTH_SHARE * self.depth
        return int(most) - self.count_lent()

    def _find_covered(self, now_s: float) -> float:
        """Return how many lent tokens fit into what may come beyond a quota."""
        covered = self.max_lent * self._share
        return covered * _EARLY_LENT_SHARE if self.is_early(now_s) else covered

    def _find_free_depth(self, now_s: float) -> float:
        """Return the depth less the lent tokens that take the place of others."""
        covered = 0.0 if self.is_early(now_s) else self._find_covered(now_s)
        return max(0.0, self.depth - max(0.0, self.count_lent() - covered))

    def count_lent(self) -> int:
        """Return the number of lent tokens that may still be used."""
        return sum(loan.count for loan in self.loans)

    def settle(self, asker: str, number: int, need: messages.Need) -> None:
        """Apply what a daemon says of the tokens that were lent to it.

        What it returns is added to the bucket, once.
        """
        held = {item.number: item.count for item in need.held}
        returned = {item.number: item.count for item in need.returned}
        for loan in self.loans:
            if loan.asker != asker or loan.number >= number:
                continue
            back = min(loan.count, returned.get(loan.number, 0))
            self.level = min(self.depth, self.level + back)
            loan.count = min(loan.count - back, held.get(loan.number, 0))

    def find_retry_s(self, refused: int, now_s: float) -> float:
        """Return the time until a token is likely due, after some were refused."""
        passed_s = now_s - self._refused_s
        self._refused *= math.exp(-passed_s / _REFUSED_MEMORY_S)
        self._refused_s = now_s
        missing = max(0.0, 1.0 - self.level)
        if not self.rate_per_s:
            return _MAX_RETRY_S
        wait_s = (missing + self._refused) / self.rate_per_s
        self._refused += refused
        return min(_MAX_RETRY_S, wait_s)


class TokenIssuer:
    """Issues the tokens of the organisations for which this daemon ranks first."""

    def __init__(self, limits: settings.QuotasSection, view: View) -> None:
        self._limits = limits
        self._view = view
        self._buckets: dict[str, _Bucket] = {}

    def issue(
        self,
        organisation: model.Organisation,
        asker: str,
        number: int,
        need: messages.Need,
        now_s: float,
    ) -> Issued | None:
        """Return tokens, ``None`` if this daemon must not issue any now."""
        bucket = self._find_bucket(organisation, now_s)
        if bucket is None:
            return None
        bucket.settle(asker, number, need)
        count = min(need.waiting, int(bucket.level))
        life_s = self._limits.find_token_ttl_s(organisation)
        ahead = 0
        if count == need.waiting and need.ahead:
            spare = int(bucket.level - count - _AHEAD_SHARE * bucket.depth)
            room = bucket.find_room(now_s) - count
            if room > 0:
                ahead = max(0, min(need.ahead, spare, room))
            else:
                needed = math.ceil(need.ahead * life_s / LENT_TTL_S)
                ahead = max(0, min(needed, spare))
            if room > 0 and ahead:
                life_s = LENT_TTL_S
                loan = _Loan(asker, number, count + ahead, now_s + life_s)
                bucket.loans.append(loan)
        total = count + ahead
        bucket.level -= total
        metrics.QUOTA_TOKENS.labels("issued").inc(total)
        refused = need.waiting - count
        retry_after_s = bucket.find_retry_s(refused, now_s) if refused else 0.0
        return Issued(total, life_s, retry_after_s)

    def restart(self) -> None:
        """Begin anew, as after a time in which others may have issued tokens."""
        self._buckets.clear()

    def refresh(self, now_s: float) -> list[Kept]:
        """Apply the present share, and drop the buckets that need no memory.

        :return: tokens of organisations that another daemon issues from now on
        """
        kept: list[Kept] = []
        for name, bucket in list(self._buckets.items()):
            since_s = self._view.find_since_s(name)
            if since_s > bucket.since_s:
                del self._buckets[name]
                if math.isinf(since_s) and self._view.is_confirmed(now_s):
                    count = min(int(bucket.level), bucket.find_room(now_s))
                    kept.append(Kept(name, max(0, count), now_s + LENT_TTL_S))
                continue
            bucket.fill(self._view.share, now_s)
            if bucket.is_full and not bucket.count_lent():
                del self._buckets[name]
        return kept

    def _find_bucket(
        self, organisation: model.Organisation, now_s: float
    ) -> _Bucket | None:
        """Return the up-to-date bucket of an organisation."""
        # This comes first, since it updates what find_since_s returns.
        if not self._view.may_issue(organisation.name, now_s):
            return None
        since_s = self._view.find_since_s(organisation.name)
        if now_s < since_s:
            return None
        bucket = self._buckets.get(organisation.name)
        rate_per_s = self._limits.find_rate_per_s(organisation)
        depth = self._limits.find_depth(organisation)
        if bucket is None or since_s > bucket.since_s:
            bucket = _Bucket(since_s)
            self._buckets[organisation.name] = bucket
            bucket.begin(rate_per_s, depth, self._view)
        bucket.fill(self._view.share, now_s)
        bucket.set_limits(rate_per_s, depth)
        bucket.max_lent = self._limits.find_max_lent(organisation)
        return bucket
