"""An engine that sends scripted responses, including malformed ones."""

import json
import socket
import struct
import threading
import time

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]\n\n"
# Parts of a response: RESET makes the close a TCP reset, PAUSE gives the reader time to
# read what was sent before.
RESET = object()
PAUSE = object()
_PAUSE_S = 0.3


def make_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_event(offset, text):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    body = {"id": "x", "object": "chat.completion.chunk", "created": 1, "model": "m"}
    payload = json.dumps({**body, "choices": [choice]})
    return f"id: {offset}\ndata: {payload}\n\n".encode()


def make_tokens(first, count, prefix="t"):
    """Return the chunks of tokens t0, t1, and so on."""
    return b"".join(
        make_chunk(make_event(offset, f"{prefix}{offset} "))
        for offset in range(first, first + count)
    )


def make_status(status, reason, body=b"{}", headers=b""):
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n".encode()
    return head + headers + b"Content-Type: application/json\r\n\r\n" + body


class ScriptedEngine:
    """Sends responses from one list to posts and from another to resumes.

    Each response is a list of parts that are sent one by one; the connection is closed
    after the last. The last response of a list is repeated. Engines created with the
    same list consume it together.
    """

    def __init__(self, posts, resumes=()):
        self._answers = {"POST": posts, "GET": list(resumes)}
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5.0)

    def count(self, method):
        return sum(line.startswith(method + " ") for line in self.requests)

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection):
        connection.settimeout(30.0)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection:
            try:
                method = self._read_request(connection)
                answers = self._answers.get(method) or [[make_status(404, "Not Found")]]
                parts = answers.pop(0) if len(answers) > 1 else answers[0]
                for part in parts:
                    if part is PAUSE:
                        time.sleep(_PAUSE_S)
                    elif part is RESET:
                        connection.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                        )
                    else:
                        connection.sendall(part)
            except OSError:
                return

    def _read_request(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                raise OSError("no request")
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.requests.append(lines[0])
        for line in lines:
            if line.lower().startswith("content-length:"):
                left = int(line.partition(":")[2]) - len(body)
                while left > 0:
                    left -= len(connection.recv(65536))
        return lines[0].split(" ")[0]
