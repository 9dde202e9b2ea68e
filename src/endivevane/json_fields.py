"""Checks of the fields of rows and messages that daemons write for each other.

Other writers share the tables and the ports, so that a field may hold any JSON value.
Each function returns the value, or raises ``ValueError`` without repeating it.
"""

from __future__ import annotations

import ipaddress
import math
import typing

# Above any text that fits into a datagram or a row.
_MAX_TEXT_CHARACTERS = 65_536
# Integers up to this one are exact in JSON numbers and in floats.
MAX_COUNT = (1 << 53) - 1
_MAX_DURATION_S = 10 * 365 * 86_400.0
_MAX_PORT = 65_535


def read_text(value: typing.Any, max_characters: int = _MAX_TEXT_CHARACTERS) -> str:
    """Return a text, which may be empty."""
    if not isinstance(value, str):
        raise ValueError(f"{type(value).__name__} instead of a text")
    if len(value) > max_characters:
        raise ValueError(f"text of {len(value)} characters")
    return value


def read_texts(value: typing.Any) -> tuple[str, ...]:
    """Return a list of texts."""
    return tuple(read_text(item) for item in read_list(value))


def read_integer(value: typing.Any, minimum: int, maximum: int = MAX_COUNT) -> int:
    """Return an integer within a range."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{type(value).__name__} instead of an integer")
    if not minimum <= value <= maximum:
        raise ValueError("integer out of range")
    return value


def read_count(value: typing.Any, maximum: int = MAX_COUNT) -> int:
    """Return an integer of at least zero."""
    return read_integer(value, 0, maximum)


def read_number(value: typing.Any, minimum: float, maximum: float) -> float:
    """Return a finite number within a range."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{type(value).__name__} instead of a number")
    if not math.isfinite(value) or not minimum <= value <= maximum:
        raise ValueError("number out of range")
    return float(value)


def read_time_left_s(value: typing.Any) -> float:
    """Return a time in seconds, which is negative once it is over."""
    return read_number(value, -_MAX_DURATION_S, _MAX_DURATION_S)


def read_age_s(value: typing.Any) -> float:
    """Return an age in seconds; the rounding of a new one may be negative."""
    return max(0.0, read_time_left_s(value))


def read_flag(value: typing.Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise ValueError(f"{type(value).__name__} instead of a truth value")
    return value


def read_list(value: typing.Any) -> list[typing.Any]:
    """Return a list."""
    if not isinstance(value, list):
        raise ValueError(f"{type(value).__name__} instead of a list")
    return value


def read_object(value: typing.Any) -> dict[str, typing.Any]:
    """Return an object with its fields."""
    if not isinstance(value, dict):
        raise ValueError(f"{type(value).__name__} instead of an object")
    return value


def read_port(value: typing.Any) -> int:
    """Return a port."""
    return read_integer(value, 1, _MAX_PORT)


def read_ip(value: typing.Any) -> str:
    """Return an IP address; there are no name lookups."""
    text = read_text(value)
    ipaddress.ip_address(text)
    return text
