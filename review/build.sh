#!/bin/sh
# Builds every stand-in that the cases start, this project's own included, after the build of the
# deploy file. All are Python programs, so their sources are compiled as a check, and the libraries
# that they import have to be there.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps
python3 - <<'CHECK'
import ast
import pathlib
import sys

for folder in ("review", "comfreyhitch/testing"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        ast.parse(path.read_text(), str(path))
import comfreyhitch.platform.startup
import comfreyhitch.testing.platform
import review.standins.case
import review.standins.odd_store

sys.exit(0)
CHECK
