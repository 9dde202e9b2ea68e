#!/bin/sh
# Builds the stand-ins of the cases from 11 on: they are Python without any library.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
import pathlib

for path in sorted(pathlib.Path("review").glob("world3.py")):
    ast.parse(path.read_text(), str(path))
for number in range(11, 16):
    for path in sorted(pathlib.Path(f"review/{number}").glob("*.py")):
        ast.parse(path.read_text(), str(path))
END
echo "stand-ins of the third review: built"
