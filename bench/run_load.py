"""Starts a deployment on loopback, runs a load scenario, and counts the loads of the runners."""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "python"), str(ROOT / "demo")]

from examples import lanna_wings, nominas  # noqa: E402
from local_cluster import Cluster  # noqa: E402

DEPLOYMENTS = {"nominas": (nominas, "language"), "lanna_wings": (lanna_wings, "assistant")}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=DEPLOYMENTS)
    parser.add_argument("scenario")
    parser.add_argument("--daemons", type=int, default=8)
    parser.add_argument("--runners", type=int, default=9)
    parser.add_argument("--out", default="")
    parser.add_argument("--token-ms", type=int, default=20)
    options = parser.parse_args()
    module, service = DEPLOYMENTS[options.deployment]
    with Cluster() as cluster:
        cluster.start_platform()
        for number in range(options.runners):
            cluster.start_endpoint(
                f"runner-{number}", "engine", service, "abc"[number % 3],
                "--token-ms", str(options.token_ms),
            )
        daemons = [
            cluster.start_daemon(f"daemon-{n}", "abc"[n % 3], caller_threads=512,
                                 attempt_threads=128)
            for n in range(options.daemons)
        ]
        if cluster.apply_configuration(daemons[0], module.build().to_yaml(), 0).status != 200:
            return 1
        cluster.wait_ready(*daemons)
        command = [str(ROOT / "build" / "rhubarbtrail"), "load", "--scenario", options.scenario]
        for daemon in daemons:
            command += ["--daemon", daemon.addresses["caller"]]
        if options.out:
            command += ["--out", options.out]
        status = subprocess.run(command, stderr=subprocess.DEVNULL).returncode
        loads = [
            entry
            for name, process in cluster.processes.items()
            if name.startswith("runner")
            for entry in cluster.journal(process)
            if entry["what"] == "load"
        ]
        print(f"loads: {len(loads)}")
        return status


if __name__ == "__main__":
    sys.exit(main())
