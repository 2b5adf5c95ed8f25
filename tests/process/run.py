"""Runs the process tests and prints a closing line that CI reads.

Runs the tests that are named on the command line, or all test functions of tests/process and
tests/edge. A test that KNOWN-RED.txt lists may fail; the closing line counts it as skipped. Tests of
a module with RUNS_ALONE run one at a time, after all others.
"""

from __future__ import annotations

import importlib
import sys
import time
import traceback
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Callable

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
TESTS_AT_ONCE = 6  # They wait most of the time.
EDGE = HERE.parent / "edge"
sys.path[:0] = [str(HERE), str(EDGE), str(ROOT / "demo"), str(ROOT / "python")]


def known_red() -> set[str]:
    """Returns the first word of each line of KNOWN-RED.txt that is not indented and no comment."""
    file = ROOT / "KNOWN-RED.txt"
    if not file.exists():
        return set()
    lines = [line for line in file.read_text().splitlines() if line and not line.startswith("#")]
    return {line.split()[0] for line in lines if not line.startswith(" ")}


def select_tests(wanted: list[str]) -> list[tuple[str, Callable[[], None]]]:
    """Returns the names and functions of the wanted tests; of all tests when wanted is empty."""
    found = []
    for path in sorted([*HERE.glob("test_*.py"), *EDGE.glob("test_*.py")]):
        for name, function in sorted(vars(importlib.import_module(path.stem)).items()):
            if name.startswith("test_") and (not wanted or name in wanted):
                found.append((name, function))
    return found


def runs_alone(function: Callable[[], None]) -> bool:
    return getattr(sys.modules[function.__module__], "RUNS_ALONE", False)


def run(name: str, function: Callable[[], None], known_red_names: set[str]) -> str:
    """Runs one test, prints its outcome and returns it."""
    started = time.monotonic()
    outcome = "passed"
    try:
        function()
    except Exception:  # noqa: BLE001 - a test may fail in any way
        outcome = "KNOWN RED" if name in known_red_names else "FAILED"
        print(f"{name}:\n{traceback.format_exc()}", flush=True)
    print(f"{outcome:<10} {name} ({time.monotonic() - started:.1f} s)", flush=True)
    return outcome


def main() -> int:
    known_red_names = known_red()
    tests = select_tests(sys.argv[1:])
    alone = [test for test in tests if runs_alone(test[1])]
    beside_others = [test for test in tests if not runs_alone(test[1])]
    with ThreadPoolExecutor(TESTS_AT_ONCE) as pool:
        outcomes = list(pool.map(lambda test: run(*test, known_red_names), beside_others))
    outcomes += [run(*test, known_red_names) for test in alone]
    failed = outcomes.count("FAILED")
    print(f"process tests: {outcomes.count('passed')} passed, {failed} failed, "
          f"{outcomes.count('KNOWN RED')} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
