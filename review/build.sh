#!/usr/bin/env bash
# Builds what the scripts start besides the daemons: the stand-ins are Python with the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -B - *.py */*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PY
[ -d ../target/deps ] || echo "run the build of deploy/system.toml first" >&2
