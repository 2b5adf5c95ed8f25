"""Measures a daemon on loopback: added latency, requests per second, memory of a connection."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "demo"), str(ROOT / "python"), str(ROOT / "tests" / "process")]

from fixture import chat, start_cluster  # noqa: E402
from local_cluster import Cluster, Process  # noqa: E402

CONNECTIONS = 200


def resident_kb(process: Process) -> int:
    with open(f"/proc/{process.popen.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4


def measure(daemon: Process, *options: str) -> dict:
    command = [str(ROOT / "build" / "latency"), "--daemon", daemon.addresses["caller"],
               "--key", "families-key", *options]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def main() -> None:
    with Cluster() as cluster:
        daemon = start_cluster(cluster, runners=1, daemons=1, concurrency=64, caller_threads=512,
                               runner_options=("--token-ms", "0", "--slots", "64"))[0]
        assert chat(daemon).status == 200
        runner = cluster.processes["runner-0"]
        paths = measure(daemon, "--direct", runner.address)
        print("path    count  failed  p50 us  p90 us  p99 us  max us")
        for name, row in paths.items():
            print(f"{name:<7} {row['count']:5} {row['failures']:7} " + " ".join(
                f"{row[quantile]:7.0f}" for quantile in ("p50_us", "p90_us", "p99_us", "max_us")))
        for quantile in ("p50_us", "p99_us"):
            print(f"added {quantile}: {paths['daemon'][quantile] - paths['direct'][quantile]:.0f}")
        saturated = measure(daemon, "--rate", "0", "--seconds", "5", "--threads", "32")["daemon"]
        print(f"requests a second, 32 connections: {saturated['count'] / 5:.0f}, "
              f"{saturated['failures']} failed")
        before = resident_kb(daemon)
        idle = [socket.create_connection(daemon.addresses["caller"].split(":"))
                for _ in range(CONNECTIONS)]
        for connection in idle:
            connection.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
            connection.recv(65_536)
        print(f"memory of an open connection: {(resident_kb(daemon) - before) / CONNECTIONS:.1f} kB")


if __name__ == "__main__":
    main()
