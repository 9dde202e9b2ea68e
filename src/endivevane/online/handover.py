"""Disaggregated prefill: transfer of a prompt's KV cache between engines."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import threading
import time
from collections import abc

import result

from endivevane import logs, metrics, types, utils
from endivevane.external import http_pool
from endivevane.online import contract, messages

_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverSettings:
    """Limits of a handover.

    :param threads: maximum concurrent handovers; further requests skip theirs
    :param limit_s: time after which no further step begins, and timeout of each step
    :param deadline_share: share of the time to the deadline that caps ``limit_s``
    :param avoid_s: how long an engine is not used after it failed a handover
    """

    threads: int = 8
    connect_timeout_s: float = 0.3
    limit_s: float = 1.0
    deadline_share: float = 0.2
    avoid_s: float = 5.0


class Handover:
    """Runs handovers on separate threads.

    The attempt continues at its target even if the handover fails; the target then
    computes the missing part of the prompt itself.

    :param post: receives the outcomes; thread-safe
    """

    def __init__(
        self, settings: HandoverSettings, post: abc.Callable[[object], None]
    ) -> None:
        self._settings = settings
        self._post = post
        self._slots = threading.Semaphore(settings.threads)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix="engine-handover"
        )
        self._avoided_until_s: dict[types.Address, float] = {}

    def start(self, call_number: int, attempt: contract.Attempt, body: bytes) -> bool:
        """Start the handover of an attempt; return ``False`` if it is skipped.

        :param body: the body for the attempt's target
        """
        source = attempt.prefill
        if source is None or not attempt.request.prefix_hashes:
            return False
        if time.monotonic() < self._avoided_until_s.get(source.address, 0.0):
            return False
        if not self._slots.acquire(blocking=False):
            metrics.HANDOVERS.labels("no_place").inc()
            return False
        self._executor.submit(self._run, call_number, attempt, source.address, body)
        return True

    def stop(self) -> None:
        """Stop the threads after the running handovers."""
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run(
        self,
        call_number: int,
        attempt: contract.Attempt,
        source: types.Address,
        body: bytes,
    ) -> None:
        has_crashed = False
        try:
            problem = self._copy(attempt, source, body)
            if problem is not None:
                self._avoided_until_s[source] = (
                    time.monotonic() + self._settings.avoid_s
                )
                has_crashed = problem.has_crashed
                logs.info(
                    "handover_failed",
                    attempt_id=attempt.attempt_id,
                    step=problem.step,
                    detail=problem.detail,
                )
            metrics.HANDOVERS.labels(problem.step if problem else "done").inc()
        except Exception as error:
            logs.error("handover_broke", attempt_id=attempt.attempt_id, error=error)
        finally:
            self._slots.release()
            self._post(messages.PromptReady(attempt, call_number, body, has_crashed))

    def _copy(
        self, attempt: contract.Attempt, source: types.Address, body: bytes
    ) -> _Problem | None:
        """Compute the prompt at the source, then copy its KV cache block by block."""
        started_s = time.monotonic()
        remaining_s = (
            attempt.request.deadline_s - started_s
        ) * self._settings.deadline_share
        limit_s = min(self._settings.limit_s, remaining_s)
        if limit_s <= 0:
            return _Problem("deadline", "no time left")
        limits = http_pool.PoolSettings(
            connect_timeout_s=min(self._settings.connect_timeout_s, limit_s),
            read_timeout_s=limit_s,
            max_idle_connections=1,
        )
        source_pool = http_pool.HttpPool(source, limits)
        target_pool = http_pool.HttpPool(attempt.target.address, limits)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": f"{attempt.attempt_id}.prefill",
            "X-Endivevane-Key": f"{attempt.request.request_id}.prefill",
            "X-Endivevane-Class": "online",
        }
        prompt = _make_prefill_body(body)
        answer = source_pool.request(
            "POST", _PATH, prompt, headers, is_repeatable=False
        )
        problem = _find_problem("prefill", answer)
        for prefix_hash in attempt.request.prefix_hashes:
            if problem is not None:
                return problem
            if time.monotonic() - started_s > limit_s:
                return _Problem("too_late", f"not finished within {limit_s:.2f} s")
            export_body = utils.encode_json({"prefix_hash": prefix_hash})
            block = source_pool.request("POST", "/v1/kv/export", export_body)
            problem = _find_problem("export", block)
            if isinstance(block, result.Ok) and problem is None:
                imported = target_pool.request(
                    "POST", "/v1/kv/import", block.ok_value.body
                )
                problem = _find_problem("import", imported)
        return problem


@dataclasses.dataclass(frozen=True, slots=True)
class _Problem:
    """Why a handover ended early.

    :param has_crashed: whether the connection broke while the engine ran the prompt
    """

    step: str
    detail: str
    has_crashed: bool = False


def _find_problem(
    step: str,
    outcome: result.Result[http_pool.Response, http_pool.TransportError],
) -> _Problem | None:
    if isinstance(outcome, result.Ok):
        status = outcome.ok_value.status
        return None if status == 200 else _Problem(step, f"status {status}")
    error = outcome.err_value
    is_broken = error.stage is http_pool.Stage.RESPONSE and not error.is_timeout
    return _Problem(step, error.format_message(), step == "prefill" and is_broken)


def _make_prefill_body(body: bytes) -> bytes:
    """Return the request body for prefill: the prompt and one output token."""
    fields = utils.decode_json(body)
    for name in ("max_completion_tokens", "stream_options"):
        fields.pop(name, None)
    return utils.encode_json({**fields, "max_tokens": 1, "stream": False})
