"""Renders dictionaries as TOML."""

from __future__ import annotations

import json
import typing
from collections import abc


def render(data: abc.Mapping[str, typing.Any], path: str = "") -> str:
    """Return a dictionary as TOML text; lists of dictionaries become ``[[tables]]``."""
    lines = []
    nested = []
    for key, value in data.items():
        full_path = f"{path}.{key}" if path else key
        if value is None:
            continue
        if isinstance(value, abc.Mapping):
            nested.append(f"\n[{full_path}]\n{render(value, full_path)}")
        elif _is_table_list(value):
            nested.extend(
                f"\n[[{full_path}]]\n{render(item, full_path)}" for item in value
            )
        else:
            lines.append(f"{key} = {_render_value(value)}\n")
    return "".join(lines) + "".join(nested)


def _is_table_list(value: typing.Any) -> bool:
    return (
        isinstance(value, abc.Sequence)
        and not isinstance(value, str)
        and len(value) > 0
        and isinstance(value[0], abc.Mapping)
    )


def _render_value(value: typing.Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        # JSON strings are TOML basic strings.
        return json.dumps(value)
    return "[" + ", ".join(_render_value(item) for item in value) + "]"
