"""Cost of shared rate limits: time a decision, state, and datagrams of many daemons.

Prints one line of JSON for the decisions, and one for each number of daemons.
"""

from __future__ import annotations

import asyncio
import json
import time
import tracemalloc
from collections import abc

from absl import logging

from endivevane.rate_limits import beliefs, holder, issuer, messages
from endivevane.serving import model, peer_messages
from features.support import rate_net, serving_fakes

_TARGET_COUNTS = (4, 20, 300)
_ROUNDS = 2_000
_LIMIT_PER_S = 2.0
# Daemons of the two regions.
_DAEMON_COUNTS = ((5, 4), (43, 42), (98, 97), (170, 170))
_DURATION_S = 10.0


def main() -> None:
    """Measure and print."""
    logging.set_verbosity("error")
    for count in _TARGET_COUNTS:
        print(json.dumps(_measure_decisions(count)), flush=True)
    for near, far in _DAEMON_COUNTS:
        print(json.dumps(_measure_traffic(near, far)), flush=True)


def _measure_decisions(count: int) -> dict[str, float]:
    """Return the times and the state of one daemon before some limited targets."""
    names = [f"i-{number:012x}" for number in range(count)]
    fleet = serving_fakes.Fleet(names)
    targets = [fleet.find(name).target for name in names]
    statement = model.RateStatement(_LIMIT_PER_S)
    plain = model.RateStatement()
    plain_s = _measure(
        lambda number: fleet.limits.record_answer(targets[number % count], plain, 0.0)
    )
    tracemalloc.start()
    for target in targets:
        fleet.limits.record_answer(target, statement, time.monotonic())
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    answer_s = _measure(
        lambda number: fleet.limits.record_answer(
            targets[number % count], statement, time.monotonic()
        )
    )
    known = beliefs.LimitBeliefs()
    for target in targets:
        belief = beliefs.Belief(target.run_key, _LIMIT_PER_S, 0.0)
        known.record(target.target_id, belief)
    tokens = issuer.TokenIssuer(known)
    request = messages.TokenRequest(1, messages.Need.WAITING, 0, 0.3, ())

    def issue(number: int) -> None:
        tokens.add("a", request, names, number * 0.01)
        tokens.issue(number * 0.01)

    notices = tuple(messages.LimitNotice(item.run_key, 2.5, 0.1) for item in targets)
    news = messages.LimitNews(notices[:16])
    asked = messages.TokenRequest(1, messages.Need.WAITING, 0, 0.3, notices[:16])
    need = holder.TokenNeed(messages.Need.WAITING, 0, 0.3)
    owner = holder.TokenHolder(lambda _region, _now_s: ("a",), lambda _name, _s: True)
    return {
        "targets": count,
        "answer_without_limit_us": round(plain_s * 1e6, 2),
        "answer_us": round(answer_s * 1e6, 2),
        "issue_us": round(_measure(issue) * 1e6, 2),
        "request_us": round(
            _measure(lambda number: owner.request("near", notices, need, number)) * 1e6,
            2,
        ),
        "state_kb": state_bytes // 1024,
        "news_bytes": len(peer_messages.encode(news)),
        "request_bytes": len(peer_messages.encode(asked)),
        "grant_bytes": len(peer_messages.encode(messages.TokenGrant(1, names[0]))),
    }


def _measure_traffic(near: int, far: int) -> dict[str, float]:
    """Return what daemons send while all that choose targets have requests waiting."""
    loop = asyncio.new_event_loop()
    limits = [
        (f"t{number}", "near" if number % 2 else "far", _LIMIT_PER_S)
        for number in range(8)
    ]
    net = rate_net.Net(loop, near, far, 0.0, limits)

    async def play() -> None:
        for daemon in net.list_deciders():
            for target in net.targets.values():
                daemon.learn(target)
            daemon.demand()
        await asyncio.sleep(_DURATION_S)

    loop.run_until_complete(play())
    sent = sum(len(target.arrivals_s) for target in net.targets.values())
    result = {
        "daemons": near + far,
        "deciders": len(net.list_deciders()),
        "limited_targets": len(limits),
        "datagrams_s": round(net.datagrams / _DURATION_S, 1),
        "bytes_s": round(net.bytes / _DURATION_S),
        "bytes_s_a_decider": round(net.bytes / _DURATION_S / len(net.list_deciders())),
        "used_share": round(sent / (len(limits) * _LIMIT_PER_S * _DURATION_S), 3),
    }
    net.stop()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    return result


def _measure(function: abc.Callable[[int], None]) -> float:
    """Return the mean time of a call, in seconds."""
    started_s = time.perf_counter()
    for number in range(_ROUNDS):
        function(number)
    return (time.perf_counter() - started_s) / _ROUNDS


if __name__ == "__main__":
    main()
