"""HTTP calls over plain sockets that expose the framing of the response."""

import dataclasses
import json
import socket

DONE = "[DONE]"


@dataclasses.dataclass
class Answer:
    """A response as received.

    ``is_whole`` tells whether the response is complete according to its framing.
    """

    status: int
    headers: dict
    body: bytes
    is_whole: bool

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def payloads(self):
        """Contents of the data lines of all events."""
        lines = self.body.decode().split("\n")
        return [line[6:] for line in lines if line.startswith("data: ")]

    @property
    def text(self):
        parts = []
        for payload in self.payloads:
            choices = [] if payload == DONE else json.loads(payload).get("choices", [])
            parts += [item["delta"].get("content") or "" for item in choices]
        return "".join(parts)

    @property
    def error(self):
        """The error of the response or of its last event, or ``None``."""
        if not self.headers.get("content-type", "").startswith("text/event-stream"):
            return self.json.get("error")
        last = self.payloads[-1]
        return None if last == DONE else json.loads(last).get("error")


def connect(address, timeout_s=20.0, receive_bytes=None):
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(timeout_s)
    sock.connect((host, int(port)))
    return sock


def encode_request(method, path, body=b"", headers=None):
    fields = {"Host": "daemon", **(headers or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def read_answer(sock):
    """Read to the end of the connection; a reset counts as its end."""
    parts = []
    while True:
        try:
            part = sock.recv(65536)
        except ConnectionResetError:
            break
        if not part:
            break
        parts.append(part)
    sock.close()
    assert parts, "the connection was closed without an answer"
    return parse_answer(b"".join(parts))


def parse_answer(data):
    head, _, remainder = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, is_whole = _decode_chunks(remainder)
    else:
        body = remainder
        is_whole = len(remainder) == int(headers.get("content-length", -1))
    return Answer(status, headers, body, is_whole)


def _decode_chunks(data):
    # Parsed by position: slicing off each chunk took 14 s for 12 MB on a busy machine.
    parts = []
    position = 0
    while position < len(data):
        end = data.find(b"\r\n", position)
        if end < 0:
            break
        size = int(data[position:end], 16)
        position = end + 2
        if size == 0:
            return b"".join(parts), data[position:] == b"\r\n"
        parts.append(data[position : position + size])
        position += size
        if data[position : position + 2] != b"\r\n":
            break
        position += 2
    return b"".join(parts), False


def ask_on(sock, path):
    """Get a small JSON document and keep the connection open."""
    sock.sendall(encode_request("GET", path))
    data = b""
    while b"}" not in data:
        part = sock.recv(65536)
        assert part, "closed without an answer"
        data += part
    answer = parse_answer(data)
    return answer.status, answer.headers, answer.body
