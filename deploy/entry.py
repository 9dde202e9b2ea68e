"""Runs the daemon from a checkout whose libraries the build has installed."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from endivevane.entry import start

sys.exit(start.main())
