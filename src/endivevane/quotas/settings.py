"""Settings about quotas of organisations."""

from __future__ import annotations

import typing

import pydantic

from endivevane.serving import model

_WindowSeconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]
# A token that waits at a daemon for a request that comes soon.
_TOKEN_TTL_S = 0.25
# A token lives longer than a round trip within a region even where nothing may come
# beyond a quota.
_MIN_TOKEN_TTL_S = 0.05
# Share of what a quota may be exceeded by that the life of tokens may cost.
_TOKEN_TTL_SHARE = 0.5
# Share of the excess at which a burst without a rate comes back.
_BURST_REFILL_SHARE = 0.25
# Shares of the rest that may be lent, and that the burst is larger by. What remains is
# for daemons whose views of the live daemons differ for a moment.
_LENT_SHARE = 0.15
_DEPTH_SHARE = 0.55


class QuotasSection(pydantic.BaseModel):
    """How exactly the quotas of organisations are kept over all daemons.

    :param window_s: length of the sliding window in which requests are counted
    :param overage: share of what a quota allows in a window that may come beyond it
    :param slack: requests in a window that may come beyond that
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    window_s: _WindowSeconds = 5.0
    overage: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    slack: typing.Annotated[int, pydantic.Field(ge=0)] = 20

    def find_rate_per_s(self, organisation: model.Organisation) -> float:
        """Return the rate at which tokens become available.

        A quota without a rate still allows its burst, which comes back in the excess.
        """
        excess = self._find_excess(organisation)
        if not organisation.rate_per_s:
            return _BURST_REFILL_SHARE * excess / self.window_s
        most = organisation.rate_per_s * self.window_s + excess
        return min(organisation.rate_per_s, most / (self.window_s + _MIN_TOKEN_TTL_S))

    def find_token_ttl_s(self, organisation: model.Organisation) -> float:
        """Return the life of a token that a daemon needs at once."""
        rate_per_s = self.find_rate_per_s(organisation)
        if not rate_per_s:
            return _TOKEN_TTL_S
        excess = self._find_excess(organisation)
        ttl_s = min(_TOKEN_TTL_S, _TOKEN_TTL_SHARE * excess / rate_per_s)
        return max(_MIN_TOKEN_TTL_S, ttl_s)

    def find_max_lent(self, organisation: model.Organisation) -> float:
        """Return how many tokens with a long life may be outstanding."""
        return _LENT_SHARE * self._find_rest(organisation)

    def find_depth(self, organisation: model.Organisation) -> float:
        """Return how many tokens may be issued at once.

        Requests below a rate come unevenly, also where there is no burst.
        """
        return organisation.burst + _DEPTH_SHARE * self._find_rest(organisation)

    def _find_rest(self, organisation: model.Organisation) -> float:
        """Return what the life of tokens and a higher rate leave of the excess."""
        rate_per_s = self.find_rate_per_s(organisation)
        spent = rate_per_s * self.find_token_ttl_s(organisation)
        spent += max(0.0, rate_per_s - organisation.rate_per_s) * self.window_s
        return max(0.0, self._find_excess(organisation) - spent)

    def _find_excess(self, organisation: model.Organisation) -> float:
        """Return how many requests beyond a quota may come in a window."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return self.overage * allowed + self.slack
