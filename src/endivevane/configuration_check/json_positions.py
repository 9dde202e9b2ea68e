"""Lines of the keys of a JSON document."""

from __future__ import annotations

import bisect
import dataclasses
import json
import re

from endivevane import exceptions
from endivevane.configuration_check import findings

Path = tuple[str | int, ...]

_SPACE = re.compile(r"[ \t\n\r]*")
_SCALAR = re.compile(
    r"true|false|null|-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][-+]?[0-9]+)?"
)
_DECODER = json.JSONDecoder()
# Above what any configuration needs, and below the recursion limit.
_MAX_DEPTH = 64


class InvalidJson(exceptions.EndivevaneError):
    """A document is no JSON.

    :param line: line of the first violation
    :param reason: what is wrong there
    """

    def __init__(self, line: int, reason: str) -> None:
        super().__init__()
        self.line = line
        self.reason = reason

    def format_message(self) -> str:
        """Return the line and the reason."""
        return f"line {self.line}: {self.reason}"


@dataclasses.dataclass(slots=True)
class Positions:
    """Where the values of a document stand.

    :ivar lines: by path
    :ivar duplicates: paths of keys that an object has more than once
    """

    lines: dict[Path, int] = dataclasses.field(default_factory=dict)
    duplicates: list[tuple[Path, int]] = dataclasses.field(default_factory=list)

    def find(self, path: Path) -> findings.Place:
        """Return the place of a value, or of the closest one around it."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        return findings.Place(format_path(path), self.lines.get(known, 0))


def format_path(path: Path) -> str:
    """Return a path as text, for example ``routes[2].host``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            # Control characters could steer the operator's terminal.
            name = part if part.isprintable() else ascii(part)
            text += f".{name}" if text else name
    return text


def scan(content: bytes) -> Positions:
    """Return where the values of a JSON document stand.

    :raises InvalidJson: when it is none
    """
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        raise InvalidJson(line, "not UTF-8") from error
    return _Scanner(text).scan()


class _Scanner:
    """Scans one document."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._starts = [match.end() for match in re.finditer("\n", text)]
        self._found = Positions()

    def scan(self) -> Positions:
        """Return the positions of the whole document."""
        self._scan_value(())
        if self._peek():
            raise self._make_error("more text behind the document")
        return self._found

    def _scan_value(self, path: Path) -> None:
        if len(path) > _MAX_DEPTH:
            raise self._make_error(f"nested more deeply than {_MAX_DEPTH} levels")
        character = self._peek()
        # A key stands on the line of its name.
        self._found.lines.setdefault(path, self._line)
        if character == "{":
            self._scan_object(path)
        elif character == "[":
            self._scan_array(path)
        elif character == '"':
            self._scan_string()
        else:
            match = _SCALAR.match(self._text, self._position)
            if match is None:
                raise self._make_error("a value is missing")
            self._position = match.end()

    def _scan_object(self, path: Path) -> None:
        self._position += 1
        names: set[str] = set()
        if self._take("}"):
            return
        while True:
            if self._peek() != '"':
                raise self._make_error("the name of a key in quotes is missing")
            line = self._line
            name = self._scan_string()
            inner = (*path, name)
            if name in names:
                self._found.duplicates.append((inner, line))
            names.add(name)
            self._found.lines[inner] = line
            if not self._take(":"):
                raise self._make_error("':' is missing")
            self._scan_value(inner)
            if self._take("}"):
                return
            if not self._take(","):
                raise self._make_error("',' or '}' is missing")

    def _scan_array(self, path: Path) -> None:
        self._position += 1
        if self._take("]"):
            return
        number = 0
        while True:
            self._scan_value((*path, number))
            number += 1
            if self._take("]"):
                return
            if not self._take(","):
                raise self._make_error("',' or ']' is missing")

    def _scan_string(self) -> str:
        try:
            text, self._position = _DECODER.raw_decode(self._text, self._position)
        except json.JSONDecodeError as error:
            self._position = error.pos
            raise self._make_error(error.msg) from error
        return str(text)

    def _peek(self) -> str:
        """Return the next character that is no space, empty at the end."""
        match = _SPACE.match(self._text, self._position)
        if match is not None:
            self._position = match.end()
        return self._text[self._position : self._position + 1]

    def _take(self, character: str) -> bool:
        if self._peek() != character:
            return False
        self._position += 1
        return True

    @property
    def _line(self) -> int:
        return bisect.bisect_right(self._starts, self._position) + 1

    def _make_error(self, reason: str) -> InvalidJson:
        return InvalidJson(self._line, reason)
