"""Runs clang-tidy on the given files, except those that passed and have not changed since."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


def digest(source: str, shared: bytes) -> str:
    """Returns a hash of a source, the headers it includes, the rules and the linter version."""
    dependency_rule = subprocess.run(
        ["g++", "-std=c++20", "-Isrc", "-I.", "-MM", source],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    files = dependency_rule.split(":", 1)[1].replace("\\\n", " ").split()
    return hashlib.sha256(shared + b"".join(Path(file).read_bytes() for file in files)).hexdigest()


def main() -> int:
    build, jobs, names = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3:]
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    shared = version + Path(".clang-tidy").read_bytes() + Path("CMakeLists.txt").read_bytes()
    passed_dir = Path(os.environ.get("LINT_CACHE", build / "lint"))
    passed_dir.mkdir(parents=True, exist_ok=True)

    def lint(name: str) -> bool:
        passed_mark = passed_dir / digest(name, shared)
        if passed_mark.exists():
            return True
        result = subprocess.run(
            ["clang-tidy", "--quiet", "-p", str(build), name], capture_output=True, text=True
        )
        if result.returncode == 0:
            passed_mark.touch()
            return True
        print(result.stdout, flush=True)
        return False

    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lint, names))
    print(f"lint: {sum(results)} of {len(results)} files are clean")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
