"""The reports that daemons send each other."""

from __future__ import annotations

import dataclasses
from collections import abc

import orjson

from endivevane.serving import load_board, outcome_board


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The load that a daemon, or all daemons of a region, put on targets.

    :param sequence: number of the report among those of its sender
    :param waiting_items: batch items that could start now
    :param waiting_requests: online requests that wait for a place and can be on time,
        by service
    :param outcomes: answers of targets with failures
    :param version: newest version of the store that the sender knows of
    :param is_stopping: whether the daemon is about to end
    :param living: names and incarnations of the region's daemons; empty in the report
        of a single daemon
    """

    name: str
    region: str
    incarnation: str
    sequence: int
    loads: abc.Mapping[str, load_board.Load]
    waiting_items: int = 0
    waiting_requests: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    outcomes: abc.Mapping[str, outcome_board.Outcomes] = dataclasses.field(
        default_factory=dict
    )
    version: int = -1
    is_stopping: bool = False
    living: tuple[tuple[str, str], ...] = ()


def encode(report: Report) -> bytes:
    """Return a report as a datagram."""
    loads = [(key, load.online, load.batch) for key, load in report.loads.items()]
    outcomes = [
        (key, round(each.answers, 2), round(each.failures, 2))
        for key, each in report.outcomes.items()
    ]
    return orjson.dumps(
        (
            report.name,
            report.region,
            report.incarnation,
            report.sequence,
            loads,
            report.waiting_items,
            dict(report.waiting_requests),
            outcomes,
            report.version,
            report.is_stopping,
            report.living,
        )
    )


def decode(data: bytes) -> Report:
    """Return the report in a datagram.

    :raises ValueError: when the datagram holds none
    """
    try:
        fields = orjson.loads(data)
        name, region, incarnation, sequence, loads, *counts, living = fields
        items, requests, outcomes, version, is_stopping = counts
        return Report(
            name=str(name),
            region=str(region),
            incarnation=str(incarnation),
            sequence=int(sequence),
            loads={
                str(target): load_board.Load(int(online), int(batch))
                for target, online, batch in loads
            },
            waiting_items=int(items),
            waiting_requests={
                str(service): int(count) for service, count in requests.items()
            },
            outcomes={
                str(target): outcome_board.Outcomes(float(answers), float(failed))
                for target, answers, failed in outcomes
            },
            version=int(version),
            is_stopping=bool(is_stopping),
            living=tuple((str(peer), str(run)) for peer, run in living),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise ValueError(f"not a report: {error}") from error
