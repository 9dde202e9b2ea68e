"""Cost of the quarantine at one daemon: state, time a request, a decision, datagrams.

Prints one line of JSON. State and times are those of full tables.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from collections import abc

from absl import logging

from endivevane.quarantine import decisions, evidence, messages, registry
from endivevane.serving import model, peer_messages

_REQUESTS = 20_000
_ENDS = 64
_SUSPECTS = 32
_ENTRIES = 64
_BODY = b"x" * 15_000
_REGION_DAEMONS = 170


def main() -> None:
    """Measure and print."""
    logging.set_verbosity("error")
    tracemalloc.start()
    known = registry.QuarantineRegistry()
    requests = [_make_request(number) for number in range(_REQUESTS)]
    base_bytes, _ = tracemalloc.get_traced_memory()
    for request in requests:
        _answer(known, request)
    answers_bytes, _ = tracemalloc.get_traced_memory()
    for number in range(_ENDS):
        known.evidence.add_end(f"t{number}/1", 1e9 + number, _make_suspects(number))
    ends_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    decision_s = _measure(lambda: decisions.find_crashing_traits(known.evidence, ()), 1)
    for number in range(_ENTRIES):
        traits = frozenset((f"bad{number}", f"worse{number}"))
        known.apply(registry.make_entry(traits, 2e9), 2e9)
    calm = registry.QuarantineRegistry()
    report = messages.EndReport("i-0123456789/1771671223594", 0.1, (_make_one(1),), {})
    notice = messages.EntryNotice("48720f3588ea", ("48720f3588ea",), 0, 0.1, 29.9)
    result = {
        "answers_kb": (answers_bytes - base_bytes) // 1024,
        "ends_kb": (ends_bytes - answers_bytes) // 1024,
        "answer_us": _measure_each(lambda request: _answer(known, request), requests),
        "check_calm_us": _measure_each(lambda item: calm.check(item, 0.0), requests),
        "check_full_us": _measure_each(lambda item: known.check(item, 0.0), requests),
        "decision_full_ms": round(decision_s * 1e3, 2),
        "report_bytes": len(_encode(messages.QuarantineNews("r", ends=(report,)))),
        "notice_bytes": len(_encode(messages.QuarantineNews("r", entries=(notice,)))),
        "coordinator_repeat_bytes_s": _REGION_DAEMONS
        * len(_encode(messages.QuarantineNews("r", entries=(notice,))))
        // 2,
    }
    print(json.dumps(result))


def _make_request(number: int) -> model.ClientRequest:
    return model.ClientRequest(
        method=b"POST",
        host="shop.example",
        path=f"/quote/{number}",
        headers=(),
        body=_BODY,
        attempt_id=b"a",
        received_s=0.0,
        deadline_s=None,
        prompt_segments=(f"a{number % 16}", f"segment{number}"),
    )


def _answer(known: registry.QuarantineRegistry, request: model.ClientRequest) -> None:
    fingerprint = evidence.make_fingerprint(request)
    known.record_answers((*request.prompt_segments, fingerprint), 1.0)


def _make_one(number: int) -> evidence.Suspect:
    segments = ("a1979a9a31e", "ade954151838", f"48720f35{number}")
    return evidence.Suspect(f"request:{number:016x}", segments, True)


def _make_suspects(number: int) -> list[evidence.Suspect]:
    return [_make_one(number * _SUSPECTS + each) for each in range(_SUSPECTS)]


def _encode(news: messages.QuarantineNews) -> bytes:
    return peer_messages.encode(news)


def _measure(work: abc.Callable[[], object], times: int) -> float:
    started_s = time.perf_counter()
    for _ in range(times):
        work()
    return (time.perf_counter() - started_s) / times


def _measure_each(
    work: abc.Callable[[model.ClientRequest], object],
    requests: abc.Sequence[model.ClientRequest],
) -> float:
    """Return the microseconds of a call."""
    started_s = time.perf_counter()
    for request in requests:
        work(request)
    return round((time.perf_counter() - started_s) / len(requests) * 1e6, 2)


if __name__ == "__main__":
    main()
