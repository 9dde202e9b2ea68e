"""Stateful fuzzing of the relay's streams with fake sockets and engines."""

import json
import random
import types as std_types

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane import types
from endivevane.coordination import clock
from endivevane.online import (
    contract,
    dispatcher,
    messages,
    poller,
    relay_settings,
    routing,
    scheduler,
)
from endivevane.web import server
from features.support import online_machine, raw_http, scripted_engine

_TOKENS = 12
_WHOLE = range(_TOKENS)


class FakeSocket:
    """A non-blocking socket; the machine fills ``inbox`` and reads ``sent``."""

    def __init__(self):
        self.inbox = []
        self.sent = b""
        self.room = None
        self.is_closed = False
        self.callback = None
        self.events = 0

    def recv(self, size):
        if not self.inbox:
            raise BlockingIOError
        data = self.inbox.pop(0)
        if isinstance(data, Exception):
            raise data
        if len(data) > size:
            self.inbox.insert(0, data[size:])
        return data[:size]

    def send(self, data):
        assert not self.is_closed
        taken = len(data) if self.room is None else min(self.room, len(data))
        if data and not taken:
            raise BlockingIOError
        if self.room is not None:
            self.room -= taken
        self.sent += bytes(data[:taken])
        return taken

    def close(self):
        self.is_closed = True


class FakePoller:
    """Stores the watched events and the callback on each socket."""

    def set_events(self, sock, events, callback):
        sock.events, sock.callback = events, callback

    def run(self, sock, now_s):
        """Call the socket's callback until it has nothing more to do."""
        while sock.events & poller.READ and sock.inbox and not sock.is_closed:
            sock.callback(poller.READ, now_s)
        if sock.events & poller.WRITE and not sock.is_closed:
            sock.callback(poller.WRITE, now_s)


class FakeEngines:
    """Records the calls to engines; the machine answers them."""

    def __init__(self):
        self.calls = []
        self.cancelled = set()

    def open(self, call_number, attempt, body):
        self.calls.append(("open", call_number, attempt, -1))

    def resume(self, call_number, attempt, after_offset):
        self.calls.append(("resume", call_number, attempt, after_offset))

    def cancel(self, address, attempt_id, tries=1):
        self.cancelled.add(attempt_id)


class RelayMachine(stateful.RuleBasedStateMachine):
    """Consecutive requests whose engines and callers fail at any time.

    Each engine returns a different text if the request is not deterministic, or is
    declared deterministic but is not (``is_liar``).
    """

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(start_s=100.0, wall_ms=10**12)
        targets = {f"t{index}": f"127.0.0.1:{index + 1}" for index in range(3)}
        self.snapshot = online_machine.make_snapshot(targets, {"deadline_s": 60})
        place = routing.Place("daemon-1", "zone-a", "west")
        decider = scheduler.Scheduler(place, self.clock, random.Random(3))
        decider.set_snapshot(self.snapshot)
        self.engines = FakeEngines()
        self.relay = dispatcher.Dispatcher(
            relay_settings.RelaySettings(high_watermark_bytes=600),
            self.clock,
            decider,
            self.engines,
            lambda message: None,
        )
        self.relay.poller = FakePoller()
        self.requests = 0
        self.caller = None
        self.engine = None

    @stateful.precondition(lambda self: not self.relay.streams)
    @stateful.rule(
        is_streamed=st.sampled_from([True, True, False]),
        is_deterministic=st.sampled_from([True, True, False]),
        is_liar=st.sampled_from([True, False, False]),
    )
    def begin(self, is_streamed, is_deterministic, is_liar):
        """Submit the next request, after the last one has ended."""
        self._check_ended()
        # Long enough for avoided targets to be used again.
        self.clock.advance(30.0)
        self.requests += 1
        self.caller = FakeSocket()
        self.is_streamed = is_streamed
        self.differs = is_liar or not is_deterministic
        self.engine = None
        self.ran = set()
        self.finished = set()
        self.relay.now_s = now_s = self.clock.monotonic_s()
        request = contract.OnlineRequest(
            request_id=f"req-{self.requests}",
            organisation="orchard",
            service=self.snapshot.services["small"],
            model=online_machine.MODEL,
            priority=types.Priority.NORMAL,
            body={"model": online_machine.MODEL, "messages": []},
            is_streamed=is_streamed,
            is_deterministic=is_deterministic,
            received_s=now_s,
            deadline_s=now_s + 60.0,
            fingerprint=f"fingerprint-{self.requests}",
        )
        detached = server.DetachedCaller(self.caller, "127.0.0.1", True)
        self.relay.submit(messages.SubmitRequest(request, detached))

    @stateful.precondition(lambda self: self.relay.streams)
    @stateful.rule(
        action=st.sampled_from(
            ["tokens"] * 8
            + ["fault"] * 4
            + ["die"] * 4
            + ["end", "refuse", "fail_call", "leave", "wait", "room"]
        ),
        amount=st.integers(1, 4),
        back=st.integers(0, 2),
        cut=st.integers(0, 900),
        choice=st.integers(0, 5),
    )
    def step(self, action, amount, back, cut, choice):
        """Apply one action to the request if it is possible."""
        if action == "fail_call" and self.engines.calls:
            self._fail_call(was_sent=choice % 2 == 0)
        elif action == "leave":
            self._disconnect(choice)
        elif action == "wait":
            self.clock.advance([0.1, 0.5, 1.0, 2.0, 6.0, 31.0][choice])
        elif action == "room":
            self.caller.room = [0, 1, 100, 1000, None, None][choice]
        elif not self._connect():
            self.clock.advance(0.1)
        elif action == "tokens":
            self._send_tokens(amount, back, cut)
        elif action == "end":
            self._send_end(cut)
        elif action == "fault":
            self._break_stream(choice)
        elif action == "refuse":
            self._refuse(503 if choice % 2 else 404)
        elif action == "die":
            self._crash()
        self._settle()

    def _settle(self):
        """Run the ready sockets, then timers and the scheduler."""
        type(self).steps_run += 1
        self.relay.now_s = self.clock.monotonic_s()
        for sock in (self.engine and self.engine.sock, self.caller):
            if sock is not None:
                self.relay.poller.run(sock, self.relay.now_s)
        for check in self.relay.timers.take_due(self.relay.now_s):
            check()
        self.relay.poll_scheduler()

    def _connect(self):
        """Open the requested connection; return whether one is open."""
        if self.engine is not None and not self.engine.sock.is_closed:
            return True
        if not self.engines.calls:
            return False
        kind, call_number, attempt, after_offset = self.engines.calls.pop(0)
        self.engine = std_types.SimpleNamespace(
            sock=FakeSocket(), attempt=attempt, next=after_offset + 1, kind=kind
        )
        self.engine.has_head = False
        self.ran.add(attempt.attempt_id)
        self.relay.handle_opened(
            messages.Opened(attempt, call_number, self.engine.sock)
        )
        return not self.engine.sock.is_closed

    def _fail_call(self, was_sent):
        _, call_number, attempt, _ = self.engines.calls.pop(0)
        if was_sent:
            self.ran.add(attempt.attempt_id)
        message = messages.OpenFailed(attempt, call_number, was_sent, "failed")
        self.relay.handle_open_failure(message)

    def _disconnect(self, choice):
        if choice < 2:
            left = ConnectionResetError("left") if choice else b""
            self.caller.inbox.append(left)

    def _pop_head(self):
        head = b"" if self.engine.has_head else scripted_engine.HEAD
        self.engine.has_head = True
        return head

    def _make_tokens(self, first, count):
        name = self.engine.attempt.target.name if self.differs else "t"
        return scripted_engine.make_tokens(first, count, name)

    def _receive(self, data, cut):
        cut = min(cut, len(data))
        self.engine.sock.inbox += [part for part in (data[:cut], data[cut:]) if part]

    def _send_tokens(self, count, back, cut):
        engine = self.engine
        first = max(0, engine.next - back)
        engine.next = max(engine.next, min(_TOKENS, engine.next + count))
        data = self._pop_head() + self._make_tokens(first, engine.next - first)
        self._receive(data, cut)

    def _send_end(self, cut):
        engine = self.engine
        self.finished.add(engine.attempt.attempt_id)
        rest = self._make_tokens(engine.next, _TOKENS - engine.next)
        done = scripted_engine.make_chunk(scripted_engine.DONE)
        data = self._pop_head() + rest + done + scripted_engine.LAST_CHUNK
        self._receive(data, cut)

    def _break_stream(self, choice):
        engine, head = self.engine, self._pop_head()
        event = scripted_engine.make_chunk(b'data: {"error":{"message":"broken"}}\n\n')
        engine.sock.inbox.append(
            [
                b"",
                ConnectionResetError("reset"),
                head + self._make_tokens(engine.next + 1, 2),
                head + event,
                head + b"zz\r\n",
                head + scripted_engine.LAST_CHUNK,
            ][choice]
        )

    def _refuse(self, status):
        if self.engine.has_head:
            return
        headers = b"X-Run-State: not-run\r\n"
        data = scripted_engine.make_status(status, "Refused", headers=headers)
        self.engine.sock.inbox.append(data)
        if self.engine.kind == "open":
            self.ran.discard(self.engine.attempt.attempt_id)

    def _crash(self):
        """Break the connection and refuse the resume, as after an engine crash."""
        self.engine.sock.inbox.append(b"")
        self._settle()
        if self.engines.calls and self.engines.calls[0][0] == "resume":
            self._fail_call(was_sent=False)

    @stateful.invariant()
    def check_answer(self):
        if self.caller is None or b"\r\n\r\n" not in self.caller.sent:
            return
        answer = raw_http.parse_answer(self.caller.sent)
        if answer.status != 200:
            if answer.is_whole and answer.headers["x-run-state"] == "not-run":
                assert not self.ran, "not-run, but an engine had the request"
            return
        if not self.is_streamed:
            if answer.is_whole:
                self._check_text(self._read_whole(answer), is_whole=True)
            return
        end = answer.body.rfind(b"\n\n") + 2
        whole_events = raw_http.Answer(200, {}, answer.body[:end], False)
        is_done = raw_http.DONE in whole_events.payloads
        if is_done:
            assert whole_events.payloads[-1] == raw_http.DONE, "events after [DONE]"
            assert whole_events.payloads.count(raw_http.DONE) == 1
        if answer.is_whole:
            assert is_done, "the framing is complete but the response is not"
        self._check_text(self._join(whole_events), is_done)

    def _read_whole(self, answer):
        choices = json.loads(answer.body)["choices"]
        return choices[0]["message"]["content"] if choices else ""

    def _join(self, answer):
        chunks = [json.loads(item) for item in answer.payloads if item != raw_http.DONE]
        choices = [item["choices"][0] for item in chunks if "choices" in item]
        return "".join(item["delta"]["content"] for item in choices)

    def _check_text(self, text, is_whole):
        names = ("t0", "t1", "t2") if self.differs else ("t",)
        texts = ["".join(f"{name}{index} " for index in _WHOLE) for name in names]
        # A text from several runs is a fault even if the response is incomplete.
        assert any(item.startswith(text) for item in texts), f"mixed: {text!r}"
        if is_whole:
            assert text in texts, f"not the whole text of one run: {text!r}"

    def teardown(self):
        """Let all time limits expire."""
        for _ in range(8):
            self.clock.advance(40.0)
            self._settle()
        self._check_ended()

    def _check_ended(self):
        """Check that nothing stays open or keeps running."""
        if self.caller is None:
            return
        while self.engines.calls:
            _, call_number, attempt, _ = self.engines.calls.pop(0)
            sock = FakeSocket()
            self.ran.add(attempt.attempt_id)
            self.relay.handle_opened(messages.Opened(attempt, call_number, sock))
            assert sock.is_closed
        assert not self.relay.streams, "a stream never ended"
        assert self.caller.is_closed
        assert self.engine is None or self.engine.sock.is_closed
        running = self.ran - self.finished - self.engines.cancelled
        assert not running, f"still running at an engine: {running}"
