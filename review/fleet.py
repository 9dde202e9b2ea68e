"""Stand-ins of the platform for the cases of the review, with the standard library only.

The store and the replicas follow PROTOCOL.md of the users' platform; where it is silent
they behave like sound ones. The daemons are the project's own, started as
deploy/system.toml says, with settings as in deploy/settings.toml.template.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
STABLE_S = 4.0  # bounds.stableMs of the sites
SETTLE_S = 1.0  # bounds.settleMs of the sites
PAGE_ROWS = 500  # rows of a page of rows-get at most


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def add(self, kind, **fields):
        at_s = time.monotonic() - self._began_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {kind} {text}\n")
        self._file.flush()


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        parsed = urllib.parse.urlsplit(target)
        self.path = parsed.path
        self.query = dict(urllib.parse.parse_qsl(parsed.query))
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Read a request; return None when the connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (OSError, asyncio.IncompleteReadError):
        return None
    return Request(method, target, headers, body)


def make_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Lost(Exception):
    """The answer of a call gets lost with its connection."""


class Store:
    """The platform's store: rows, their history and objects."""

    def __init__(self, answer_s=0.004):
        self.answer_s = answer_s
        self.slow_x = 1.0
        self.version = 0
        self.rows = {}
        self.history = []
        self.history_start = 0
        self.objects = {}
        self.impaired_s = float("-inf")
        self.on_applied = None
        self.answer_of = None
        self._changed = asyncio.Event()
        self._feeds = set()
        self._server = None
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=64 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row as the operator or a replica does; None removes it."""
        self.version += 1
        raw = None if value is None else json.dumps(value).encode()
        self._set((table, "", key), raw and base64.b64encode(raw).decode())
        self._notify()

    def value(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def count(self, table):
        return sum(1 for key in self.rows if key[0] == table)

    def forget_history(self):
        """Drop the history and cut the feeds, as platform_compact does."""
        self.impaired_s = time.monotonic()
        self.history.clear()
        self.history_start = self.version
        for writer in list(self._feeds):
            writer.transport.abort()

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
            while (request := await read_request(reader)) is not None:
                try:
                    answer = await self._answer(request, writer)
                except Lost:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()

    async def _answer(self, request, writer):
        path = request.path
        if path == "/api/rows-feed":
            self._feeds.add(writer)
            try:
                return await self._feed(request)
            finally:
                self._feeds.discard(writer)
        if self.answer_of is not None:
            answer = await self.answer_of(request)
            if answer is not None:
                return answer
        if path == "/api/rows-get":
            # The rows are those of one moment; the answer takes its time after it.
            status, content = 200, self._read(request.query)
        elif path == "/api/rows-tx":
            status, content = self.apply(json.loads(request.body))
        elif path.startswith("/api/blob-"):
            await asyncio.sleep(self.answer_s * self.slow_x)
            return self._blob(request)
        else:
            return make_answer(404)
        await asyncio.sleep(self.answer_s * self.slow_x)
        return self._encode(status, content)

    def _encode(self, status, content):
        content = {"ver": self.version, **content, "nowMs": int(time.monotonic() * 1e3)}
        return make_answer(status, json.dumps(content).encode())

    def apply(self, body):
        conditions = body.get("expectedRev", ())
        keys = [(item["table"], item["part"], item["key"]) for item in conditions]
        wanted = [item["ver"] for item in conditions]
        if [self.rows.get(key, ("", 0))[1] for key in keys] != wanted:
            rows = [self._row(key) for key in keys if key in self.rows]
            return 412, {"rows": rows}
        self.version += 1
        for item in body.get("puts", ()):
            key = (item["table"], item["part"], item["key"])
            self._set(key, item["value"])
        for item in body.get("remove", ()):
            self._set((item["table"], item["part"], item["key"]), None)
        self._notify()
        if self.on_applied is not None:
            self.on_applied(body)
        return 200, {"ver": self.version}

    def _row(self, key):
        value, version = self.rows[key]
        names = dict(zip(("table", "part", "key"), key, strict=True))
        return {**names, "value": value, "ver": version}

    def _read(self, query):
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        found = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and key[2] >= start
            and (not end or key[2] < end)
        )
        page = [self._row(key) for key in found[:limit]]
        return {"rows": page, "hasMore": len(found) > limit, "ver": self.version}

    async def _feed(self, request):
        after = int(request.query["after"])
        until_s = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.history_start:
                return make_answer(410, b"{}")
            rows = []
            for version, key, value in reversed(self.history):
                if version <= after:
                    break
                if key[0] != request.query["table"]:
                    continue
                names = dict(zip(("table", "part", "key"), key, strict=True))
                row = {**names, "ver": version}
                row |= {"deleted": True} if value is None else {"value": value}
                rows.append(row)
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                answer = self._encode(200, {"rows": rows[::-1], "ver": self.version})
                await asyncio.sleep(self.answer_s * self.slow_x)
                return answer
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _blob(self, request):
        name = urllib.parse.unquote(request.path.rsplit("/", 1)[1])
        if request.method == "PUT":
            if name in self.objects:
                return make_answer(412, b"{}")
            self.objects[name] = request.body
            return make_answer(200, b"{}")
        if request.method == "GET":
            if name not in self.objects:
                return make_answer(404, b"{}")
            return make_answer(200, self.objects[name])
        self.objects.pop(name, None)
        return make_answer(200, b"{}")


class Replica:
    """A sound replica that streams events, any run the same ones for a request."""

    def __init__(self, name, record, service="lm", events=4, gap_s=0.01, slots=8):
        self.name, self.record, self.service = name, record, service
        self.events, self.gap_s, self.slots = events, gap_s, slots
        self.version = "v1"
        self.respond = self.stream
        self.runs = []
        self.port = 0
        self._active = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def active(self):
        """How many requests it runs."""
        return self._active

    def crash(self):
        """End as a process does: its channels are reset, new ones refused."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": 1700000000000,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._run(request, reader, writer):
                    return
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, request, reader, writer):
        attempt = request.headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}"
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(make_answer(421, b"", (echo, "Not-Executed: 1")))
            return True
        if self._active >= self.slots:
            writer.write(make_answer(503, b"", (echo, "Not-Executed: 1")))
            return True
        self._active += 1
        self.runs.append((time.monotonic(), attempt))
        last = request.headers.get("last-event-id", "")
        self.record.add("run", replica=self.name, attempt=attempt, after=last or 0)
        left = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.respond(request, writer))
        try:
            await asyncio.wait((left, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record.add("run-dropped", replica=self.name, attempt=attempt)
                work.cancel()
                return False
            return work.result()
        finally:
            self._active -= 1
            left.cancel()
            try:
                await left
            except (asyncio.CancelledError, OSError):
                pass

    def describe_run(self, attempt):
        """Return the number of events of a request and the time between them."""
        return self.events, self.gap_s

    async def stream(self, request, writer):
        attempt = request.headers.get("attempt-id", "")
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Attempt-Id: {attempt}\r\n"
                f"Response-Signature: sig.{self.name}.{attempt}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        events, gap_s = self.describe_run(attempt)
        for number in range(int(request.headers.get("last-event-id") or 0), events):
            await asyncio.sleep(gap_s)
            data = f"id: {number + 1}\ndata: {attempt}.{number + 1}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def whole_text(attempt, events):
    return "\n".join(f"{attempt}.{number + 1}" for number in range(events))


class Daemon:
    """One process of the project, as deploy/system.toml starts it."""

    def __init__(self, fleet, number, zone="z1", region="near"):
        self.fleet = fleet
        self.name = f"front-{zone}-{number}"
        self.zone, self.region = zone, region
        # Every daemon has an address of its own, since ports are the same on all.
        self.ip = f"{fleet.net}.{number + 1}"
        self.process = None

    def write_settings(self):
        self.path = self.fleet.folder / f"{self.name}.toml"
        seeds = ", ".join(f'"{item.ip}:{self.fleet.control}"' for item in self.fleet.daemons[:3])
        zones = "".join(f'"{zone}" = "{region}"\n' for zone, region in self.fleet.zones)
        self.path.write_text(
            f'[vm]\nname = "{self.name}"\nip = "{self.ip}"\n'
            f'availability_zone = "{self.zone}"\nregion = "{self.region}"\n'
            f"core_share = 0.717\ncore_speed = 3\n"
            f'[listen]\nclients = "{self.ip}:{self.fleet.clients}"\n'
            f'readiness = "{self.ip}:{self.fleet.ready}"\n'
            f"internal_port = {self.fleet.internal}\n"
            f'[store]\naddress = "127.0.0.1:{self.store_port}"\n'
            f"[peers]\nseeds = [{seeds}]\n"
            "[stopping]\ngrace_s = 8\n[retention]\njob_s = 120\n"
            f"[regions]\n{zones}"
        )

    @property
    def store_port(self):
        return self.fleet.store_ports.get(self.name, self.fleet.store.port)

    def start(self):
        self.write_settings()
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            deps = ROOT / "target" / "deps"
            self.process = subprocess.Popen(
                ["python3", *self.fleet.arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(deps),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ENDIVEVANE_SETTINGS": str(self.path),
                },
            )
        self.fleet.record.add("start", daemon=self.name, pid=self.process.pid)

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        self.fleet.record.add("signal", daemon=self.name, signal=number.name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await ask(
                self.ip, self.fleet.ready, b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1
            )
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def log_lines(self, word):
        text = (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(5)


class Answer:
    """An answer that a client has read whole."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


async def read_answer(reader):
    """Read an answer; None if the connection ended before it was whole."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
            # An empty line instead of a size is no number: the answer was cut there.
            while size := int((await reader.readline()).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    return Answer(int(first.split(" ")[1]), headers, body)


async def ask(ip, port, data, wait_s):
    """Send a request on a channel of its own; None if the answer is not whole."""
    async with asyncio.timeout(wait_s):
        reader, writer = await asyncio.open_connection(ip, port, limit=16 << 20)
        try:
            writer.write(data)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.transport.abort()


class Fleet:
    """A store, replicas, daemons and clients of one run of a case."""

    def __init__(self, folder, zones=(("z1", "near"),)):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.zones = zones
        self.store = Store()
        self.store_ports = {}
        self.replicas = []
        self.daemons = []
        self.configuration = None
        self.net = self._find_net()
        self.clients, self.ready, self.internal, self.control = _free_ports(4)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *self.arguments = deploy["roles"]["entry"]["run"].split()
        if program != "python3" or not (ROOT / "target" / "deps").exists():
            raise CannotRun("the build of the deploy file has not been run")

    def _find_net(self):
        """Return a loopback network on which nothing listens on the metrics port."""
        for _ in range(50):
            net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
            try:
                with socket.create_server((f"{net}.2", 9464)):
                    return net
            except OSError:
                continue
        raise CannotRun("no free loopback address")

    async def start(self, routes, replicas, daemons):
        await self.store.start()
        services = sorted({item.service for item in replicas})
        self.configuration = {
            "version": 10,
            "routes": routes,
            "services": [{"name": name, "maxConns": 360, "engine": {}} for name in services],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "config", self.configuration)
        for item in replicas:
            await item.start()
            self.replicas.append(item)
            self.store.put("servers", item.name, item.entry())
        self.daemons = list(daemons)
        for item in self.daemons:
            item.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons, wait_s=25.0):
        until_s = time.monotonic() + wait_s
        while time.monotonic() < until_s:
            if all([await item.is_ready() for item in daemons]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    async def call(self, daemon, method, path, attempt="", body=b"", headers=(), wait_s=5.5):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        if attempt:
            lines.append(f"Attempt-Id: {attempt}")
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"Content-Length: {len(body)}", *headers]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.record.add("sent", daemon=daemon.name, method=method, path=path, attempt=attempt)
        try:
            answer = await ask(daemon.ip, self.clients, data, wait_s)
        except (OSError, TimeoutError) as error:
            self.record.add("no-answer", daemon=daemon.name, path=path, cause=repr(error))
            return None
        if answer is None:
            self.record.add("cut-answer", daemon=daemon.name, path=path, attempt=attempt)
            return None
        self.record.add(
            "answered", daemon=daemon.name, path=path, attempt=attempt, status=answer.status
        )
        return answer

    async def read(self, daemon, job, after=0, wait_ms=0):
        headers = (f"Wait-Ms: {wait_ms}",) if wait_ms else ()
        path = f"/api/lots/{job}?after={after}"
        answer = await self.call(daemon, "GET", path, headers=headers)
        if answer is not None and answer.status == 200:
            content = answer.json()
            self.record.add(
                "read", daemon=daemon.name, job=job, after=after,
                total=content["total"], results=len(content["results"]),
            )
        return answer

    async def close(self):
        """End the daemons, and then what still runs for the stand-ins."""
        await asyncio.to_thread(lambda: [item.end() for item in self.daemons])
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)

    def end(self):
        """End all daemons."""
        for item in self.daemons:
            item.end()
        self._temporary.cleanup()


def batch_route(**changes):
    route = {
        "name": "digest",
        "host": HOST,
        "prefix": "/digest/",
        "kind": "batch",
        "timeoutMs": 15000,
        "goalMs": 400,
        "priority": 2,
        "service": "lm",
        "maxAttempts": 3,
        "completionTargetMs": 18000,
        "retentionS": 60,
        "cap": 0,
        "sticky": True,
    }
    return {**route, **changes}


def stream_route(**changes):
    route = {
        "name": "quote",
        "host": HOST,
        "prefix": "/quote/",
        "kind": "streaming",
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "service": "lm",
        "maxAttempts": 2,
        "resumable": True,
        "gapTargetMs": 250,
        "sticky": True,
    }
    return {**route, **changes}


def make_job(job, count, tokens=30):
    """Return the body of a batch job."""
    items = [
        {
            "id": f"{job}{number:02x}",
            "path": f"/digest/{number}",
            "headers": {"Model": "m", "Token-Usage": "10,20", "Prompt-Prefix": f"{job[:6]}:10"},
            "body": base64.b64encode(f"log {job} {number}".encode()).decode(),
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return json.dumps({"items": items}).encode()


def new_id():
    return f"{random.getrandbits(64):016x}"


def _free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def main(case, folder, limit_s=115.0):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param case: coroutine function of the fleet and of whether there is trouble, which
        returns what broke the rule
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None

    async def run():
        try:
            async with asyncio.timeout(limit_s):
                return await case(fleet, has_trouble)
        finally:
            await fleet.close()

    def stop(*_):
        raise CannotRun("ended from outside")

    signal.signal(signal.SIGTERM, stop)
    try:
        fleet = Fleet(folder)
        broken = asyncio.run(run())
    except Exception as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        if fleet is not None:
            fleet.end()
    for line in broken:
        fleet.record.add("BROKEN", what=line.replace(" ", "_"))
        print("broken:", line)
    fleet.record.add("verdict", broken=len(broken))
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
