"""Output of results as tables or JSON."""

from __future__ import annotations

import sys
import typing
from collections import abc

from endivevane import utils


def print_json(value: typing.Any) -> None:
    """Print a value as one line of JSON."""
    sys.stdout.write(utils.encode_json(value).decode() + "\n")


def print_table(
    columns: abc.Sequence[str], rows: abc.Sequence[abc.Mapping[str, typing.Any]]
) -> None:
    """Print rows with aligned columns, the header first.

    :param columns: keys of the rows, in order
    """
    cells = [[column.upper() for column in columns]]
    for row in rows:
        cells.append([_format_cell(row.get(column)) for column in columns])
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    for line in cells:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        sys.stdout.write("  ".join(padded).rstrip() + "\n")


def print_fields(fields: abc.Mapping[str, typing.Any]) -> None:
    """Print one ``key: value`` line per field."""
    width = max((len(key) for key in fields), default=0)
    for key, value in fields.items():
        sys.stdout.write(f"{key.ljust(width)}  {_format_cell(value)}\n")


def print_error(message: str) -> None:
    """Print an error message to standard error."""
    sys.stderr.write(f"error: {message}\n")


def print_note(message: str) -> None:
    """Print a message to standard error, so that piped output stays clean."""
    sys.stderr.write(f"{message}\n")


def _format_cell(value: typing.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return utils.encode_json(value).decode()
    return str(value)
