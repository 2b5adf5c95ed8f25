#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python of the standard library, so nothing
# has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 - <<'PY'
import ast
from pathlib import Path

for path in [Path("tests/edge/standin.py"), *Path("review").glob("**/*.py")]:
    ast.parse(path.read_text(), str(path))
PY
