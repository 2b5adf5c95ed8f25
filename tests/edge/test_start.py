"""The start of edge daemons as processes."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from edge_cluster import Daemon, EdgeCluster


def blocks_reload_signal(daemon: Daemon) -> bool:
    assert daemon.popen is not None
    status = Path(f"/proc/{daemon.popen.pid}/status").read_text()
    blocked = next(line for line in status.splitlines() if line.startswith("SigBlk:"))
    return bool(int(blocked.split()[1], 16) & 1 << signal.SIGHUP - 1)


def test_edge_survives_a_reload_signal_before_it_can_handle_it() -> None:
    """Guards against the end of a process by SIGHUP in the first milliseconds of its start.

    The default of the signal is to end the process. Most of the time until there is a handler passes
    before main().
    """
    with EdgeCluster(daemons=1, runners=1, models=1) as cluster:
        daemon = cluster.daemons[0]
        for _ in range(5):
            daemon.kill()
            reloads = daemon.log.read_text().count('"event":"reload"')
            daemon.start()
            end = time.monotonic() + 5
            while not blocks_reload_signal(daemon):
                assert time.monotonic() < end, "SIGHUP is not blocked during the start"
            daemon.signal(signal.SIGHUP)
            cluster.wait_until(daemon.is_ready, "readiness")
            cluster.wait_until(
                lambda: daemon.log.read_text().count('"event":"reload"') == reloads + 1, "the reload")
            assert daemon.popen is not None and daemon.popen.poll() is None
