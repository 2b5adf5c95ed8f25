#!/bin/sh
# Prepares what the scripts of the cases 6 to 10 start beside the product: stand-ins in Python, which
# need no build. Checks that Python can compile them.
set -e
cd "$(dirname "$0")/.."
python3 - <<'END'
import ast
from pathlib import Path

sources = [Path("tests/edge/standin.py"), Path("review/lib-2/rig.py")]
sources += sorted(path for path in Path("review").glob("*/case.py")
                  if path.parent.name in ("6", "7", "8", "9", "10"))
for source in sources:
    ast.parse(source.read_text(), str(source))
END
