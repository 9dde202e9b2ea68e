"""Ordering of the open jobs by deadline and organisation."""

from __future__ import annotations

import dataclasses
import functools
import heapq
from collections import abc

import prometheus_client
import xxhash

from endivevane import logs
from endivevane.batch import records
from endivevane.coordination import rendezvous

JOBS_BY_RISK = prometheus_client.Gauge(
    "endivevane_batch_jobs",
    "Open jobs that this daemon watches, by whether they can end in time.",
    ["risk"],
)
# A job is at risk within this share of its window, which leaves time to add capacity.
_RISK_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An open job with an estimate of the remaining work.

    :param items_left: items that are not committed
    """

    job: records.OpenJob
    items_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Jobs in the order in which they get capacity.

    :param on_time: jobs that can all meet their deadlines, earliest deadline first
    :param late: the other jobs, smallest first
    """

    on_time: tuple[Candidate, ...]
    late: tuple[Candidate, ...]

    @property
    def all(self) -> tuple[Candidate, ...]:
        """Every job, best first."""
        return self.on_time + self.late


def order_jobs(
    candidates: abc.Sequence[Candidate],
    items_per_s: float,
    now_ms: int,
    weights: abc.Mapping[str, float],
) -> Order:
    """Order jobs so that as many as possible meet their deadlines.

    Earliest deadline first alone fails under overload: a large job that misses its
    deadline makes all jobs behind it late too. As in the Moore-Hodgson algorithm,
    whenever the jobs so far don't fit, the largest of them is moved behind the others.
    Jobs of organisations above their fair share are moved first.

    :param items_per_s: estimated throughput of the fleet
    :param weights: weights of the organisations; 1 when missing
    """
    rate = max(items_per_s, 1e-6)
    accepted: list[Candidate] = []
    late: list[Candidate] = []
    accepted_items = 0
    items_by_organisation: dict[str, int] = {}
    for candidate in sorted(candidates, key=_get_deadline):
        organisation = candidate.job.organisation
        accepted.append(candidate)
        accepted_items += candidate.items_left
        items_by_organisation[organisation] = (
            items_by_organisation.get(organisation, 0) + candidate.items_left
        )
        if now_ms + accepted_items / rate * 1000 <= candidate.job.deadline_ms:
            continue
        victim = _choose_late(accepted, items_by_organisation, weights)
        accepted.remove(victim)
        accepted_items -= victim.items_left
        items_by_organisation[victim.job.organisation] -= victim.items_left
        late.append(victim)
    late.sort(key=lambda item: (item.items_left, item.job.deadline_ms))
    return Order(tuple(accepted), tuple(late))


def _get_deadline(candidate: Candidate) -> tuple[int, str]:
    return candidate.job.deadline_ms, candidate.job.job_id


def _choose_late(
    accepted: abc.Sequence[Candidate],
    items_by_organisation: abc.Mapping[str, int],
    weights: abc.Mapping[str, float],
) -> Candidate:
    """Return the largest job of the organisations above their fair share."""
    present = {item.job.organisation for item in accepted}
    total_weight = sum(weights.get(name, 1.0) for name in present)
    total_items = sum(items_by_organisation[name] for name in present)
    above = {
        name
        for name in present
        if items_by_organisation[name] * total_weight
        > total_items * weights.get(name, 1.0)
    }
    from_above = [item for item in accepted if item.job.organisation in above]
    return max(from_above or accepted, key=lambda item: item.items_left)


def rank_for_daemon(
    candidates: abc.Sequence[Candidate],
    daemon: str,
    members: abc.Collection[str],
    chunk_items: int,
) -> list[Candidate]:
    """Return the jobs that a daemon should try to claim from, best first.

    A job with fewer chunks left than daemons is preferred by as many daemons as it has
    chunks, chosen by rendezvous hashing; the others try it last. This keeps claims of
    daemons that search at the same time from conflicting.
    """
    preferred: list[Candidate] = []
    others: list[Candidate] = []
    names = tuple(members)
    for candidate in candidates:
        chunks_left = -(-candidate.items_left // chunk_items)
        if chunks_left >= len(names):
            preferred.append(candidate)
            continue
        preferred_members = _choose_members(candidate.job.job_id, names, chunks_left)
        (preferred if daemon in preferred_members else others).append(candidate)
    return preferred + others


# Without a cache, ranks over 340 daemons for 16 jobs per search took 1.5 % of a core.
@functools.lru_cache(maxsize=64)
def _choose_members(job_id: str, names: tuple[str, ...], size: int) -> frozenset[str]:
    weights = dict.fromkeys(names, 1.0)
    return frozenset(rendezvous.choose_subset(job_id, weights, size))


def interleave_by_organisation(
    candidates: abc.Sequence[Candidate],
    held_items: abc.Mapping[str, int],
    weights: abc.Mapping[str, float],
) -> list[Candidate]:
    """Interleave late jobs by organisation, lowest weighted use first.

    :param held_items: items of claimed chunks by organisation
    """
    queues: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        queues.setdefault(candidate.job.organisation, []).append(candidate)
    used = {name: float(held_items.get(name, 0)) for name in queues}
    heap = [(used[name] / weights.get(name, 1.0), name) for name in queues]
    heapq.heapify(heap)
    ordered: list[Candidate] = []
    while heap:
        _, name = heapq.heappop(heap)
        candidate = queues[name].pop(0)
        ordered.append(candidate)
        used[name] += candidate.items_left
        if queues[name]:
            heapq.heappush(heap, (used[name] / weights.get(name, 1.0), name))
    return ordered


class RiskReporter:
    """Reports jobs at risk of missing their deadline by log and metric.

    Each change of the risk is logged once. A hash of the job chooses the daemon that
    reports it; while the membership changes, a job may be reported twice.
    """

    def __init__(self) -> None:
        self._reported: dict[str, str] = {}

    def report(
        self,
        order: Order,
        items_per_s: float,
        now_ms: int,
        daemon: str,
        members: abc.Collection[str],
    ) -> dict[str, str]:
        """Log the jobs whose risk has changed and return the risk by job."""
        names = sorted(members) or [daemon]
        risks: dict[str, str] = {}
        items_before = 0
        for candidate in order.all:
            items_before += candidate.items_left
            job_id = candidate.job.job_id
            if names[xxhash.xxh3_64_intdigest(job_id) % len(names)] != daemon:
                continue
            end_ms = now_ms + int(items_before / max(items_per_s, 1e-6) * 1000)
            risks[job_id] = _classify(candidate, end_ms, now_ms)
            if risks[job_id] != self._reported.get(job_id, "on_time"):
                _log_risk(candidate, risks[job_id], end_ms, now_ms)
        self._reported = risks
        for risk in ("on_time", "at_risk", "late"):
            JOBS_BY_RISK.labels(risk).set(sum(item == risk for item in risks.values()))
        return risks


def _classify(candidate: Candidate, end_ms: int, now_ms: int) -> str:
    job = candidate.job
    if now_ms > job.deadline_ms:
        return "late"
    margin_ms = _RISK_SHARE * (job.deadline_ms - job.created_ms)
    return "at_risk" if end_ms > job.deadline_ms - margin_ms else "on_time"


def _log_risk(candidate: Candidate, risk: str, end_ms: int, now_ms: int) -> None:
    logs.warning(
        "batch_job_risk",
        job_id=candidate.job.job_id,
        organisation=candidate.job.organisation,
        risk=risk,
        items_left=candidate.items_left,
        deadline_in_s=(candidate.job.deadline_ms - now_ms) / 1000,
        expected_in_s=(end_ms - now_ms) / 1000,
    )
