"""Stand-in for a model engine with continuous batching and resumable streams."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
import typing
import uuid

from aiohttp import web

from standins import (
    batching,
    completions,
    faults,
    loaded,
    prefix_cache,
    serving,
    streams,
)

_SWEEP_INTERVAL_S = 0.25
_LOAD_HISTORY_S = 30.0


class RequestError(Exception):
    """A rejected request, reported as an error in the OpenAI format."""

    def __init__(self, status: int, message: str, code: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.code = code

    def make_response(self) -> web.Response:
        """Return the response; a request is only rejected before it runs."""
        error = {
            "message": self.message,
            "type": "invalid_request_error",
            "param": None,
            "code": self.code,
        }
        headers = {"X-Run-State": "not-run"}
        return web.json_response({"error": error}, status=self.status, headers=headers)


class Engine:
    """HTTP routes of the engine."""

    def __init__(
        self, arguments: argparse.Namespace, current_faults: faults.Faults
    ) -> None:
        self._faults = current_faults
        self._cache = prefix_cache.PrefixCache(
            arguments.cache_blocks,
            arguments.event_lag_s,
            arguments.gap_share,
            arguments.seed,
        )
        timing = batching.Timing(
            arguments.slots,
            arguments.token_ms,
            arguments.prefill_ms,
            arguments.prefill_token_ms,
            arguments.step_groups,
        )
        self._slots = arguments.slots
        self._lag_s = arguments.lag_s
        self._keep_s = arguments.keep_s
        self.batcher = batching.Batcher(timing, self._cache, current_faults)
        self.loaded = loaded.LoadedModels(arguments, current_faults)
        self._runs: list[batching.Run] = []
        self._streams: dict[str, streams.Stream] = {}
        self._active: dict[str, batching.Run] = {}
        self._loads: list[tuple[float, dict[str, typing.Any]]] = []
        self.batcher.on_change(self._record_load)
        self.loaded.on_change(self._record_load)
        self._record_load()

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        router = app.router
        router.add_post("/v1/chat/completions", self.complete)
        router.add_get("/v1/streams/{attempt_id}", self.resume)
        router.add_delete("/v1/streams/{attempt_id}", self.cancel)
        router.add_get("/v1/load", self.show_load)
        router.add_get("/v1/cache-events", self.show_cache_events)
        router.add_post("/v1/kv/export", self.export_kv)
        router.add_post("/v1/kv/import", self.import_kv)
        self.loaded.add(app)
        app.cleanup_ctx.append(self._run_tasks)

    def record(self) -> dict[str, typing.Any]:
        """Return the runs and the orders."""
        return {
            "runs": [run.describe() for run in self._runs],
            "orders": self.loaded.orders,
        }

    async def follow_faults(self, current_faults: faults.Faults) -> None:
        """Apply the faults for open streams and the cache."""
        if current_faults.gap_share is not None:
            self._cache.gap_share = current_faults.gap_share
        if current_faults.silent_after is None:
            return
        for stream in self._streams.values():
            if stream.connection is not None:
                stream.connection.silence_after(current_faults.silent_after)
        current_faults.silent_after = None

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Run a chat completion."""
        if self._faults.consume("reject"):
            return RequestError(503, "the engine is busy", "busy").make_response()
        try:
            body = await request.json()
            run = self._make_run(request, body)
        except RequestError as error:
            return error.make_response()
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            detail = f"malformed body: {error!r}"
            return RequestError(400, detail, "invalid_body").make_response()
        self._runs.append(run)
        self._active[run.attempt_id] = run
        if not body.get("stream"):
            return await self._complete_unstreamed(request, run)
        options = body.get("stream_options") or {}
        wants_usage = bool(options.get("include_usage"))
        stream = streams.Stream(run, wants_usage, self._faults)
        run.on_step = stream.write_pending
        self._streams[run.attempt_id] = stream
        self.batcher.submit(run)
        return await streams.send_events(request, stream, 0)

    def _make_run(
        self, request: web.Request, body: dict[str, typing.Any]
    ) -> batching.Run:
        model, messages = body["model"], body["messages"]
        if not isinstance(messages, list) or not messages:
            raise RequestError(400, "messages must be a list", "invalid_messages")
        if not self.loaded.offers(model):
            message = f"the model {model!r} is not loaded"
            raise RequestError(404, message, "model_not_found")
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        max_tokens = completions.DEFAULT_MAX_TOKENS if limit is None else limit
        if not isinstance(max_tokens, int) or max_tokens < 1:
            raise RequestError(400, "max_tokens must be positive", "invalid_max_tokens")
        if self.loaded.role == "prefill" and max_tokens > 1:
            message = "the engine only runs prefill"
            raise RequestError(503, message, "wrong_role")
        attempt_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        if attempt_id in self._active:
            raise RequestError(
                409, "the attempt identifier is already in use", "known_attempt"
            )
        prompt = completions.render_prompt(messages)
        return batching.Run(
            attempt_id=attempt_id,
            request_key=request.headers.get("X-Endivevane-Key"),
            model=model,
            is_batch=request.headers.get("X-Endivevane-Class") == "batch",
            digest=completions.digest_messages(messages),
            prompt=prompt,
            hashes=completions.hash_prefixes(model, prompt),
            max_tokens=max_tokens,
        )

    async def _complete_unstreamed(
        self, request: web.Request, run: batching.Run
    ) -> web.StreamResponse:
        def break_when_due() -> None:
            limit = self._faults.drop_after
            if limit is not None and run.tokens >= limit and not run.is_over:
                self._faults.drop_after = None
                faults.break_connection(request)

        run.on_step = break_when_due
        self.batcher.submit(run)
        try:
            await run.ended.wait()
        except asyncio.CancelledError:
            self.batcher.cancel(run)
            raise
        finally:
            self._active.pop(run.attempt_id, None)
        headers = {"X-Request-Id": run.attempt_id}
        if run.state is batching.RunState.CANCELLED:
            error = {"message": "cancelled", "type": "cancelled", "code": "cancelled"}
            return web.json_response({"error": error}, status=499, headers=headers)
        return web.json_response(_make_completion(run), headers=headers)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Continue a stream after the offset in ``Last-Event-ID``."""
        stream = self._streams.get(request.match_info["attempt_id"])
        if stream is None or stream.run.state is batching.RunState.CANCELLED:
            return RequestError(404, "no such stream", "no_stream").make_response()
        try:
            next_offset = int(request.headers.get("Last-Event-ID", "-1")) + 1
        except ValueError:
            return RequestError(
                400, "the offset is not a number", "bad_offset"
            ).make_response()
        if not 0 <= next_offset <= stream.run.tokens + 1:
            return RequestError(
                416, "the offset is ahead of the stream", "bad_offset"
            ).make_response()
        return await streams.send_events(request, stream, next_offset)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a run and free its slot at once."""
        run = self._active.get(request.match_info["attempt_id"])
        if run is None or run.is_over:
            return RequestError(404, "no such stream", "no_stream").make_response()
        self.batcher.cancel(run)
        return web.json_response({"tokens": run.tokens})

    async def show_load(self, _request: web.Request) -> web.Response:
        """Return the load as of ``lag_s`` ago."""
        lag_s = self._lag_s if self._faults.lag_s is None else self._faults.lag_s
        as_of_s = time.time() - lag_s
        reported = self._loads[0][1]
        for since_s, load in self._loads:
            if since_s <= as_of_s:
                reported = load
        return web.json_response({"as_of_s": as_of_s, **reported})

    async def show_cache_events(self, request: web.Request) -> web.Response:
        """Return cache events, delayed and with gaps."""
        after = int(request.query.get("after", "0"))
        return web.json_response({"events": self._cache.read_events(after)})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Return the cache block of a prefix."""
        prefix_hash = (await request.json())["prefix_hash"]
        if not self._cache.contains(prefix_hash):
            return RequestError(404, "not cached", "not_cached").make_response()
        head = json.dumps({"prefix_hash": prefix_hash}).encode()
        if self._faults.crash_on_kv == "export":
            # Leaves time to send the response.
            asyncio.get_running_loop().call_later(0.02, os._exit, 70)
        padding = bytes(completions.PREFIX_BLOCK_BYTES * 16)
        return web.Response(body=head + b"\n" + padding)

    async def import_kv(self, request: web.Request) -> web.Response:
        """Store an exported cache block."""
        if self._faults.crash_on_kv == "import":
            os._exit(70)
        head, _, _ = (await request.read()).partition(b"\n")
        self._cache.store([json.loads(head)["prefix_hash"]])
        return web.json_response({})

    def _record_load(self) -> None:
        now_s = time.time()
        load = {
            "running": self.batcher.running,
            "waiting": self.batcher.waiting,
            "slots": self._slots,
            "kv_used_share": round(self._cache.used_share, 4),
            **self.loaded.report(),
        }
        self._loads.append((now_s, load))
        if self._loads[0][0] < now_s - 2 * _LOAD_HISTORY_S:
            limit_s = now_s - _LOAD_HISTORY_S
            expired = [item for item in self._loads if item[0] < limit_s]
            self._loads = expired[-1:] + self._loads[len(expired) :]

    async def _run_tasks(self, _app: web.Application) -> typing.Any:
        tasks = [
            asyncio.create_task(self.batcher.step_forever()),
            asyncio.create_task(self._sweep_forever()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _sweep_forever(self) -> None:
        """Cancel and remove broken streams that were not resumed in time."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            for attempt_id, stream in list(self._streams.items()):
                if not stream.is_expired(self._keep_s):
                    continue
                self.batcher.cancel(stream.run)
                del self._streams[attempt_id]
                self._active.pop(attempt_id, None)


def _make_completion(run: batching.Run) -> dict[str, typing.Any]:
    text = "".join(
        completions.make_token(run.digest, index) for index in range(run.tokens)
    )
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": "length",
    }
    return {
        "id": f"chatcmpl-{run.attempt_id}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": run.model,
        "choices": [choice],
        "usage": streams.make_usage(run),
    }


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--model", action="append", default=[], metavar="NAME[@VER]")
    parser.add_argument("--adapter", action="append", default=[], metavar="MODEL:NAME")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--token-ms", type=float, default=33.0)
    parser.add_argument("--prefill-ms", type=float, default=5.0)
    parser.add_argument("--prefill-token-ms", type=float, default=0.05)
    parser.add_argument("--step-groups", type=int, default=1)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--event-lag-s", type=float, default=0.5)
    parser.add_argument("--gap-share", type=float, default=0.05)
    parser.add_argument("--lag-s", type=float, default=0.2, help="lag of load reports")
    parser.add_argument(
        "--keep-s",
        type=float,
        default=10.0,
        help="period in which a broken stream can be resumed",
    )
    parser.add_argument(
        "--load-ms", type=float, default=500.0, help="duration of loading a model"
    )
    parser.add_argument(
        "--weights",
        metavar="HOST:PORT",
        help="weight store from which models are loaded",
    )
    parser.add_argument(
        "--crash-on",
        default="",
        metavar="TEXT",
        help="initial value of the fault 'crash_on'",
    )
    parser.add_argument("--ignore-fencing", action="store_true")
    parser.add_argument("--role", default="both", choices=("prefill", "decode", "both"))
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main() -> None:
    """Serve an engine."""
    arguments = parse_arguments()
    current_faults = faults.Faults(crash_on=arguments.crash_on)
    engine = Engine(arguments, current_faults)
    app = serving.make_app()
    app[serving.CANCELS_HANDLERS] = True
    app[serving.LISTENERS] = [engine.follow_faults]
    engine.add(app)
    serving.run(app, arguments, engine.record, current_faults)


if __name__ == "__main__":
    main()
