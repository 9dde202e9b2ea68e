"""Server-sent events of the OpenAI HTTP API: parsing, encoding and merging."""

from __future__ import annotations

import typing

from endivevane import exceptions, utils

DONE = b"[DONE]"
_MAX_EVENT_BYTES = 1 << 20
_ERROR_STARTS = (b'{"error"', b'{ "error"')

# Offset from the ``id:`` line, ``None`` without one, and content of the data lines.
Event = tuple[int | None, bytes]


class EventParser:
    """Splits a byte stream into events.

    :param source: name of the sender, for errors
    """

    __slots__ = ("_rest", "_source")

    def __init__(self, source: str) -> None:
        self._source = source
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with this data.

        :raises exceptions.ProtocolError: when the data is not a stream of events
        """
        if self._rest:
            data = self._rest + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        blocks = data.split(b"\n\n")
        self._rest = blocks.pop()
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise exceptions.ProtocolError(self._source, "event too large")
        events: list[Event] = []
        for block in blocks:
            # Fast path: nearly all events are one id line and one data line.
            head, _, body = block.partition(b"\ndata: ")
            number = head[4:]
            if head.startswith(b"id: ") and number.isdigit() and b"\n" not in body:
                events.append((int(number), body))
                continue
            event = self._parse_lines(block)
            if event is not None:
                events.append(event)
        return events

    def _parse_lines(self, block: bytes) -> Event | None:
        offset = None
        parts = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                parts.append(value)
            elif name == b"id":
                offset = self._parse_offset(value)
        if not parts:
            return None
        return offset, b"\n".join(parts)

    def _parse_offset(self, text: bytes) -> int:
        if not text.isdigit() or len(text) > 15:
            raise exceptions.ProtocolError(self._source, f"bad offset {text[:40]!r}")
        return int(text)


def encode_events(payloads: list[bytes]) -> bytes:
    """Return encoded events without ids."""
    parts = [
        item.replace(b"\n", b"\ndata: ") if b"\n" in item else item for item in payloads
    ]
    return b"data: " + b"\n\ndata: ".join(parts) + b"\n\n"


def is_error(payload: bytes) -> bool:
    """Return whether an event reports an error instead of a part of the response."""
    return payload.startswith(_ERROR_STARTS)


def extract_choices(payload: bytes) -> bytes:
    """Return the part of an event that is equal in deterministic runs.

    The identifier and creation time differ between runs.
    """
    try:
        return utils.encode_json(utils.decode_json(payload)["choices"])
    except (ValueError, KeyError, TypeError):
        return payload


def make_completion(payloads: list[bytes]) -> bytes:
    """Return the ``chat.completion`` body for the events of a complete response.

    :raises ValueError: if an event is not a chunk of a completion
    """
    answer: dict[str, typing.Any] = {}
    choices: dict[int, dict[str, typing.Any]] = {}
    for payload in payloads:
        chunk = utils.decode_json(payload)
        if not isinstance(chunk, dict):
            raise ValueError("an event is not a JSON object")
        for key, value in chunk.items():
            if key != "choices" and value is not None:
                answer.setdefault(key, value)
        if chunk.get("usage") is not None:
            answer["usage"] = chunk["usage"]
        for item in chunk.get("choices") or []:
            index = item.get("index", 0)
            choice = choices.setdefault(index, _make_choice(index))
            _merge_choice(choice, item)
    answer["object"] = "chat.completion"
    answer["choices"] = [choices[index] for index in sorted(choices)]
    for choice in answer["choices"]:
        calls = choice["message"].get("tool_calls")
        if calls:
            choice["message"]["tool_calls"] = [calls[key] for key in sorted(calls)]
    return utils.encode_json(answer)


def _make_choice(index: int) -> dict[str, typing.Any]:
    message = {"role": "assistant", "content": None}
    return {"index": index, "message": message, "finish_reason": None}


def _merge_choice(choice: dict[str, typing.Any], item: dict[str, typing.Any]) -> None:
    for key, value in item.items():
        if key in ("index", "delta") or value is None:
            continue
        if key == "logprobs" and isinstance(choice.get(key), dict):
            for name, entries in value.items():
                _append(choice[key], name, entries)
            continue
        choice[key] = value
    for key, value in (item.get("delta") or {}).items():
        if value is None:
            continue
        if key == "tool_calls":
            _merge_calls(choice["message"].setdefault(key, {}), value)
        elif key == "role":
            choice["message"][key] = value
        else:
            _append(choice["message"], key, value)


def _merge_calls(
    calls: dict[int, typing.Any], pieces: list[dict[str, typing.Any]]
) -> None:
    for piece in pieces:
        call = calls.setdefault(piece.get("index", len(calls)), {"function": {}})
        for key, value in piece.items():
            if key == "function":
                for name, text in (value or {}).items():
                    _append(call["function"], name, text)
            elif key != "index" and value is not None:
                call[key] = value


def _append(holder: dict[str, typing.Any], key: str, value: typing.Any) -> None:
    """Append text or list items; other values replace the earlier one."""
    present = holder.get(key)
    is_same_kind = type(present) is type(value)
    if is_same_kind and isinstance(value, str | list):
        holder[key] += value
    elif value is not None:
        holder[key] = value
