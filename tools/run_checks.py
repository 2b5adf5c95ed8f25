"""Runs the parts of `make test` and prints what each took.

The arguments are stages, one after the other; a stage is a list of targets of the Makefile, separated
by commas, that run side by side. Each part runs also when another one has failed, so that one run
reports all failures. Exits with 1 if a part has failed.
"""

from __future__ import annotations

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor


def run(target: str) -> tuple[str, float, int]:
    """Makes a target. Its output is printed in one piece when it has ended."""
    started = time.monotonic()
    result = subprocess.run(["make", "--no-print-directory", target], text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
    took_s = time.monotonic() - started
    print(f"=== {target} ({took_s:.0f} s)\n{result.stdout}", flush=True)
    return target, took_s, result.returncode


def main() -> int:
    parts = []
    for stage in sys.argv[1:]:
        targets = stage.split(",")
        with ThreadPoolExecutor(len(targets)) as pool:
            parts += pool.map(run, targets)
    for target, took_s, status in parts:
        print(f"{'passed' if status == 0 else 'FAILED':<7} {target:<14} {took_s:6.0f} s")
    failed = sum(status != 0 for _, _, status in parts)
    print(f"checks: {len(parts) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
