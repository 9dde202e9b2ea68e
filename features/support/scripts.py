"""Named responses of scripted engines, as arguments of ``ScriptedEngine``."""

import json

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


def _make_piece(offset, **fields):
    body = {
        "id": "chatcmpl-1",
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "small-lm",
        **fields,
    }
    return scripted_engine.make_chunk(
        f"id: {offset}\ndata: {json.dumps(body)}\n\n".encode()
    )


def _make_choice(index, delta, **fields):
    return {"index": index, "delta": delta, "finish_reason": None, **fields}


def _make_logprobs(token):
    entry = {"token": token, "logprob": -0.1, "bytes": None, "top_logprobs": []}
    return {"content": [entry], "refusal": None}


def _make_call(index, arguments, **fields):
    function = {"arguments": arguments}
    if "name" in fields:
        function["name"] = fields.pop("name")
    return {"tool_calls": [{"index": index, "function": function, **fields}]}


def _make_pieces():
    """Return chunks of two choices, one with text and one with two tool calls."""
    first = {"role": "assistant", "content": "red "}
    choices = [
        [_make_choice(0, first, logprobs=_make_logprobs("red"))],
        [_make_choice(1, {"role": "assistant", "content": None})],
        [
            _make_choice(
                1, _make_call(0, '{"la', id="call-1", type="function", name="sort")
            ),
            _make_choice(0, {"content": "green"}, logprobs=_make_logprobs("green")),
        ],
        [_make_choice(1, _make_call(0, 'ne": 4}'))],
        [
            _make_choice(
                1, _make_call(1, "{}", id="call-2", type="function", name="stop")
            )
        ],
        [_make_choice(0, {}, finish_reason="stop")],
        [_make_choice(1, {}, finish_reason="tool_calls")],
    ]
    parts = [_make_piece(n, choices=item) for n, item in enumerate(choices)]
    usage = {"prompt_tokens": 3, "completion_tokens": 7, "total_tokens": 10}
    parts.append(_make_piece(len(choices), choices=[], usage=usage))
    return ([[HEAD, *parts, DONE, LAST]],)


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
    "status 400 after a run": _answer(
        scripted_engine.make_status(
            400,
            "Bad Request",
            b'{"error":{"message":"context too long"}}',
            b"X-Run-State: ran\r\n",
        )
    ),
    "status 400 without JSON": _answer(
        scripted_engine.make_status(400, "Bad Request", b"<html>no</html>")
    ),
    "12 MB at once": _make_large,
    "many kinds of pieces": _make_pieces,
}
