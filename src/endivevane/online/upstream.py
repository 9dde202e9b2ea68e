"""Blocking calls to engines, run on thread pools for the relay."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import http.client
import time
from collections import abc

import orjson
import result

from endivevane import logs, types
from endivevane.external import http_pool
from endivevane.online import contract, handover, messages

CALL_PATH = "/v1/chat/completions"
# Approximate size of request line and headers of a call to an engine.
HEAD_BYTES = 300


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Limits of the calls to engines.

    :param connect_timeout_s: timeout of the TCP handshake
    :param send_timeout_s: timeout of each send
    :param user_timeout_s: how long sent data may stay unacknowledged
    :param open_threads: threads that open connections; each is busy for a round trip,
        or for the connect timeout if the VM is gone
    :param resume_threads: threads that reconnect broken streams, separate so that the
        streams of a lost VM do not delay new requests
    :param unreachable_s: time after a failed connect during which resumes at the
        address fail immediately and cancellations are skipped; the engine drops
        streams without a connection itself
    """

    connect_timeout_s: float = 1.0
    send_timeout_s: float = 5.0
    user_timeout_s: float = 10.0
    open_threads: int = 32
    resume_threads: int = 16
    cancel_threads: int = 4
    cancel_timeout_s: float = 2.0
    unreachable_s: float = 2.0


def encode_body(request: contract.OnlineRequest) -> bytes:
    """Return the JSON body of a call to an engine, which always asks for a stream."""
    body = dict(request.body)
    body["stream"] = True
    if not request.is_streamed:
        # An unstreamed response always includes its usage.
        body["stream_options"] = {"include_usage": True}
    return orjson.dumps(body)


class Upstream:
    """Opens, resumes and cancels streams at engines.

    Executor threads connect and send. They do not wait for the response, because an
    unresponsive engine would block all of them; the relay's thread reads the response.

    :param post: receives the outcomes; thread-safe
    """

    def __init__(
        self, settings: UpstreamSettings, post: abc.Callable[[object], None]
    ) -> None:
        self._settings = settings
        self._post = post
        self._openers = concurrent.futures.ThreadPoolExecutor(
            settings.open_threads, thread_name_prefix="engine-open"
        )
        self._resumers = concurrent.futures.ThreadPoolExecutor(
            settings.resume_threads, thread_name_prefix="engine-resume"
        )
        self._handover = handover.Handover(handover.HandoverSettings(), post)
        self._unreachable_until_s: dict[types.Address, float] = {}
        self._cancellers = concurrent.futures.ThreadPoolExecutor(
            settings.cancel_threads, thread_name_prefix="engine-cancel"
        )

    def open(self, call_number: int, attempt: contract.Attempt, body: bytes) -> None:
        """Start an attempt, after a handover of the prompt's KV cache if it has one."""
        if not self._handover.start(call_number, attempt, body):
            self.send(call_number, attempt, body)

    def send(self, call_number: int, attempt: contract.Attempt, body: bytes) -> None:
        """Send an attempt to its target."""
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream",
            "X-Request-Id": attempt.attempt_id,
            "X-Endivevane-Key": attempt.request.request_id,
            "X-Endivevane-Class": "online",
        }
        call = ("POST", CALL_PATH)
        self._openers.submit(self._send, call_number, attempt, call, body, headers)

    def resume(
        self, call_number: int, attempt: contract.Attempt, after_offset: int
    ) -> None:
        """Continue an attempt on a new connection.

        :param after_offset: last offset received, -1 for none
        """
        headers = {"Accept": "text/event-stream"}
        if after_offset >= 0:
            headers["Last-Event-ID"] = str(after_offset)
        call = ("GET", f"/v1/streams/{attempt.attempt_id}")
        self._resumers.submit(self._resume, call_number, attempt, call, headers)

    def cancel(self, address: types.Address, attempt_id: str, tries: int = 1) -> None:
        """Cancel an attempt at its engine.

        :param tries: number of this try
        """
        self._cancellers.submit(self._cancel, address, attempt_id, tries)

    def stop(self) -> None:
        """Stop the threads after the running calls."""
        self._handover.stop()
        self._openers.shutdown(wait=True, cancel_futures=True)
        self._resumers.shutdown(wait=True, cancel_futures=True)
        self._cancellers.shutdown(wait=True, cancel_futures=False)

    def _is_unreachable(self, address: types.Address) -> bool:
        return time.monotonic() < self._unreachable_until_s.get(address, 0.0)

    def _record_unreachable(self, address: types.Address) -> None:
        """Record a failed connect.

        A lost VM may have had hundreds of streams, and each further call would block a
        thread for the connect timeout.
        """
        until_s = time.monotonic() + self._settings.unreachable_s
        self._unreachable_until_s[address] = until_s

    def _resume(
        self,
        call_number: int,
        attempt: contract.Attempt,
        call: tuple[str, str],
        headers: abc.Mapping[str, str],
    ) -> None:
        if self._is_unreachable(attempt.target.address):
            detail = "the address was unreachable recently"
            self._post(messages.OpenFailed(attempt, call_number, False, detail))
            return
        self._send(call_number, attempt, call, None, headers)

    def _send(
        self,
        call_number: int,
        attempt: contract.Attempt,
        call: tuple[str, str],
        body: bytes | None,
        headers: abc.Mapping[str, str],
    ) -> None:
        settings = self._settings
        try:
            connection = http_pool.open_connection(
                attempt.target.address,
                settings.connect_timeout_s,
                settings.user_timeout_s,
            )
        except OSError as error:
            self._record_unreachable(attempt.target.address)
            self._post(messages.OpenFailed(attempt, call_number, False, str(error)))
            return
        try:
            connection.sock.settimeout(settings.send_timeout_s)
            connection.request(*call, body, {**headers, "Connection": "close"})
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            self._post(messages.OpenFailed(attempt, call_number, True, str(error)))
            return
        sock = connection.sock
        sock.setblocking(False)
        self._post(messages.Opened(attempt, call_number, sock))

    def _cancel(self, address: types.Address, attempt_id: str, tries: int) -> None:
        settings = self._settings
        limits = http_pool.PoolSettings(
            connect_timeout_s=settings.connect_timeout_s,
            read_timeout_s=settings.cancel_timeout_s,
            max_idle_connections=0,
        )
        if self._is_unreachable(address):
            logs.info("cancel_skipped", attempt_id=attempt_id, target=address)
            return
        pool = http_pool.HttpPool(address, limits)
        outcome = pool.request("DELETE", f"/v1/streams/{attempt_id}")
        if isinstance(outcome, result.Err):
            if outcome.err_value.stage is http_pool.Stage.CONNECT:
                self._record_unreachable(address)
            detail = outcome.err_value.format_message()
            logs.info("cancel_failed", attempt_id=attempt_id, error=detail)
            return
        if outcome.ok_value.status == 404:
            self._post(messages.CancelMissed(address, attempt_id, tries))
