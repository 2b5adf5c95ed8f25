"""Runs the tests on real processes, and prints a closing line that CI reads."""

from __future__ import annotations

import importlib
import sys
import time
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path[:0] = [str(HERE), str(ROOT / "demo"), str(ROOT / "python")]


def known_red() -> set[str]:
    """Returns the names that KNOWN-RED.txt lists: the first word of each entry."""
    file = ROOT / "KNOWN-RED.txt"
    if not file.exists():
        return set()
    lines = [line for line in file.read_text().splitlines() if line and not line.startswith("#")]
    return {line.split()[0] for line in lines if not line.startswith(" ")}


def main() -> int:
    wanted = sys.argv[1:]
    red = known_red()
    passed = failed = skipped = 0
    for path in sorted(HERE.glob("test_*.py")):
        module = importlib.import_module(path.stem)
        for name, function in sorted(vars(module).items()):
            if not name.startswith("test_") or (wanted and name not in wanted):
                continue
            started = time.monotonic()
            try:
                function()
                passed += 1
                outcome = "passed"
            except Exception:  # noqa: BLE001 - a test may fail in any way
                traceback.print_exc()
                is_known = name in red
                skipped += is_known
                failed += not is_known
                outcome = "KNOWN RED" if is_known else "FAILED"
            print(f"{outcome:<10} {name} ({time.monotonic() - started:.1f} s)", flush=True)
    print(f"process tests: {passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
