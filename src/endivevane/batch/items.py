"""Items of input files and lines of result files."""

from __future__ import annotations

import dataclasses
import typing

from endivevane import utils

ENDPOINT = "/v1/chat/completions"
_MAX_CUSTOM_ID_CHARACTERS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """The reason why an item failed.

    :param code: stable, machine-readable code
    :param message: description for users
    """

    code: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One line of an input file.

    The line is stored encoded and decoded on each send: decoded items of the claimed
    chunks would take several times the memory.

    :param index: position among the items of its segment
    :param model: name of the model; empty when the line is invalid
    :param problem: set when the line is invalid; such an item is never sent
    """

    index: int
    custom_id: str | None
    line: bytes
    model: str = ""
    problem: Problem | None = None

    def decode_body(self) -> dict[str, typing.Any]:
        """Return the request body; only valid items have one."""
        body: dict[str, typing.Any] = utils.decode_json(self.line)["body"]
        return body


@dataclasses.dataclass(frozen=True, slots=True)
class ResultLine:
    """The result of one item as a line of the output or the error file."""

    is_success: bool
    data: bytes


def parse_item(index: int, line: bytes) -> Item:
    """Parse and validate one line.

    :param index: position among the items of its segment
    """
    try:
        value = utils.decode_json(line)
    except ValueError as error:
        problem = Problem("invalid_json", str(error))
        return Item(index, None, line, problem=problem)
    if not isinstance(value, dict):
        problem = Problem("invalid_item", "line must be a JSON object")
        return Item(index, None, line, problem=problem)
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        problem = Problem("invalid_custom_id", "custom_id must be a string")
        return Item(index, None, line, problem=problem)
    if len(custom_id) > _MAX_CUSTOM_ID_CHARACTERS:
        text = f"custom_id is longer than {_MAX_CUSTOM_ID_CHARACTERS} characters"
        problem = Problem("invalid_custom_id", text)
        return Item(index, None, line, problem=problem)
    found = _find_problem(value)
    if found is not None:
        return Item(index, custom_id, line, problem=found)
    return Item(index, custom_id, line, model=value["body"]["model"])


def _find_problem(value: dict[str, typing.Any]) -> Problem | None:
    """Return the first error in the call that a line describes, if any."""
    if value.get("method") != "POST":
        return Problem("invalid_method", "method must be POST")
    if value.get("url") != ENDPOINT:
        return Problem("invalid_url", f"url must be {ENDPOINT}")
    body = value.get("body")
    if not isinstance(body, dict):
        return Problem("invalid_body", "body must be an object")
    if not isinstance(body.get("model"), str):
        return Problem("invalid_body", "body.model must be a string")
    return None


def parse_segment(data: bytes, duplicates: frozenset[int], model: str) -> list[Item]:
    """Parse and validate the items of a segment.

    :param duplicates: indexes of items whose ``custom_id`` appeared on an earlier line
    :param model: model that all items of the file must name
    """
    items: list[Item] = []
    for line in data.split(b"\n"):
        if not line.strip():
            continue
        item = parse_item(len(items), line)
        if item.problem is None and item.index in duplicates:
            problem = Problem(
                "duplicate_custom_id", "custom_id is used by an earlier line"
            )
            item = dataclasses.replace(item, problem=problem)
        if item.problem is None and item.model != model:
            text = f"all items must use the model of the first item, {model!r}"
            item = dataclasses.replace(item, problem=Problem("model_mismatch", text))
        items.append(item)
    return items


def make_response_line(
    job_id: str, number: int, item: Item, request_id: str, status: int, body: typing.Any
) -> ResultLine:
    """Return the result line of an item with a response of an engine."""
    line = {
        "id": _make_line_id(job_id, number, item.index),
        "custom_id": item.custom_id,
        "response": {"status_code": status, "request_id": request_id, "body": body},
        "error": None,
    }
    return ResultLine(status == 200, utils.encode_json(line) + b"\n")


def make_failure_line(
    job_id: str, number: int, item: Item, problem: Problem
) -> ResultLine:
    """Return the result line of an item that failed without a response."""
    line = {
        "id": _make_line_id(job_id, number, item.index),
        "custom_id": item.custom_id,
        "response": None,
        "error": {"code": problem.code, "message": problem.message},
    }
    return ResultLine(False, utils.encode_json(line) + b"\n")


def encode_results(lines: dict[int, ResultLine]) -> bytes:
    """Return the bytes of a result object: one line per ended item in input order.

    Each line starts with the index of its item and ``+`` for the output file or ``-``
    for the error file, so that reading it needs no JSON parsing.
    """
    parts: list[bytes] = []
    for index in sorted(lines):
        line = lines[index]
        mark = b"+" if line.is_success else b"-"
        parts.append(str(index).encode() + mark + line.data)
    return b"".join(parts)


def decode_results(data: bytes) -> dict[int, ResultLine]:
    """Return the lines of a result object by item index.

    :raises ValueError: when the data is not a result object
    """
    lines: dict[int, ResultLine] = {}
    for raw in data.splitlines(keepends=True):
        start = raw.index(b"{")
        lines[int(raw[: start - 1])] = ResultLine(
            raw[start - 1 : start] == b"+", raw[start:]
        )
    return lines


def _make_line_id(job_id: str, number: int, index: int) -> str:
    return f"batch_req_{job_id.removeprefix('batch_')}_{number}_{index}"
