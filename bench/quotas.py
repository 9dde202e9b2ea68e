"""Cost of quotas over all daemons: requests lost or late, time a decision, datagrams.

Prints one line of JSON for the times, and one for each number of daemons, kind of
demand and fault. Requests stay below the quotas; times of the network are virtual.
"""

from __future__ import annotations

import dataclasses
import json
import random
import time
import typing
from collections import abc

from absl import logging

from endivevane.organisations import identification, keys
from endivevane.organisations import settings as organisation_settings
from endivevane.quotas import holder, issuer, membership, messages, settings
from endivevane.serving import model
from features.support import quota_net

_ROUNDS = 20_000
_WARM_UP_S = 8.0
_DURATION_S = 12.0
_FAULT_AFTER_S = 4.0
# What each organisation may send, and at least so many times its mean.
_RATE_PER_S = 101.0
_HEADROOM = 3.0
_LATE_S = 0.005
# Share of the requests that comes to one daemon in ten where demand is uneven.
_UNEVEN_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _Deployment:
    daemons: int
    organisations: int
    requests_per_s: float


_DEPLOYMENTS = (
    _Deployment(9, 20, 40.0),
    _Deployment(66, 75, 135.0),
    _Deployment(340, 630, 7500.0),
)


def main() -> None:
    """Measure and print."""
    logging.set_verbosity("error")
    print(json.dumps(_measure_decisions()), flush=True)
    for deployment in _DEPLOYMENTS:
        for is_even in (True, False):
            for has_fault in (False, True):
                row = _play(deployment, is_even, has_fault)
                print(json.dumps(row), flush=True)


def _play(
    deployment: _Deployment, is_even: bool, has_fault: bool
) -> dict[str, typing.Any]:
    """Return what becomes of the requests of a deployment below their quotas."""
    generator = random.Random(11)
    weights = [1.0 / (number + 1) for number in range(deployment.organisations)]
    total = sum(weights)
    organisations = [
        quota_net.make_organisation(f"tenant-{number}", limit, limit)
        for number, weight in enumerate(weights)
        for limit in (
            max(_RATE_PER_S, _HEADROOM * deployment.requests_per_s * weight / total),
        )
    ]
    regions = {f"front-{n}": f"r{n % 2}" for n in range(deployment.daemons)}
    net = quota_net.Net(regions, organisations, seed=3, has_heartbeats=False)
    names = list(regions)
    busy = names[: max(1, len(names) // 10)]
    net.run_until(net.now_s + _WARM_UP_S)
    started_s = moment_s = net.now_s
    victim = None
    net.sent.clear()
    net.sent_bytes.clear()
    run_s = time.process_time()
    while moment_s < started_s + _DURATION_S:
        moment_s += generator.expovariate(deployment.requests_per_s)
        if has_fault and victim is None and moment_s > started_s + _FAULT_AFTER_S:
            net.run_until(started_s + _FAULT_AFTER_S)
            victim = net.find_issuer("tenant-0")
            net.kill(str(victim))
        net.run_until(moment_s)
        uneven = not is_even and generator.random() < _UNEVEN_SHARE
        daemon = net.daemons[generator.choice(busy if uneven else names)]
        (chosen,) = generator.choices(organisations, weights)
        if daemon.is_up:
            daemon.request(chosen.name)
    net.run_until(net.now_s + 1.0)
    run_s = time.process_time() - run_s
    counted = [item for item in net.requests if item.outcome != "lost"]
    refused = sum(not item.is_admitted for item in counted)
    late = sum(item.decided_s - item.sent_s > _LATE_S for item in counted)
    share = _DURATION_S * len(names)
    return {
        "daemons": deployment.daemons,
        "organisations": deployment.organisations,
        "requests": len(counted),
        "demand": "even" if is_even else "uneven",
        "fault": "issuer of the largest dies" if has_fault else "none",
        "refused_pct": round(100 * refused / len(counted), 3),
        "late_pct": round(100 * late / len(counted), 2),
        "datagrams_per_s": round(sum(net.sent.values()) / share, 1),
        "most_datagrams_per_s": round(max(net.sent.values()) / _DURATION_S, 1),
        "bytes_per_s": round(sum(net.sent_bytes.values()) / share),
        "most_bytes_per_s": round(max(net.sent_bytes.values()) / _DURATION_S),
        "cpu_ms_per_s": round(1000 * run_s / share, 3),
    }


def _measure_decisions() -> dict[str, float]:
    """Return the times of one check of a key and of one decision."""
    organisations = {f"o{n}": model.Organisation(f"o{n}") for n in range(630)}
    holders = {keys.hash_key(f"key-{n}".encode()): f"o{n}" for n in range(630)}
    configuration = model.Configuration(
        1, (), {}, model.ClientLimits(), organisations, holders
    )
    checker = identification.Identification(organisation_settings.KeysSection())

    def check(number: int) -> None:
        request = model.ClientRequest(
            method=b"POST",
            host="h",
            path="/",
            headers=(),
            body=b"",
            attempt_id=b"a",
            received_s=0.0,
            deadline_s=None,
            key_digest=keys.hash_key(f"key-{number % 630}".encode()),
        )
        checker.identify(request, configuration, False)

    regions = {f"front-{n}": f"r{n % 2}" for n in range(340)}
    view, names = _make_view(regions, "front-1")
    limits = settings.QuotasSection()
    organisation = quota_net.make_organisation("o", 1e6, 1e6)
    tokens = issuer.TokenIssuer(limits, _Open())
    owner = holder.TokenHolder(limits, _Open(), tokens, lambda _name: organisation, 1)
    need = messages.Need("o", 1)

    def update(number: int) -> None:
        view.update(names, 100.0 + number * 0.1)

    def admit(number: int) -> None:
        owner.admit("o", number, 1.0, 100.0 + number * 1e-4)
        owner.collect(100.0 + number * 1e-4)

    def issue(number: int) -> None:
        tokens.issue(organisation, "d1", number, need, 100.0 + number * 1e-4)

    return {
        "check_key_us": round(_measure(check), 2),
        "admit_us": round(_measure(admit), 2),
        "issue_us": round(_measure(issue), 2),
        "rank_340_daemons_us": round(
            _measure(lambda n: membership.rank(f"o{n}", regions), 500), 1
        ),
        "view_of_340_daemons_us": round(_measure(update, 500), 1),
    }


class _Open:
    """The view of a daemon that ranks first and is confirmed."""

    share = 1.0
    share_before = 0.0
    risen_s = float("-inf")

    def find_since_s(self, _organisation: str) -> float:
        return 0.0

    def may_issue(self, _organisation: str, _now_s: float) -> bool:
        return True

    def is_confirmed(self, _now_s: float) -> bool:
        return True

    def list_sources(self, _organisation: str) -> tuple[str, ...]:
        return ()

    list_first = list_sources

    def is_issuer(self, _organisation: str) -> bool:
        return True

    is_region_first = is_issuer

    def is_remote(self, _name: str) -> bool:
        return False


def _make_view(
    regions: dict[str, str], name: str
) -> tuple[membership.MemberView, membership.Snapshot]:
    view = membership.MemberView(name, regions[name])
    snapshot = membership.Snapshot(
        regions, frozenset(regions), frozenset(), len(regions), 0.1, 0.5, True
    )
    view.update(snapshot, 0.0)
    return view, snapshot


def _measure(call: abc.Callable[[int], None], rounds: int = _ROUNDS) -> float:
    """Return the time of one call in microseconds."""
    started_s = time.perf_counter()
    for number in range(rounds):
        call(number)
    return (time.perf_counter() - started_s) / rounds * 1e6


if __name__ == "__main__":
    main()
