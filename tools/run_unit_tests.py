"""Runs the unit tests, those of each source file in a process of its own, several at once.

Usage: run_unit_tests.py BINARY PROCESSES. Prints the output of the processes that fail and a line for
all test cases. Exits with 1 if a test case has failed or not all were run.
"""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

LONGEST_FIRST = ("request_limit_test.cpp", "overload_test.cpp", "matrix_test.cpp")
COUNT = re.compile(r"unskipped test cases passing the current filters: (\d+)")
SUMMARY = re.compile(r"test cases: +(\d+) \| +(\d+) passed \| +(\d+) failed")


def main() -> int:
    binary, process_count = sys.argv[1], int(sys.argv[2])
    counted = subprocess.run([binary, "--count"], text=True, check=True, capture_output=True).stdout
    expected = int(COUNT.findall(counted)[0])
    files = sorted(Path("tests").glob("**/*.cpp"),
                   key=lambda file: (file.name not in LONGEST_FIRST, file))

    def run(file: Path) -> tuple[int, int]:
        """Returns how many test cases of the file passed and failed; one if the process ended early."""
        result = subprocess.run([binary, f"--source-file=*/{file}"], text=True, errors="replace",
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        summary = SUMMARY.findall(result.stdout)
        passed, failed = map(int, summary[0][1:]) if summary else (0, 0)
        if result.returncode != 0:
            print(f"{file}, exit status {result.returncode}:\n{result.stdout}", flush=True)
            failed = max(failed, 1)
        return passed, failed

    with ThreadPoolExecutor(process_count) as pool:
        results = list(pool.map(run, files))
    passed, failed = (sum(counts) for counts in zip(*results))
    missing = max(expected - passed - failed, 0)
    print(f"unit tests: {passed} passed, {failed + missing} failed")
    if missing:
        print(f"{missing} of {expected} test cases were not run")
    return 1 if failed or missing else 0


if __name__ == "__main__":
    sys.exit(main())
