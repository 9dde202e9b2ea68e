"""Structured logging: one line of ``key=value`` pairs per event."""

from __future__ import annotations

import logging as std_logging
import sys
from collections import abc

from absl import flags, logging

_NEEDS_QUOTES = frozenset(' "=\n\t')

Observer = abc.Callable[[str, abc.Mapping[str, object]], None]
_observers: list[Observer] = []


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
        observer(event, fields)


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


def configure(level: str) -> None:
    """Send log lines to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    """
    # The daemon parses its arguments with argparse; without this absl warns that its
    # flags are not parsed and ignores the handler's stream.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(_LineFormatter())
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Waitress logs each queued request as a warning, which would drown the events.
    std_logging.getLogger("waitress.queue").setLevel(std_logging.ERROR)
