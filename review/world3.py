"""Stand-ins for the platform's store, replicas and clients, and control of daemons.

They follow the users' pages and need nothing but Python. A script of a case makes a
:class:`World`, starts daemons with the command of the deploy file and drives clients.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
# Tokens that a replica's memory holds, and bounds, as on filbert-line's sheet.
MEMORY_TOKENS = 101_945
STABLE_S = 4.0
CONFIG_APPLY_S = 2.5
_TX_S = 0.003
_ANSWER_S = 0.004
_ROW_BYTES = 65536
_TX_BYTES = 1 << 20
_WRITES_PER_S = 800
_READS_PER_S = 2000
_PART_WRITES_PER_S = 300
_PAGE_ROWS = 500


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, what, **fields):
        at = round(time.monotonic() - self.began_s, 3)
        self.file.write(json.dumps({"at": at, "what": what, **fields}) + "\n")
        self.file.flush()


async def read_message(reader):
    """Return start line, headers and body of a message with a length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return start, headers, body


def make_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class _Bucket:
    def __init__(self, rate_per_s):
        self.rate_per_s, self.tokens, self.at_s = rate_per_s, rate_per_s, 0.0

    def take(self):
        now_s = time.monotonic()
        passed_s, self.at_s = now_s - self.at_s, now_s
        self.tokens = min(self.rate_per_s, self.tokens + passed_s * self.rate_per_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Store:
    """The platform's store: rows with versions, their history, and objects.

    :ivar calls: number of calls by path and status
    """

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.history = []
        self.objects = {}
        self.calls = collections.Counter()
        self._changed = asyncio.Event()
        self._writes, self._reads = _Bucket(_WRITES_PER_S), _Bucket(_READS_PER_S)
        self._part_free_s = collections.defaultdict(float)
        self.is_down = False

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 25
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def write(self, table, key, value):
        """Write a row as the operator or a replica does; ``None`` deletes it."""
        self.version += 1
        raw = None if value is None else json.dumps(value).encode()
        encoded = None if raw is None else base64.b64encode(raw).decode()
        self._set((table, "", key), encoded)
        self._notify()
        return self.version

    def _set(self, key, value):
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.history.append((self.version, key, value))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                parsed = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parsed.query, True))
                status, content = await self._call(
                    method, parsed.path, query, headers, body
                )
                self.calls[parsed.path.split("/")[2], status] += 1
                if isinstance(content, dict):
                    content["nowMs"] = int(time.monotonic() * 1000) + 3_600_000
                    content = json.dumps(content).encode()
                writer.write(make_answer(status, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _call(self, method, path, query, headers, body):
        if self.is_down:
            return 503, {}
        is_write = method != "GET"
        if not (self._writes if is_write else self._reads).take():
            return 429, {}
        await asyncio.sleep(_ANSWER_S - _TX_S)
        if path == "/api/rows-tx":
            return await self._transact(json.loads(body), len(body))
        if path == "/api/rows-get":
            return 200, self._read(query)
        if path == "/api/rows-feed":
            return 200, await self._feed(query)
        if path.startswith("/api/blob-"):
            await asyncio.sleep(0.025 + len(body) / 80e6)
            kind, _, name = path.removeprefix("/api/blob-").partition("/")
            name = urllib.parse.unquote(name)
            if kind == "put":
                if name in self.objects and headers.get("if-none-match") == "*":
                    return 412, {}
                self.objects[name] = body
                return 200, {}
            if kind == "get":
                return (200, self.objects[name]) if name in self.objects else (404, {})
            if kind == "drop":
                self.objects.pop(name, None)
                return 200, {}
        return 404, {}

    async def _transact(self, change, size):
        conditions = change.get("expectedRev", ())
        puts, removes = change.get("puts", ()), change.get("remove", ())
        entries = [*conditions, *puts, *removes]
        is_large = any(len(put["value"]) * 3 // 4 > _ROW_BYTES for put in puts)
        parts = {entry["part"] for entry in entries}
        if len(entries) > 100 or size > _TX_BYTES or is_large:
            return 400, {}
        if len(parts) > 1 and not change.get("across"):
            return 400, {}
        if any(entry["table"] in ("op", "servers") for entry in (*puts, *removes)):
            return 403, {}
        now_s = time.monotonic()
        free_s = max(now_s, *(self._part_free_s[part] for part in parts))
        if free_s - now_s > 1.0:
            return 429, {}
        for part in parts:
            self._part_free_s[part] = free_s + 1 / _PART_WRITES_PER_S
        await asyncio.sleep(free_s - now_s + _TX_S)
        keys = [(item["table"], item["part"], item["key"]) for item in conditions]
        if any(
            self.rows.get(key, ("", 0))[1] != item["ver"]
            for key, item in zip(keys, conditions, strict=True)
        ):
            rows = [self._encode(key) for key in keys if key in self.rows]
            return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for put in puts:
            self._set((put["table"], put["part"], put["key"]), put["value"])
        for item in removes:
            self._set((item["table"], item["part"], item["key"]), None)
        self._notify()
        return 200, {"ver": self.version}

    def _encode(self, key):
        value, version = self.rows[key]
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
        }

    def _read(self, query):
        start, end = query.get("from", ""), query.get("to", "\U0010ffff")
        limit = min(_PAGE_ROWS, int(query.get("limit", _PAGE_ROWS)))
        keys = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and start <= key[2] < end
        )
        rows, size = [], 0
        for key in keys:
            size += len(self.rows[key][0])
            if len(rows) >= limit or (rows and size > 1_000_000):
                break
            rows.append(self._encode(key))
        has_more = len(rows) < len(keys)
        return {"rows": rows, "hasMore": has_more, "ver": self.version}

    async def _feed(self, query):
        after, until_s = (
            int(query["after"]),
            time.monotonic() + int(query["waitMs"]) / 1000,
        )
        while True:
            changed = self._changed
            rows = []
            for version, (table, part, name), value in reversed(self.history):
                if version <= after:
                    break
                if table != query["table"]:
                    continue
                row = {"table": table, "part": part, "key": name, "ver": version}
                row.update({"deleted": True} if value is None else {"value": value})
                rows.append(row)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return {"rows": rows[::-1], "ver": self.version}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Replica:
    """A replica of a service, which makes events or a plain answer.

    :ivar weights: version of its weights
    :ivar memory_tokens: requests with more tokens are rejected
    :ivar rejected: number of rejected requests
    :ivar runs: runs that it began
    :ivar on_run: coroutine function that is given each run; it returns whether it has
        answered instead
    :ivar on_answer: function that is called where the next answer is expected
    """

    def __init__(self, name, service, slots=8, queue=24):
        self.name, self.service, self.slots = name, service, slots
        self.queue = queue
        self.weights = "2"
        self.memory_tokens = MEMORY_TOKENS
        self.rejected = 0
        self.events, self.gap_s, self.first_s = 20, 0.02, 0.05
        self.runs = []
        self.busy = 0
        self.waiting = 0
        self.on_run = None
        self.on_answer = None
        self.born = int(time.time() * 1000)
        self.port = 0
        self._free = asyncio.Condition()
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 25
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """End at once: reset all channels and refuse new ones."""
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            writer.transport.abort()
        self._writers.clear()

    def describe(self, state="ready"):
        """Return its entry in the list of replicas."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "salem-shed",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "stage": "hybrid",
            "models": [{"name": "m", "version": int(self.weights), "adapters": []}],
            "callSeq": 0,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                await self._serve_one(start, headers, body, reader, writer)
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, start, headers, body, reader, writer):
        method, path, _ = start.split(" ")
        attempt = headers.get("attempt-id", "")
        common = [("Attempt-Id", attempt), ("Keep-Alive", "timeout=15")]
        refused = [("Not-Executed", "1"), ("Instance-Id", self.name)]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(make_answer(421, b"", [*common, *refused]))
            return
        wanted = headers.get("expect-version", self.weights)
        if wanted != self.weights:
            writer.write(make_answer(421, b"", [*common, *refused]))
            return
        if path == "/health":
            writer.write(make_answer(200, b"", [("Instance-Id", self.name)]))
            return
        if path == "/api/report":
            report = {
                "stage": "hybrid",
                "models": self.describe()["models"],
                "busy": False,
                "callSeq": 0,
                "numWaiting": self.waiting,
                "numRunning": self.busy,
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
            }
            writer.write(make_answer(200, json.dumps(report).encode()))
            return
        usage = headers.get("token-usage", "0,0")
        is_too_large = sum(map(int, usage.split(","))) > self.memory_tokens
        if is_too_large or (self.busy >= self.slots and self.waiting >= self.queue):
            # What is larger than its memory is rejected as if it were full.
            self.rejected += 1
            writer.write(make_answer(503, b"", [*common, ("Not-Executed", "1")]))
            return
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(
            self._run(method, path, headers, body, common, writer)
        )
        try:
            await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise ConnectionResetError
            work.result()
        finally:
            work.cancel()
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work

    async def _run(self, method, path, headers, body, common, writer):
        if self.on_answer is not None:
            self.on_answer(writer, headers)
        if not headers.get("attempt-id"):
            writer.write(make_answer(400, b"", [("Not-Executed", "1")]))
            return
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.busy < self.slots)
                self.busy += 1
        finally:
            self.waiting -= 1
        try:
            run = {
                "at_s": time.monotonic(),
                "attempt": headers.get("attempt-id", ""),
                "path": path,
                "headers": headers,
                "size": len(body),
            }
            self.runs.append(run)
            if self.on_run is not None and await self.on_run(self, run, writer):
                return
            await asyncio.sleep(self.first_s)
            signature = ("Response-Signature", f"3e1b.{secrets.token_hex(4)}")
            if not headers.get("token-usage"):
                writer.write(make_answer(200, b"x" * 800, [*common, signature]))
                return
            head = [*common, signature, ("Weight-Versions", self.weights)]
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += ["Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in head]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            first = int(headers.get("last-event-id") or 0) + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {run['attempt']} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
        finally:
            async with self._free:
                self.busy -= 1
                self._free.notify()


class Daemon:
    """A process of the role of the deploy file."""

    def __init__(self, number, store_port, internal_port, folder, memory_mb):
        self.name = f"front-salem-shed-{number}"
        self.ip = f"127.0.0.{number + 10}"
        self.port, self.ready_port, self.metrics_port = (
            find_free_port(self.ip) for _ in range(3)
        )
        self.path = pathlib.Path(folder) / f"{self.name}.toml"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self.process = None
        self.path.write_text(
            f'[vm]\nname = "{self.name}"\nip = "{self.ip}"\n'
            'availability_zone = "salem-shed"\nregion = "willamette"\n'
            f"core_share = 0.717\ncore_speed = 3\nmemory_mb = {memory_mb}\n"
            f'[listen]\nclients = "{self.ip}:{self.port}"\n'
            f'readiness = "{self.ip}:{self.ready_port}"\n'
            f"internal_port = {internal_port}\nmetrics_port = {self.metrics_port}\n"
            f'[store]\naddress = "127.0.0.1:{store_port}"\n'
            "[peers]\nseeds = []\n[stopping]\ngrace_s = 8\n[retention]\njob_s = 120\n"
            '[regions]\n"salem-shed" = "willamette"\n'
        )

    def start(self):
        """Start with the command of the deploy file."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "deploy/entry.py"],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ENDIVEVANE_SETTINGS": str(self.path),
                },
            )

    def kill(self):
        """End the process at once, as a loss of its machine does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(5)

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def read_memory_mb(self, field="VmRSS"):
        """Return the memory of the process, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await call(
                self.ip, self.ready_port, "GET", "/api/ready", {}, b"", 1.0
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


def find_free_port(host):
    with socket.socket() as item:
        item.bind((host, 0))
        return item.getsockname()[1]


def encode_request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    headers = {"Host": HOST, **headers}
    if body or method == "POST":
        headers["Content-Length"] = len(body)
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(host, port, method, path, headers, body, timeout_s):
    """Send a request on a new channel; return status, headers and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 25)
        try:
            writer.write(encode_request(method, path, headers, body))
            start, got, content = await read_message(reader)
            return int(start.split(" ")[1]), got, content
        finally:
            writer.transport.abort()


def make_route(name, kind, service, **fields):
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "maxAttempts": 2,
    }
    return {**route, **fields}


def make_batch_route(name, service, cap):
    return make_route(
        name,
        "batch",
        service,
        timeoutMs=15000,
        goalMs=400,
        priority=2,
        maxAttempts=3,
        completionTargetMs=18000,
        retentionS=60,
        cap=cap,
    )


def make_configuration(version, routes, **limits):
    bounds = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    names = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": MEMORY_TOKENS,
                    "models": [{"name": "m"}],
                },
            }
            for name in names
        ],
        "limits": {**bounds, **limits},
    }


class World:
    """A store, replicas and daemons."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory()
        self.daemons, self.replicas = [], []

    async def start(self, configuration, replicas, daemons, memory_mb=340):
        self.store = Store()
        await self.store.start()
        self.store.write("op", "config", configuration)
        for replica in replicas:
            await self.add(replica)
        internal_port = find_free_port("127.0.0.11")
        self.daemons = [
            Daemon(
                number + 1, self.store.port, internal_port, self._folder.name, memory_mb
            )
            for number in range(daemons)
        ]
        for daemon in self.daemons:
            daemon.start()
        await self.wait_ready(self.daemons)
        # Daemons are in touch once they have run for stableMs.
        await asyncio.sleep(STABLE_S)

    async def add(self, replica):
        await replica.start()
        self.replicas.append(replica)
        self.store.write("servers", replica.name, replica.describe())

    async def wait_ready(self, daemons, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            for daemon in daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.1)

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        self._folder.cleanup()

    def read_logs(self):
        return {item.name: item.log_path.read_text() for item in self.daemons}


def make_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, main, limit_s=115.0):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param main: takes a world, the record and whether there is trouble; returns
        whether the rule held
    """

    def end(_number, _frame):
        raise SystemExit

    # Whoever ends a case early ends its daemons too.
    signal.signal(signal.SIGTERM, end)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    world = World()

    async def run():
        async with asyncio.timeout(limit_s):
            return await main(world, record, has_trouble)

    try:
        held = asyncio.run(run())
        code = 0 if held else 1
    except BaseException as error:
        record.add("could not run", error=repr(error))
        for name, text in world.read_logs().items():
            record.add("log", daemon=name, tail=text[-1500:])
        code = 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            for name, text in world.read_logs().items():
                (pathlib.Path(os.environ["KEEP_LOGS"]) / f"{name}.log").write_text(text)
        world.stop()
    record.add("result", code=code, trouble=has_trouble)
    sys.stdout.flush()
    os._exit(code)
