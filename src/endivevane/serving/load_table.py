"""Numbers of requests of all daemons on each target."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

from endivevane.serving import outcome_table

# Reports older than this are left out of the totals.
_REPORT_TTL_S = 1.5
# A character that the name of no service contains.
_SURPLUS_SUFFIX = "\n+"


@dataclasses.dataclass(slots=True)
class Load:
    """Numbers of requests on a target.

    :param online: online requests
    :param batch: batch items
    """

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Number of all requests."""
        return self.online + self.batch


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Requests of a peer.

    :param loads: by target, those with at least one request
    :param waiting_items: batch items that could start now
    :param waiting_requests: online requests that wait for a slot and can still meet
        their objective, by service
    :param outcomes: answer counts of targets with failures
    :param covers_region: whether it covers all daemons of its region
    """

    loads: abc.Mapping[str, Load]
    received_s: float
    waiting_items: int = 0
    waiting_requests: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    outcomes: abc.Mapping[str, outcome_table.Outcomes] = dataclasses.field(
        default_factory=dict
    )
    covers_region: bool = False


class LoadTable:
    """Counts the requests of this daemon and of its peers, by target.

    :ivar version: incremented with each change of this daemon's own counts
    :ivar own_waiting_items: batch items of this daemon that could start now
    :ivar own_waiting_requests: online requests that wait here, by service
    :ivar outcomes: outcomes of the requests, by target
    :ivar same_region_age_s: age of the load reports from daemons of this region
    :ivar cross_region_age_s: the same for other regions
    """

    def __init__(self) -> None:
        self.own: dict[str, Load] = collections.defaultdict(Load)
        self.version = 0
        self.own_waiting_items = 0
        self.own_waiting_requests: collections.Counter[str] = collections.Counter()
        self._peers_waiting_items = 0
        self._peers_waiting_requests: collections.Counter[str] = collections.Counter()
        self._region_waiting: collections.Counter[str] = collections.Counter()
        self.same_region_age_s = 0.0
        self.cross_region_age_s = 0.0
        self.outcomes = outcome_table.OutcomeTable()
        self._reports: dict[str, LoadReport] = {}
        self._peers: dict[str, Load] = {}
        # Slots that this daemon has granted to others of its region.
        self._granted: dict[str, Load] = collections.defaultdict(Load)

    def begin(self, target_id: str, is_batch: bool) -> None:
        """Count a request of this daemon."""
        _add_one(self.own, target_id, is_batch)
        self.version += 1

    def end(self, target_id: str, is_batch: bool) -> None:
        """Stop counting a request of this daemon."""
        _remove_one(self.own, target_id, is_batch)
        self.version += 1

    def add_granted(self, target_id: str, is_batch: bool) -> None:
        """Count a request of another daemon on a slot granted by this one."""
        _add_one(self._granted, target_id, is_batch)

    def remove_granted(self, target_id: str, is_batch: bool) -> None:
        """Stop counting a request of another daemon."""
        _remove_one(self._granted, target_id, is_batch)

    def find_granted(self, target_id: str) -> Load:
        """Return the requests of other daemons on slots granted by this one."""
        return self._granted.get(target_id) or Load()

    def set_report(self, peer: str, report: LoadReport) -> None:
        """Replace the report of a peer."""
        previous = self._reports.get(peer)
        if previous is not None:
            self._add(previous, -1)
        self._reports[peer] = report
        self._add(report, 1)
        self.outcomes.set_report(peer, report.outcomes, report.covers_region)

    def find_report(self, peer: str) -> LoadReport | None:
        """Return the report of a peer, ``None`` if there is none or it has expired."""
        return self._reports.get(peer)

    def drop_stale_reports(self, now_s: float) -> None:
        """Remove the reports that have expired."""
        stale_peers = [
            peer
            for peer, report in self._reports.items()
            if now_s - report.received_s > _REPORT_TTL_S
        ]
        for peer in stale_peers:
            self._add(self._reports.pop(peer), -1)
            self.outcomes.drop_report(peer)

    @property
    def waiting_items(self) -> int:
        """Batch items of all daemons that could start now."""
        return self.own_waiting_items + self._peers_waiting_items

    def count_waiting_requests(self, service: str) -> int:
        """Return the online requests of all daemons that wait for a service."""
        return self.own_waiting_requests[service] + self.count_peers_waiting(service)

    def count_peers_waiting(self, service: str) -> int:
        """Return the online requests of other daemons that wait for a service."""
        return max(0, self._peers_waiting_requests[service])

    def count_region_waiting(self, service: str) -> int:
        """Return the requests that wait at other daemons which report by themselves."""
        return max(0, self._region_waiting[service])

    def count_region_reports(self) -> int:
        """Return how many daemons report by themselves, as those of this region do."""
        return sum(not report.covers_region for report in self._reports.values())

    def has_own_waiting(self, service: str) -> bool:
        """Whether any online request that can be on time waits here."""
        own = self.own_waiting_requests
        return own[service] + own[name_surplus(service)] > 0

    def sum_waiting_requests(self, peers: abc.Iterable[str]) -> dict[str, int]:
        """Return the waiting requests of this daemon and of some peers."""
        summed = collections.Counter(self.own_waiting_requests)
        for peer in peers:
            report = self._reports.get(peer)
            if report is not None:
                summed.update(report.waiting_requests)
        return {service: count for service, count in summed.items() if count}

    def set_waiting_requests(self, counts: collections.Counter[str]) -> None:
        """Replace the counts of requests that wait here."""
        if counts != self.own_waiting_requests:
            self.own_waiting_requests = counts
            self.version += 1

    def sum_waiting_items(self, peers: abc.Iterable[str]) -> int:
        """Return the items of this daemon and of some peers that could start now."""
        reports = (self._reports.get(peer) for peer in peers)
        others = sum(report.waiting_items for report in reports if report is not None)
        return self.own_waiting_items + others

    def total(self, target_id: str) -> Load:
        """Return the requests of all daemons on a target."""
        own = self.own.get(target_id)
        peers = self._peers.get(target_id)
        granted = self._granted.get(target_id)
        online = batch = 0
        for load in (own, peers, granted):
            if load is None:
                continue
            online += load.online
            batch += load.batch
        return Load(online, batch)

    def sum_with(self, peers: abc.Iterable[str]) -> dict[str, Load]:
        """Return the requests of this daemon and of some peers, by target.

        Requests on slots granted by this daemon are included.
        """
        reports = (self._reports.get(peer) for peer in peers)
        summed: dict[str, Load] = {}
        for loads in (
            self.own,
            self._granted,
            *(report.loads for report in reports if report is not None),
        ):
            for target_id, load in loads.items():
                entry = summed.setdefault(target_id, Load())
                entry.online += load.online
                entry.batch += load.batch
        return summed

    def _add(self, report: LoadReport, sign: int) -> None:
        """Add a report to the totals, or subtract it from them."""
        self._peers_waiting_items += sign * report.waiting_items
        for service, count in report.waiting_requests.items():
            self._peers_waiting_requests[service] += sign * count
            if not report.covers_region:
                self._region_waiting[service] += sign * count
        for target_id, load in report.loads.items():
            summed = self._peers.setdefault(target_id, Load())
            summed.online += sign * load.online
            summed.batch += sign * load.batch
            if not summed.total:
                del self._peers[target_id]


def name_surplus(service: str) -> str:
    """Return under which name a service's requests beyond their shares are counted.

    Daemons of earlier releases take it for another service, and leave it out of what
    waits for this one.
    """
    return f"{service}{_SURPLUS_SUFFIX}"


def _add_one(loads: dict[str, Load], target_id: str, is_batch: bool) -> None:
    load = loads[target_id]
    if is_batch:
        load.batch += 1
    else:
        load.online += 1


def _remove_one(loads: dict[str, Load], target_id: str, is_batch: bool) -> None:
    load = loads[target_id]
    if is_batch:
        load.batch -= 1
    else:
        load.online -= 1
    if not load.total:
        del loads[target_id]
