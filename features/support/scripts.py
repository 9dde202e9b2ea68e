"""Answers of scripted engines by name, as lists for posts and for resumes."""

from features.support import scripted_engine

LARGE_EVENTS = 1200
_LARGE_TEXT = "x" * 10_000

HEAD = scripted_engine.HEAD
PAUSE = scripted_engine.PAUSE
LAST = scripted_engine.LAST_CHUNK
DONE = scripted_engine.make_chunk(scripted_engine.DONE)
_make_tokens = scripted_engine.make_tokens


def _answer(*parts):
    return lambda: ([list(parts)],)


def _make_plain_events(separator=b"\n"):
    events = [scripted_engine.make_event(n, f"t{n} ") for n in range(5)]
    data = b"".join([*events, scripted_engine.DONE])
    return data.replace(b"\n", separator)


def _split(data):
    return [data[index : index + 1] for index in range(len(data))]


def _make_large():
    events = [
        scripted_engine.make_chunk(scripted_engine.make_event(n, _LARGE_TEXT))
        for n in range(LARGE_EVENTS)
    ]
    return ([[HEAD, b"".join(events), DONE, LAST]],)


def _without_ids():
    lines = _make_plain_events().split(b"\n")
    return b"\n".join(line for line in lines if not line.startswith(b"id:"))


_ERROR = b'data: {"error":{"message":"out of memory"}}\n\n'
_COMMENT = scripted_engine.make_chunk(b": still here\n\n")
_chunk = scripted_engine.make_chunk
_PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

SCRIPTS = {
    "end without DONE": _answer(HEAD, _make_tokens(0, 3), LAST),
    "closed in a chunk": _answer(HEAD, _make_tokens(0, 3), _make_tokens(3, 1)[:-20]),
    "reset": _answer(HEAD, _make_tokens(0, 3), PAUSE, scripted_engine.RESET),
    "an offset is left out": _answer(
        HEAD, _make_tokens(0, 3), _make_tokens(4, 2), DONE, LAST
    ),
    "an error event": _answer(HEAD, _make_tokens(0, 3), _chunk(_ERROR), LAST),
    "lines without data": _answer(HEAD, _make_tokens(0, 3), _chunk(b"oops\n\n"), LAST),
    "bad chunk size": _answer(
        HEAD, _make_tokens(0, 3), PAUSE, b"zz\r\n", _make_tokens(3, 2)
    ),
    "one byte at a time": _answer(*_split(HEAD + _make_tokens(0, 5) + DONE + LAST)),
    "all in one chunk": _answer(HEAD + _chunk(_make_plain_events()) + LAST),
    "no chunks": _answer(_PLAIN_HEAD, _make_plain_events()),
    "CRLF lines": _answer(HEAD, _chunk(_make_plain_events(b"\r\n")), LAST),
    "repeated offsets": _answer(
        HEAD, _make_tokens(0, 3), _make_tokens(1, 4), DONE, LAST
    ),
    "comments between events": _answer(
        HEAD, _COMMENT, _make_tokens(0, 3), _COMMENT, _make_tokens(3, 2), DONE, LAST
    ),
    "an interim response first": _answer(
        b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n",
        HEAD,
        _make_tokens(0, 5),
        DONE,
        LAST,
    ),
    "no offsets": _answer(HEAD, _chunk(_without_ids()), LAST),
    "status 400": _answer(
        scripted_engine.make_status(
            400, "Bad Request", b'{"error":{"message":"context too long"}}'
        )
    ),
    "12 MB at once": _make_large,
}
