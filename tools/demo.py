"""Serve online requests and a batch job while a daemon and an engine are killed.

The last line of the output is a JSON object with the counts.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import sys
import threading
import time
import urllib.error
import urllib.request

import httpx
import numpy
import openai

from standins import completions
from tools import audit, fleet, jobs

_MODEL = "small-lm"
_ITEMS = 2400
_ITEM_TOKENS = 8
_ANSWER_TOKENS = 24
_RATE_PER_S = 20.0
_BASELINE_S = 8.0
_DAEMON_KILL_S = 2.0
_ENGINE_KILL_S = 4.0
_JOB_LIMIT_S = 30.0
_MAX_RESENDS = 2
_POLL_S = 0.25


@dataclasses.dataclass(slots=True)
class CallResult:
    """Outcome of one online request, as the client saw it.

    :param first_token_ms: latency from the scheduled arrival, including resends
    :param sends: number of times the client sent it
    :param outcome: ``ok``, ``refused`` or ``failed``
    """

    first_token_ms: float = 0.0
    sends: int = 0
    outcome: str = "failed"
    is_wrong: bool = False


class LoadGenerator:
    """Sends online requests at a fixed rate until stopped.

    :param url: base URL of the entry point
    """

    def __init__(self, url: str, key: str) -> None:
        self.results: list[CallResult] = []
        self.answered_orders: set[str] = set()
        self.failed_orders = 0
        self._url = url
        self._key = key
        # Resends are made here, not in the client library, so that they are counted.
        self._client = openai.OpenAI(base_url=f"{url}/v1", api_key=key, max_retries=0)
        self._executor = concurrent.futures.ThreadPoolExecutor(96)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._number = 0

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the responses."""
        self._stop.set()
        self._thread.join()
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        started_s = time.monotonic()
        while not self._stop.is_set():
            due_s = started_s + self._number / _RATE_PER_S
            if self._stop.wait(max(0.0, due_s - time.monotonic())):
                break
            self._executor.submit(self._call, self._number, due_s)
            if self._number % 10 == 0:
                self._executor.submit(self._order, f"order-{self._number}")
            self._number += 1

    def _call(self, number: int, due_s: float) -> None:
        result = CallResult()
        self.results.append(result)
        prompt = [{"role": "user", "content": f"question {number}"}]
        expected = completions.expected_text(prompt, _ANSWER_TOKENS)
        while result.sends <= _MAX_RESENDS:
            result.sends += 1
            try:
                text = self._send(prompt, number % 4 != 0, due_s, result)
            except openai.APIStatusError as error:
                result.outcome = "refused" if error.status_code < 500 else "failed"
                continue
            except (openai.OpenAIError, httpx.HTTPError):
                result.outcome = "failed"
                continue
            result.outcome = "ok"
            result.is_wrong = text != expected
            return

    def _send(
        self,
        prompt: list[dict[str, str]],
        is_streamed: bool,
        due_s: float,
        result: CallResult,
    ) -> str:
        answer = self._client.chat.completions.create(
            model=_MODEL,
            messages=prompt,
            max_tokens=_ANSWER_TOKENS,
            temperature=0,
            stream=is_streamed,
        )
        if not is_streamed:
            return answer.choices[0].message.content
        parts = []
        for chunk in answer:
            if not chunk.choices or not chunk.choices[0].delta.content:
                continue
            if not parts:
                result.first_token_ms = (time.monotonic() - due_s) * 1000
            parts.append(chunk.choices[0].delta.content)
        return "".join(parts)

    def _order(self, key: str) -> None:
        headers = {"Authorization": f"Bearer {self._key}", "Idempotency-Key": key}
        request = urllib.request.Request(
            f"{self._url}/services/desk/orders", b'{"size": 3}', headers, method="POST"
        )
        for _ in range(_MAX_RESENDS + 1):
            try:
                with urllib.request.urlopen(request, timeout=10) as response:
                    response.read()
                self.answered_orders.add(key)
                return
            except (urllib.error.URLError, OSError):
                time.sleep(_POLL_S)
        self.failed_orders += 1


def main() -> int:
    """Run the demo and return 1 if anything was lost or duplicated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", default="0", help="1 leaves the fleet running")
    arguments = parser.parse_args()
    plan = fleet.FleetPlan(
        daemons=4,
        engines=5,
        services=2,
        model=_MODEL,
        token_ms=20.0,
        prefill_ms=10.0,
        has_balancer=True,
        confirm_s=12.0,
    )
    started_s = time.monotonic()
    with fleet.Fleet(plan) as running:
        _print_progress(
            f"{plan.daemons} daemons, {plan.engines} engines: ready", started_s
        )
        summary = _run(running, started_s)
        _print_table(summary)
        if arguments.keep == "1":
            _print_addresses(running)
        print(json.dumps(summary), flush=True)
        if arguments.keep == "1":
            _await_interrupt()
    return 1 if summary["lost"] or summary["doubled"] else 0


def _run(running: fleet.Fleet, started_s: float) -> dict[str, float]:
    entry = running.balancer.url if running.balancer else running.daemons[0].url
    load = LoadGenerator(entry, running.caller_key())
    load.start()
    time.sleep(_BASELINE_S)
    baseline = [
        item.first_token_ms for item in list(load.results) if item.first_token_ms
    ]
    baseline_count = len(load.results)
    _print_progress("online requests alone: done", started_s)
    bodies = jobs.make_bodies(_MODEL, _ITEMS, _ITEM_TOKENS, "summarise record")
    job_id = jobs.submit(running, bodies)
    _print_progress(f"batch job {job_id} of {len(bodies)} items: accepted", started_s)
    job_started_s = time.monotonic()
    time.sleep(_DAEMON_KILL_S)
    running.daemons[-1].kill()
    _print_progress(f"{running.daemons[-1].name}: killed", started_s)
    time.sleep(_ENGINE_KILL_S - _DAEMON_KILL_S)
    running.engines[-1].kill()
    _print_progress(f"{running.engines[-1].name}: killed", started_s)
    status = _await_job(running, job_id, job_started_s)
    _print_progress(f"batch job: {status}", started_s)
    load.stop()
    disturbed = [item.first_token_ms for item in load.results[baseline_count:]]
    total = audit.audit_job(running.store.record(), running.store.url, job_id, bodies)
    services = [item.record() for item in running.services]
    orders = audit.audit_calls(services, load.answered_orders)
    outcomes = [item.outcome for item in load.results]
    wrong = sum(item.is_wrong for item in load.results)
    _print_progress(f"calls sent again by callers: {_count_resends(load)}", started_s)
    _print_progress(f"orders answered: {len(load.answered_orders)}", started_s)
    return {
        "online_ok": outcomes.count("ok"),
        "online_failed": outcomes.count("failed") + load.failed_orders,
        "online_refused": outcomes.count("refused"),
        "batch_items": len(bodies),
        "batch_done": total.done,
        "batch_failed": total.failed,
        "doubled": total.doubled + orders.doubled,
        "lost": total.lost + orders.lost + wrong,
        "first_token_p95_ms": _p95([value for value in disturbed if value]),
        "first_token_p95_alone_ms": _p95(baseline),
        "seconds": round(time.monotonic() - started_s, 1),
    }


def _await_job(running: fleet.Fleet, job_id: str, since_s: float) -> str:
    status = "in_progress"
    while status == "in_progress" and time.monotonic() - since_s < _JOB_LIMIT_S:
        time.sleep(_POLL_S)
        status = jobs.read_status(running, job_id) or status
    return status


def _count_resends(load: LoadGenerator) -> int:
    return sum(item.sends - 1 for item in load.results)


def _p95(values: list[float]) -> float:
    return round(float(numpy.percentile(values, 95)), 1) if values else 0.0


def _print_progress(text: str, started_s: float) -> None:
    print(f"{time.monotonic() - started_s:6.1f} s  {text}", flush=True)


def _print_table(summary: dict[str, float]) -> None:
    width = max(len(key) for key in summary)
    for key, value in summary.items():
        print(f"  {key.ljust(width)}  {value:>10}")


def _print_addresses(running: fleet.Fleet) -> None:
    if running.balancer:
        print(f"entry: {running.balancer.url}")
    for daemon in running.daemons[:-1]:
        print(f"daemon {daemon.name}: {daemon.url}")
    print(f"caller key: {running.caller_key()}  operator key: {running.operator_key}")
    print(f"command: endivevanectl --config {running.folder}/ctl.toml status")
    print("running until Ctrl-C")


def _await_interrupt() -> None:
    try:
        while True:
            time.sleep(3600)
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    sys.exit(main())
