"""Loaded models and adapters of the engine, and the orders that change them."""

from __future__ import annotations

import argparse
import asyncio
import time
import typing
from collections import abc

import aiohttp
from aiohttp import web

from standins import faults

_ACTIONS = frozenset(
    {"load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"}
)
_ADAPTER_LOAD_FACTOR = 0.2
_RETRY_S = 0.2


class LoadedModels:
    """Tracks the loaded models and executes orders sequentially."""

    def __init__(self, arguments: argparse.Namespace, current: faults.Faults) -> None:
        self._faults = current
        self._ignores_fencing = bool(arguments.ignore_fencing)
        self._load_ms = arguments.load_ms
        self._weights = arguments.weights
        self._role = arguments.role
        self._fencing_token = 0
        self._models: dict[tuple[str, str], list[str]] = {}
        self._in_progress = 0
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.orders: list[dict[str, typing.Any]] = []
        self._callbacks: list[abc.Callable[[], None]] = []
        for text in arguments.model:
            name, _, version = text.partition("@")
            self._models[name, version or "1"] = []
        for text in arguments.adapter:
            name, _, adapter = text.partition(":")
            self._add_adapter(name, adapter)

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post("/v1/orders", self.accept)
        app.router.add_get("/v1/state", self.show)
        app.router.add_get("/v1/models", self.list)

    def on_change(self, callback: abc.Callable[[], None]) -> None:
        """Register a function to call after each change."""
        self._callbacks.append(callback)

    @property
    def role(self) -> str:
        """The current role."""
        return self._role

    def offers(self, name: str) -> bool:
        """Return whether a model or adapter is loaded."""
        return any(
            name == model or name in adapters
            for (model, _), adapters in self._models.items()
        )

    def report(self) -> dict[str, typing.Any]:
        """Return the models and role for the load report."""
        models = [
            {"model": name, "version": version, "adapters": list(adapters)}
            for (name, version), adapters in sorted(self._models.items())
        ]
        return {
            "models": models,
            "role": self._role,
            "fencing_number": self._fencing_token,
        }

    async def show(self, _request: web.Request) -> web.Response:
        """Return the loaded models and how many orders are in progress."""
        return web.json_response({**self.report(), "in_progress": self._in_progress})

    async def list(self, _request: web.Request) -> web.Response:
        """Return the models in the OpenAI format."""
        names = {name for name, _ in self._models}
        for adapters in self._models.values():
            names.update(adapters)
        data = [{"id": name, "object": "model"} for name in sorted(names)]
        return web.json_response({"object": "list", "data": data})

    async def accept(self, request: web.Request) -> web.Response:
        """Accept an order, or reject it if its fencing token is stale."""
        order = await request.json()
        token, action = order.get("fencing_number"), order.get("action")
        if action not in _ACTIONS or not isinstance(token, int):
            return web.json_response({"error": "malformed order"}, status=400)
        is_stale = token < self._fencing_token
        is_refused = is_stale and not self._ignores_stale_tokens()
        self.orders.append(
            {**order, "at_s": time.time(), "old": is_stale, "accepted": not is_refused}
        )
        if is_refused:
            body = {"error": "stale fencing token", "current": self._fencing_token}
            return web.json_response(body, status=409)
        self._fencing_token = max(token, self._fencing_token)
        self._in_progress += 1
        self._notify()
        task = asyncio.create_task(self._execute(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response({"state": "accepted"}, status=202)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _ignores_stale_tokens(self) -> bool:
        if self._faults.ignore_fencing is not None:
            return self._faults.ignore_fencing
        return self._ignores_fencing

    async def _execute(self, order: dict[str, typing.Any]) -> None:
        async with self._lock:
            action = order["action"]
            if action == "load_model":
                await self._fetch_weights(order)
                await asyncio.sleep(self._load_ms / 1000)
            elif action == "load_adapter":
                await asyncio.sleep(self._load_ms / 1000 * _ADAPTER_LOAD_FACTOR)
            self._apply(order)
            self._in_progress -= 1
            self._notify()

    async def _fetch_weights(self, order: dict[str, typing.Any]) -> None:
        """Download the weights, at the rate of the weight store."""
        if not self._weights:
            return
        name, version = order.get("model", ""), order.get("version") or "1"
        url = f"http://{self._weights}/v1/weights/{name}/{version}"
        while True:
            try:
                async with aiohttp.request("GET", url, raise_for_status=True) as found:
                    async for _ in found.content.iter_any():
                        pass
                return
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(_RETRY_S)

    def _apply(self, order: dict[str, typing.Any]) -> None:
        action, model = order["action"], order.get("model", "")
        version, adapter = order.get("version"), order.get("adapter", "")
        if action == "load_model":
            self._models.setdefault((model, version or "1"), [])
        elif action == "unload_model":
            for key in list(self._models):
                if key[0] == model and version in (None, key[1]):
                    del self._models[key]
        elif action == "load_adapter":
            self._add_adapter(model, adapter)
        elif action == "unload_adapter":
            for (name, _), adapters in self._models.items():
                if name == model and adapter in adapters:
                    adapters.remove(adapter)
        elif action == "set_role":
            self._role = order.get("role", self._role)

    def _add_adapter(self, model: str, adapter: str) -> None:
        for (name, _), adapters in self._models.items():
            if name == model and adapter not in adapters:
                adapters.append(adapter)
