"""Finding in daemons' logs what happened to a request, a job or an item."""

from __future__ import annotations

import dataclasses
import pathlib
import re
from collections import abc

from endivevane import exceptions

# Fields of a line that name a request, a batch job or an item.
_SUBJECTS = ("request", "job", "item")
# Fields that name targets, one or several separated by commas.
_TARGETS = ("target", "targets", "refused_by")
# Lines on a target that say what became of it.
_TARGET_EVENTS = frozenset(("target_dropped", "target_changed", "target_registered"))
# What happened to a target counts this long before the first line on the subject.
_BEFORE_S = 5.0
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class UnreadableLog(exceptions.EndivevaneError):
    """A log file can't be read.

    :param file: the file
    :param cause: why
    """

    def __init__(self, file: str, cause: str) -> None:
        super().__init__()
        self.file = file
        self.cause = cause

    def format_message(self) -> str:
        """Return the file, the cause and what to do next."""
        return f"{self.file}: {self.cause}; name files with the daemons' output"


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a daemon's log.

    :param time_s: Unix time of the line
    :param source: file that it is from
    :param fields: its other keys and values, the event among them
    """

    time_s: float
    source: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What the line reports."""
        return self.fields.get("event", "")


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a line of key=value pairs, ``None`` if it has no time or no event.

    What stands before the first pair, such as a prefix of a log collector, is skipped.
    """
    fields = {
        name: value.strip('"') if value.startswith('"') else value
        for name, value in _FIELD.findall(text)
    }
    try:
        time_s = float(fields.pop("ts"))
    except (KeyError, ValueError):
        # Not a line of ours; collectors mix in lines of other programs.
        return None
    return LogLine(time_s, source, fields) if "event" in fields else None


def search(paths: abc.Sequence[pathlib.Path], subject: str) -> list[LogLine]:
    """Return the lines on a subject, and what became of the targets that they name.

    :param subject: id of a request, a job or an item
    :raises UnreadableLog: when a file can't be read
    """
    named: list[LogLine] = []
    on_targets: list[LogLine] = []
    for path in paths:
        for line in _read(path):
            if any(line.fields.get(name) == subject for name in _SUBJECTS):
                named.append(line)
            elif line.event in _TARGET_EVENTS:
                on_targets.append(line)
    if not named:
        return []
    targets = {target for line in named for target in _list_targets(line)}
    first_s = min(line.time_s for line in named) - _BEFORE_S
    last_s = max(line.time_s for line in named)
    seen = [
        line
        for line in on_targets
        if line.fields.get("target") in targets and first_s <= line.time_s <= last_s
    ]
    return sorted([*named, *_join_alike(seen)], key=lambda line: line.time_s)


def _join_alike(lines: abc.Iterable[LogLine]) -> list[LogLine]:
    """Return the first of the lines that several daemons wrote, with their number."""
    alike: dict[tuple[tuple[str, str], ...], list[LogLine]] = {}
    for line in lines:
        alike.setdefault(tuple(sorted(line.fields.items())), []).append(line)
    joined = []
    for group in alike.values():
        first = min(group, key=lambda line: line.time_s)
        fields = {**first.fields, "daemons": str(len(group))}
        joined.append(dataclasses.replace(first, fields=fields))
    return joined


def _list_targets(line: LogLine) -> set[str]:
    names = ",".join(line.fields.get(name, "") for name in _TARGETS).split(",")
    return {name for name in names if name}


def _read(path: pathlib.Path) -> abc.Iterator[LogLine]:
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse_line(text, path.name)
                if line is not None:
                    yield line
    except OSError as error:
        raise UnreadableLog(str(path), error.strerror or repr(error)) from error
