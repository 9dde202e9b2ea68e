"""Client of a model engine: load, cache events, cancellation, orders."""

from __future__ import annotations

import dataclasses
import typing

import result

from endivevane import exceptions, types, utils
from endivevane.external import http_pool


class EngineError(exceptions.EndivevaneError):
    """A call to an engine failed.

    :param address: address of the engine
    :param detail: cause of the failure
    """

    def __init__(self, address: types.Address, detail: str) -> None:
        super().__init__()
        self.address = address
        self.detail = detail

    def format_message(self) -> str:
        """Return the engine's address and the cause."""
        return f"engine {self.address}: {self.detail}"


class FencingRefused(EngineError):
    """The engine rejected an order with a stale fencing token."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model version that an engine has loaded."""

    model: str
    version: str
    adapters: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an engine reports, which may be out of date.

    :param as_of_s: Unix time of the reported state
    :param running: requests in the running batch
    :param waiting: requests admitted but not yet running
    :param slots: requests that can run concurrently
    :param kv_used_share: used share of the KV cache, 0 to 1
    """

    as_of_s: float
    running: int
    waiting: int
    slots: int
    models: tuple[LoadedModel, ...]
    role: str
    kv_used_share: float
    fencing_number: int


class EngineClient:
    """Client for calls to an engine other than the requests of callers.

    :param pool: connections to the engine
    """

    def __init__(self, pool: http_pool.HttpPool) -> None:
        self._pool = pool

    def fetch_load(self) -> result.Result[LoadReport, EngineError]:
        """Return the engine's load report."""
        outcome = self._call("GET", "/v1/load")
        if isinstance(outcome, result.Err):
            return outcome
        body = outcome.ok_value
        models = tuple(
            LoadedModel(item["model"], item["version"], tuple(item["adapters"]))
            for item in body["models"]
        )
        return result.Ok(
            LoadReport(
                as_of_s=body["as_of_s"],
                running=body["running"],
                waiting=body["waiting"],
                slots=body["slots"],
                models=models,
                role=body["role"],
                kv_used_share=body["kv_used_share"],
                fencing_number=body["fencing_number"],
            )
        )

    def fetch_cache_events(
        self, after: int
    ) -> result.Result[list[dict[str, typing.Any]], EngineError]:
        """Return the prefix cache events with numbers above ``after``."""
        outcome = self._call("GET", f"/v1/cache-events?after={after}")
        if isinstance(outcome, result.Err):
            return outcome
        events: list[dict[str, typing.Any]] = outcome.ok_value["events"]
        return result.Ok(events)

    def cancel_stream(self, attempt_id: str) -> result.Result[None, EngineError]:
        """Cancel a running request; succeeds also for an unknown attempt."""
        outcome = self._call("DELETE", f"/v1/streams/{attempt_id}")
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(None)

    def send_order(
        self, fencing_token: int, action: str, **arguments: str
    ) -> result.Result[None, EngineError]:
        """Send an order with a fencing token."""
        body = {"fencing_number": fencing_token, "action": action, **arguments}
        outcome = self._call("POST", "/v1/orders", body)
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(None)

    def fetch_state(self) -> result.Result[dict[str, typing.Any], EngineError]:
        """Return the engine's state, such as the models it has loaded."""
        return self._call("GET", "/v1/state")

    def _call(
        self, method: str, path: str, body: dict[str, typing.Any] | None = None
    ) -> result.Result[dict[str, typing.Any], EngineError]:
        data = utils.encode_json(body) if body is not None else None
        outcome = self._pool.request(method, path, data)
        if isinstance(outcome, result.Err):
            return result.Err(
                EngineError(self._pool.address, outcome.err_value.format_message())
            )
        response = outcome.ok_value
        if response.status == 409:
            return result.Err(FencingRefused(self._pool.address, "stale fencing token"))
        if response.status == 404 and method == "DELETE":
            return result.Ok({})
        if response.status not in (200, 202):
            return result.Err(
                EngineError(self._pool.address, f"status {response.status}")
            )
        return result.Ok(utils.decode_json(response.body) if response.body else {})
