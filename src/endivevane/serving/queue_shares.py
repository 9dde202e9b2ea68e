"""Shares of organisations in the slots that a queue grants, by service."""

from __future__ import annotations

import collections
from collections import abc

from endivevane.fairness import shares
from endivevane.serving import load_table


class QueueShares:
    """Keeps the shares of the services whose requests belong to organisations.

    A service has shares from the first request of an organisation on.
    """

    def __init__(self, loads: load_table.LoadTable) -> None:
        self._loads = loads
        self._by_service: dict[str, shares.ServiceShares] = {}

    def find(self, service: str) -> shares.ServiceShares | None:
        """Return the shares of a service, ``None`` if it has none."""
        return self._by_service.get(service)

    def add(self, service: str, organisation: str) -> None:
        """Let a service have shares if a request of it belongs to an organisation."""
        if organisation and service not in self._by_service:
            self._by_service[service] = shares.ServiceShares()

    def record_grant(self, service: str, organisation: str, now_s: float) -> None:
        """Record that a slot has been granted."""
        service_shares = self._by_service.get(service)
        if service_shares is not None:
            service_shares.record_grant(organisation, now_s)

    def record_end(self, service: str, organisation: str, now_s: float) -> None:
        """Record that a granted slot is free again."""
        service_shares = self._by_service.get(service)
        if service_shares is not None:
            service_shares.record_end(organisation, now_s)

    def count_waiting(
        self,
        waiting: abc.Mapping[str, abc.Mapping[str, int]],
        timely: abc.Mapping[str, abc.Mapping[str, int]],
        now_s: float,
    ) -> collections.Counter[str]:
        """Record the waiting requests and return what other daemons are told of them.

        :param waiting: numbers of requests by service and organisation
        :param timely: those of them that can still meet their objective
        """
        counts: collections.Counter[str] = collections.Counter()
        for service, service_shares in self._by_service.items():
            service_shares.set_waiting(
                waiting.get(service, {}), timely.get(service, {})
            )
            if service not in timely:
                continue
            within = service_shares.count_within(now_s)
            counts[service] = within
            surplus = service_shares.count_timely() - within
            counts[load_table.name_surplus(service)] = surplus
        return counts

    def estimate_turns(self, service: str, organisation: str, now_s: float) -> float:
        """Return how many slots have to be freed for one more request to get one.

        That request can be on time.
        """
        service_shares = self._by_service.get(service)
        if service_shares is None:
            return self._loads.count_waiting_requests(service) + 1
        rank = service_shares.rank_next(organisation, now_s)
        ahead = service_shares.count_ahead(organisation, rank, now_s)
        ahead += self._loads.count_peers_waiting(service)
        if rank > shares.WITHIN_SHARE:
            surplus = load_table.name_surplus(service)
            ahead += self._loads.count_peers_waiting(surplus)
        return max(ahead + 1, service_shares.estimate_turns(organisation, now_s))

    def make_rank_finder(self, service: str, now_s: float) -> abc.Callable[[str], int]:
        """Return a function that ranks the first request of an organisation."""
        service_shares = self._by_service.get(service)
        if service_shares is None:
            return _rank_all_equal
        share = service_shares.find_share(now_s)
        ranks: dict[str, int] = {}

        def find_rank(organisation: str) -> int:
            rank = ranks.get(organisation)
            if rank is None:
                rank = service_shares.rank(organisation, 0, share, now_s)
                ranks[organisation] = rank
            return rank

        return find_rank

    def is_over(self, service: str, organisation: str, now_s: float) -> bool:
        """Whether an organisation uses all of its share of a service or more."""
        service_shares = self._by_service.get(service)
        return service_shares is not None and service_shares.is_over(
            organisation, now_s
        )


def _rank_all_equal(organisation: str) -> int:
    return shares.WITHIN_SHARE
