"""List the names that leave the process, and compare them with the committed list.

Names are read from the syntax trees of ``src``: log events and their keys, metrics
and their labels, command-line arguments, fields that are read or written under their
own names, and all texts without a space (keys, headers, paths, values, file names).
"""

from __future__ import annotations

import argparse
import ast
import collections
import pathlib
import re
import sys
import typing
from collections import abc

_ROOT = pathlib.Path(__file__).resolve().parent.parent
LIST_PATH = _ROOT / "docs" / "outer-names.txt"
_TITLE = (
    "# Names that leave the process. Renaming one breaks clients, peers or stored data."
)
_LOG_CALLS = frozenset(("info", "limited_info", "warning", "error", "format_event"))
_METRIC_TYPES = frozenset(("Counter", "Gauge", "Histogram"))
# Data classes that are stored or printed under the names of their fields.
_ENCODED_MODULES = frozenset(
    ("endivevane/batch/records.py", "endivevane/entry/inspection.py")
)
_ENCODED_CLASSES = frozenset(("Job", "LogLine"))
_NAME = re.compile(r"-{0,2}[A-Za-z_/.][\w./:-]{0,60}")

Names = dict[str, set[str]]


def collect(source: pathlib.Path) -> Names:
    """Return the names of all modules below a folder, by kind."""
    trees = {
        path.relative_to(source).as_posix(): ast.parse(path.read_text(encoding="utf-8"))
        for path in sorted(source.rglob("*.py"))
    }
    models = _find_models(trees.values())
    names: Names = collections.defaultdict(set)
    for path, tree in trees.items():
        skipped = _find_skipped(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Call):
                _add_call(names, node)
            elif isinstance(node, ast.ClassDef):
                if node.name in models or _is_encoded(path, node):
                    names["fields"].update(_list_fields(node))
            elif id(node) not in skipped:
                _add_text(names["texts"], node)
    for kind in names:
        if kind != "texts":
            names["texts"] -= names[kind]
    return names


def read_list(path: pathlib.Path) -> Names:
    """Return the names of a committed list, by kind."""
    names: Names = collections.defaultdict(set)
    kind = ""
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("## "):
            kind = line[3:]
        elif line and not line.startswith("#"):
            names[kind].add(line)
    return names


def write_list(path: pathlib.Path, names: Names) -> None:
    """Write a list with a heading for each kind."""
    lines = [_TITLE]
    for kind in sorted(names):
        lines += ["", f"## {kind}", *sorted(names[kind])]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def compare(listed: Names, found: Names) -> list[str]:
    """Return a line for each name that only one side has."""
    lines = []
    for kind in sorted(listed.keys() | found.keys()):
        gone = sorted(listed.get(kind, set()) - found.get(kind, set()))
        new = sorted(found.get(kind, set()) - listed.get(kind, set()))
        lines += [f"{kind}: {name} is listed and not in the code" for name in gone]
        lines += [f"{kind}: {name} is in the code and not listed" for name in new]
    return lines


def main() -> int:
    """Compare the list with the code; 0 when they agree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="write the list anew")
    arguments = parser.parse_args()
    found = collect(_ROOT / "src")
    if arguments.write:
        write_list(LIST_PATH, found)
        return 0
    lines = compare(read_list(LIST_PATH), found)
    print("\n".join(lines) or "the list and the code agree")
    return 1 if lines else 0


def _find_models(trees: abc.Iterable[ast.Module]) -> set[str]:
    """Return the names of the classes that pydantic validates."""
    bases = {
        node.name: {ast.unparse(base).rpartition(".")[2] for base in node.bases}
        for tree in trees
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef)
    }
    models = {"BaseModel"}
    while True:
        found = {name for name, parents in bases.items() if parents & models}
        if found <= models:
            return models
        models |= found


def _is_encoded(path: str, node: ast.ClassDef) -> bool:
    """Return whether a class is written under the names of its fields."""
    return path in _ENCODED_MODULES or node.name in _ENCODED_CLASSES


def _list_fields(node: ast.ClassDef) -> list[str]:
    return [
        line.target.id
        for line in node.body
        if isinstance(line, ast.AnnAssign) and isinstance(line.target, ast.Name)
    ]


def _add_call(names: Names, node: ast.Call) -> None:
    """Add what a call logs, measures or takes from the command line."""
    called = ast.unparse(node.func)
    owner, _, name = called.rpartition(".")
    texts = [_read_text(item) for item in node.args]
    first = texts[0] if texts else None
    if (owner == "logs" or not owner) and name in _LOG_CALLS:
        names["log events"].update([first] if first else [])
        keys = {item.arg for item in node.keywords if item.arg}
        names["log keys"].update(keys)
    elif owner == "prometheus_client" and name in _METRIC_TYPES and first:
        names["metrics"].add(first)
        names["metric labels"].update(_read_labels(node))
    elif name == "add_argument":
        names["arguments"].update(text for text in texts if text)


def _read_labels(node: ast.Call) -> list[str]:
    labels = next((item for item in node.args if isinstance(item, ast.List)), None)
    texts = [_read_text(item) for item in labels.elts] if labels else []
    return [text for text in texts if text]


def _read_text(node: ast.AST) -> str | None:
    if not isinstance(node, ast.Constant):
        return None
    value: typing.Any = node.value
    if isinstance(value, bytes):
        return value.decode("latin-1")
    return value if isinstance(value, str) else None


def _add_text(texts: set[str], node: ast.AST) -> None:
    text = _read_text(node)
    if text and _NAME.fullmatch(text) and not text.startswith("_"):
        texts.add(text)


def _find_skipped(tree: ast.Module) -> set[int]:
    """Return the constants that are docstrings, annotations or parts of types."""
    skipped: set[int] = set()
    for node in ast.walk(tree):
        parts: list[ast.AST | None] = []
        if isinstance(node, ast.Expr):
            parts = [node.value]
        elif isinstance(node, ast.arg | ast.AnnAssign):
            parts = [node.annotation]
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            parts = [node.returns]
        elif isinstance(node, ast.Call) and ast.unparse(node.func) in _TYPE_CALLS:
            parts = list(node.args[:1])
        elif isinstance(node, ast.JoinedStr):
            parts = list(node.values)
        for part in parts:
            if isinstance(part, ast.Constant):
                skipped.add(id(part))
    return skipped


_TYPE_CALLS = frozenset(("typing.cast", "typing.TypeVar"))


if __name__ == "__main__":
    sys.exit(main())
