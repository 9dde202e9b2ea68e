"""Calls an engine or a daemon as a caller would, over plain HTTP connections."""

import dataclasses
import http.client
import json
import socket
import time

from standins import completions

DONE = "[DONE]"


@dataclasses.dataclass
class Event:
    """One server-sent event; ``offset`` is None for ``[DONE]``."""

    offset: int | None
    data: str

    @property
    def text(self):
        choices = [] if self.data == DONE else json.loads(self.data)["choices"]
        return choices[0]["delta"].get("content", "") if choices else ""

    @property
    def usage(self):
        return None if self.data == DONE else json.loads(self.data).get("usage")


class EventStream:
    """An open stream of server-sent events."""

    def __init__(self, connection):
        self.connection = connection
        self.response = connection.getresponse()
        self.status = self.response.status
        self.headers = self.response.headers

    def read_event(self):
        """Return the next event, or None at the end of the stream."""
        offset, data = None, None
        while True:
            line = self.response.readline().decode().rstrip("\n")
            if line.startswith("id: "):
                offset = int(line.removeprefix("id: "))
            elif line.startswith("data: "):
                data = line.removeprefix("data: ")
            elif data is not None:
                return Event(offset, data)
            else:
                return None

    def read_events(self, count):
        events = []
        while len(events) < count:
            event = self.read_event()
            assert event is not None, f"the stream ended after {len(events)} events"
            events.append(event)
        return events

    def read_to_end(self):
        """Return the remaining events until the stream ends or breaks."""
        events = []
        try:
            while (event := self.read_event()) is not None:
                events.append(event)
        except (OSError, http.client.HTTPException):
            pass
        return events

    def break_connection(self):
        """Shut the connection down, like a caller that has disappeared."""
        sock = self.connection.sock or self.response.fp.raw._sock
        sock.shutdown(socket.SHUT_RDWR)
        self.connection.close()
        self.response.close()


def make_messages(text):
    return [{"role": "user", "content": text}]


def make_body(text, tokens=None, model="small-lm", **others):
    body = {"model": model, "messages": make_messages(text), **others}
    if tokens is not None:
        body["max_tokens"] = tokens
    return body


def open_post(address, path, body, headers=None, timeout_s=10.0):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    connection.request("POST", path, json.dumps(body), all_headers)
    return connection


def post(address, path, body, headers=None, timeout_s=10.0):
    """Send a POST; return the status, headers and decoded body."""
    connection = open_post(address, path, body, headers, timeout_s)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, response.headers, json.loads(data) if data else None


def get(address, path, headers=None, method="GET", timeout_s=10.0):
    """Send a request without a body; return the status, headers and decoded body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    connection.request(method, path, headers=headers or {})
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, response.headers, json.loads(data) if data else None


def open_stream(address, body, headers=None, timeout_s=10.0):
    streamed = {**body, "stream": True}
    return EventStream(
        open_post(address, "/v1/chat/completions", streamed, headers, timeout_s)
    )


def resume_stream(address, attempt_id, after_offset, timeout_s=10.0):
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    headers = {"Last-Event-ID": str(after_offset)}
    connection.request("GET", f"/v1/streams/{attempt_id}", headers=headers)
    return EventStream(connection)


def join_text(events):
    return "".join(event.text for event in events)


def expected_text(text, tokens):
    return completions.expected_text(make_messages(text), tokens)


def wait_until(is_true, timeout_s, problem):
    """Wait for a condition; use generous timeouts, since machines are shared."""
    deadline_s = time.monotonic() + timeout_s
    while not is_true():
        assert time.monotonic() < deadline_s, f"{problem} within {timeout_s} s"
        time.sleep(0.02)
