"""Structured logging: one line of ``key=value`` pairs per event."""

from __future__ import annotations

import logging as std_logging
import os
import sys
import time
from collections import abc

from absl import flags, logging

_NEEDS_QUOTES = frozenset(' "=\n\t')

Observer = abc.Callable[[str, abc.Mapping[str, object]], None]
_observers: list[Observer] = []
# Lines a second of one event, and how many may come at once.
_LINES_PER_S = 40.0
_LINES_AT_ONCE = 120.0


class _Limiter:
    """Admits a bounded number of lines a second for each event."""

    def __init__(self) -> None:
        # Event -> (lines that may come now, time of the last look, lines left out).
        self._states: dict[str, tuple[float, float, int]] = {}

    def admit(self, event: str) -> int | None:
        """Return the lines left out before this one, ``None`` if it is left out."""
        now_s = time.monotonic()
        start = (_LINES_AT_ONCE, now_s, 0)
        lines, seen_s, left_out = self._states.get(event, start)
        lines = min(_LINES_AT_ONCE, lines + (now_s - seen_s) * _LINES_PER_S)
        if lines < 1.0:
            self._states[event] = (lines, now_s, left_out + 1)
            return None
        self._states[event] = (lines - 1.0, now_s, 0)
        return left_out


_limiter = _Limiter()


class NonBlockingStream:
    """Writes lines to a descriptor and drops those that would have to wait.

    :ivar dropped: number of lines dropped
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as nothing is kept back."""

    def close(self) -> None:
        """Do nothing, as the descriptor belongs to the process."""


def add_observer(observer: Observer) -> None:
    """Call a function with the name and the fields of every event.

    :param observer: must return fast and must be thread-safe
    """
    _observers.append(observer)


def format_event(event: str, **fields: object) -> str:
    """Return ``event=NAME key=value ...`` with quotes where needed.

    :param event: name of the event in snake case
    :param fields: values; ``None`` values are left out
    """
    parts = [f"event={event}"]
    for key, value in fields.items():
        if value is None:
            continue
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or _NEEDS_QUOTES.intersection(text):
            escaped = text.replace("\\", "\\\\").replace('"', '\\"')
            text = '"' + escaped.replace("\n", "\\n") + '"'
        parts.append(f"{key}={text}")
    return " ".join(parts)


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _notify(event, fields)
    logging.info("%s", format_event(event, **fields))


def limited_info(event: str, **fields: object) -> None:
    """Log an event that may come often; beyond a rate only its count is kept."""
    left_out = _limiter.admit(event)
    if left_out is None:
        return
    info(event, **fields, left_out=left_out or None)


def warning(event: str, **fields: object) -> None:
    """Log an event that an operator may want to know of."""
    _notify(event, fields)
    logging.warning("%s", format_event(event, **fields))


def error(event: str, **fields: object) -> None:
    """Log a failure that needs an operator."""
    _notify(event, fields)
    logging.error("%s", format_event(event, **fields))


def _notify(event: str, fields: abc.Mapping[str, object]) -> None:
    for observer in _observers:
        try:
            observer(event, fields)
        except Exception as error:
            # Observers are code of others; a fault there must not end what is logged.
            text = format_event("log_observer_fault", observed=event, cause=repr(error))
            logging.error("%s", text)


class _LineFormatter(std_logging.Formatter):
    """Formats a record as ``ts=... level=... event=...``."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of one record."""
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_event("log", logger=record.name, text=message)
        line = f"ts={record.created:.3f} level={record.levelname.lower()} {message}"
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            line += " " + format_event("traceback", text=trace).split(" ", 1)[1]
        return line


def configure(level: str, stream: NonBlockingStream | None = None) -> None:
    """Send log lines to a stream.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    :param stream: where the lines go, standard error by default
    """
    # The daemon parses its arguments with argparse; without this absl warns that its
    # flags are not parsed and ignores the handler's stream.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_LineFormatter())
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Waitress logs each queued request as a warning, which would drown the events.
    std_logging.getLogger("waitress.queue").setLevel(std_logging.ERROR)


def set_level(level: str) -> None:
    """Change what is logged.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    """
    logging.set_verbosity(level)
