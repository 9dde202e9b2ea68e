"""Structured logging: one line of ``key=value`` pairs per event."""

from __future__ import annotations

import logging as std_logging
import os
import sys
import time
from collections import abc

from absl import flags, logging

_QUOTED_CHARACTERS = frozenset(' "=\n\t')

Observer = abc.Callable[[str, abc.Mapping[str, object]], None]
_observers: list[Observer] = []
# Rate limit of each event: sustained lines per second and maximum burst.
_LINES_PER_S = 40.0
_MAX_BURST_LINES = 120.0


class _RateLimiter:
    """Token bucket per event that limits the rate of its log lines."""

    def __init__(self) -> None:
        # Event -> (tokens, time of the last refill, number of suppressed lines).
        self._buckets: dict[str, tuple[float, float, int]] = {}

    def admit(self, event: str) -> int | None:
        """Return the lines suppressed before this one, ``None`` to suppress it."""
        now_s = time.monotonic()
        full_bucket = (_MAX_BURST_LINES, now_s, 0)
        tokens, refilled_s, left_out = self._buckets.get(event, full_bucket)
        tokens = min(_MAX_BURST_LINES, tokens + (now_s - refilled_s) * _LINES_PER_S)
        if tokens < 1.0:
            self._buckets[event] = (tokens, now_s, left_out + 1)
            return None
        self._buckets[event] = (tokens - 1.0, now_s, 0)
        return left_out


_rate_limiter = _RateLimiter()


class NonBlockingStream:
    """Writes lines to a file descriptor and drops those that would block.

    :ivar dropped: number of lines dropped
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line; on failure, count it as dropped."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, as writes are not buffered."""

    def close(self) -> None:
        """Do nothing, as the file descriptor belongs to the process."""


def add_observer(observer: Observer) -> None:
    """Register a function to call with the name and the fields of every event.

    :param observer: must return quickly and be thread-safe
    """
    _observers.append(observer)


def format_event(event: str, **fields: object) -> str:
    """Return ``event=NAME key=value ...`` with quotes where needed.

    :param event: name of the event in snake case
    :param fields: values; ``None`` values are omitted
    """
    parts = [f"event={event}"]
    for key, value in fields.items():
        if value is None:
            continue
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or _QUOTED_CHARACTERS.intersection(text):
            escaped = text.replace("\\", "\\\\").replace('"', '\\"')
            text = '"' + escaped.replace("\n", "\\n") + '"'
        parts.append(f"{key}={text}")
    return " ".join(parts)


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _notify(event, fields)
    logging.info("%s", format_event(event, **fields))


def limited_info(event: str, **fields: object) -> None:
    """Log a frequent event; lines above the rate limit are only counted."""
    left_out = _rate_limiter.admit(event)
    if left_out is None:
        return
    info(event, **fields, left_out=left_out or None)


def warning(event: str, **fields: object) -> None:
    """Log an event that may need an operator's attention."""
    _notify(event, fields)
    logging.warning("%s", format_event(event, **fields))


def error(event: str, **fields: object) -> None:
    """Log a failure that requires an operator to act."""
    _notify(event, fields)
    logging.error("%s", format_event(event, **fields))


def _notify(event: str, fields: abc.Mapping[str, object]) -> None:
    for observer in _observers:
        try:
            observer(event, fields)
        except Exception as error:
            # An exception in an observer must not reach the caller or stop the logging.
            text = format_event("log_observer_fault", observed=event, cause=repr(error))
            logging.error("%s", text)


class _LineFormatter(std_logging.Formatter):
    """Formats a record as ``ts=... level=... event=...``."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the log line of a record."""
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_event("log", logger=record.name, text=message)
        line = f"ts={record.created:.3f} level={record.levelname.lower()} {message}"
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            line += " " + format_event("traceback", text=trace).split(" ", 1)[1]
        return line


def configure(level: str, stream: NonBlockingStream | None = None) -> None:
    """Configure the log level, the line format and the output stream.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    :param stream: output stream, standard error by default
    """
    # The daemon parses its arguments with argparse. Unless absl's flags are marked as
    # parsed, absl logs a warning and ignores the handler's stream.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_LineFormatter())
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Waitress logs a warning for each queued request, which would flood the log.
    std_logging.getLogger("waitress.queue").setLevel(std_logging.ERROR)


def set_level(level: str) -> None:
    """Change the log level.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    """
    logging.set_verbosity(level)
