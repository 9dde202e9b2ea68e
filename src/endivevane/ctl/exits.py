"""Exit codes of the command."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """Exit status of the command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_CONFIRMED = 6
