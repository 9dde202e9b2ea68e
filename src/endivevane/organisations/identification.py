"""Finding out whose a request is, and rejecting requests without a valid key."""

from __future__ import annotations

import dataclasses
import http

from endivevane import logs, metrics
from endivevane.organisations import settings
from endivevane.serving import copy_age, model, routing_table

# An organisation's key may have been added in this time; a long poll takes 2 s.
_MAX_CONFIGURATION_AGE_S = 4.0
# Share of the time in which a key that is taken away must stop working. The rest is for
# clocks that run at different speeds.
_MAX_AGE_SHARE = 0.9
# Another daemon usually has a newer configuration.
_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A request that must not run; it has not.

    :param retry_after_s: when to come back, ``None`` if that is of no use
    """

    status: http.HTTPStatus
    retry_after_s: float | None = None


class Identification:
    """Identifies the organisations of requests by the configuration in force.

    :param keys: how soon keys that are taken away must stop working
    """

    def __init__(self, keys: settings.KeysSection) -> None:
        self._keys = keys
        self._configuration_age = copy_age.CopyAge()

    def follow(self, configuration_age: copy_age.CopyAge) -> None:
        """Take the configuration for as old as the feed that hands it over."""
        self._configuration_age = configuration_age

    def identify(
        self,
        request: model.ClientRequest,
        configuration: model.Configuration,
        is_public: bool,
    ) -> model.ClientRequest | Rejected:
        """Return a request with its organisation, or why it must not run.

        :param is_public: whether the request needs no key
        """
        if not configuration.organisations:
            return request
        holder = configuration.key_holders.get(request.key_digest)
        if holder is None:
            if is_public:
                return dataclasses.replace(request, organisation=model.ANONYMOUS)
            return self._reject_unknown(request)
        if not is_public and self._may_be_revoked():
            return self._reject(request, "configuration_out_of_date")
        organisation = configuration.organisations[holder]
        return dataclasses.replace(request, organisation=organisation)

    def _may_be_revoked(self) -> bool:
        """Whether a key may have been taken away for too long, unknown to this VM."""
        limit_s = self._keys.revocation_s
        if limit_s is None:
            return False
        return self._configuration_age.measure_s() > _MAX_AGE_SHARE * limit_s

    def _reject_unknown(self, request: model.ClientRequest) -> Rejected:
        if self._configuration_age.measure_s() > _MAX_CONFIGURATION_AGE_S:
            return self._reject(request, "configuration_out_of_date")
        logs.limited_info(
            "key_unknown" if request.key_digest else "key_missing",
            request=request.attempt_id.decode("latin-1"),
            host=request.host,
        )
        metrics.REFUSALS.labels("unknown_key", "not-run").inc()
        return Rejected(http.HTTPStatus.UNAUTHORIZED)

    def _reject(self, request: model.ClientRequest, cause: str) -> Rejected:
        """Reject a request that a daemon with a newer configuration may serve."""
        logs.limited_info(
            "key_not_checked",
            request=request.attempt_id.decode("latin-1"),
            cause=cause,
            age_s=round(self._configuration_age.measure_s(), 2),
        )
        metrics.REFUSALS.labels(cause, "not-run").inc()
        return Rejected(http.HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_S)


def is_public_host(table: routing_table.RoutingTable, host: str) -> bool:
    """Whether jobs of a host may belong to clients without a key."""
    return any(route.is_public for route in table.find_batch_routes(host))
