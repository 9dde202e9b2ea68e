"""Search of daemons' logs for the history of a request, a job or an item."""

from __future__ import annotations

import dataclasses
import pathlib
import re
from collections import abc

from endivevane import exceptions

# Fields of a line that identify a request, a batch job or an item.
_SUBJECT_FIELDS = ("request", "job", "item")
# Fields that identify one target or several, separated by commas.
_TARGET_FIELDS = ("target", "targets", "refused_by")
# Events that change the state of a target.
_TARGET_EVENTS = frozenset(("target_dropped", "target_changed", "target_registered"))
# Target events are included from this long before the first line about the subject.
_LOOKBACK_S = 5.0
_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


class UnreadableLog(exceptions.EndivevaneError):
    """A log file can't be read.

    :param file: path of the file
    :param cause: reason why it can't be read
    """

    def __init__(self, file: str, cause: str) -> None:
        super().__init__()
        self.file = file
        self.cause = cause

    def format_message(self) -> str:
        """Return the file, the cause and a remedy."""
        return f"{self.file}: {self.cause}; pass files with the daemons' output"


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a daemon's log.

    :param time_s: Unix time of the line
    :param source: name of the log file
    :param fields: the other keys and values, including the event
    """

    time_s: float
    source: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get("event", "")


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a line of key=value pairs; return ``None`` without a time and an event.

    Text before the first pair, such as the prefix of a log collector, is skipped.
    """
    fields = {
        name: value.strip('"') if value.startswith('"') else value
        for name, value in _FIELD_PATTERN.findall(text)
    }
    try:
        time_s = float(fields.pop("ts"))
    except (KeyError, ValueError):
        # Log collectors mix in lines of other programs.
        return None
    return LogLine(time_s, source, fields) if "event" in fields else None


def search(paths: abc.Sequence[pathlib.Path], subject: str) -> list[LogLine]:
    """Return the lines about a subject and events of the targets that they name.

    :param subject: id of a request, a job or an item
    :raises UnreadableLog: when a file can't be read
    """
    matching: list[LogLine] = []
    target_lines: list[LogLine] = []
    for path in paths:
        for line in _read(path):
            if any(line.fields.get(name) == subject for name in _SUBJECT_FIELDS):
                matching.append(line)
            elif line.event in _TARGET_EVENTS:
                target_lines.append(line)
    if not matching:
        return []
    targets = {target for line in matching for target in _list_targets(line)}
    first_s = min(line.time_s for line in matching) - _LOOKBACK_S
    last_s = max(line.time_s for line in matching)
    relevant = [
        line
        for line in target_lines
        if line.fields.get("target") in targets and first_s <= line.time_s <= last_s
    ]
    return sorted(
        [*matching, *_merge_duplicates(relevant)], key=lambda line: line.time_s
    )


def _merge_duplicates(lines: abc.Iterable[LogLine]) -> list[LogLine]:
    """Merge lines that several daemons wrote into the first, with their number."""
    groups: dict[tuple[tuple[str, str], ...], list[LogLine]] = {}
    for line in lines:
        groups.setdefault(tuple(sorted(line.fields.items())), []).append(line)
    merged = []
    for group in groups.values():
        first = min(group, key=lambda line: line.time_s)
        fields = {**first.fields, "daemons": str(len(group))}
        merged.append(dataclasses.replace(first, fields=fields))
    return merged


def _list_targets(line: LogLine) -> set[str]:
    names = ",".join(line.fields.get(name, "") for name in _TARGET_FIELDS).split(",")
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
