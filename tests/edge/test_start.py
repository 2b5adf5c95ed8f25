"""The start of edge daemons as processes."""

from __future__ import annotations

import errno
import os
import signal
import time
from pathlib import Path

from edge_cluster import EdgeCluster


def open_for_reader(pipe: Path, timeout_s: float = 10.0) -> int:
    """Waits until a process opens the named pipe to read it, and returns a descriptor to write to."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > end:
                raise
        time.sleep(0.005)


def test_edge_survives_a_reload_signal_before_it_can_handle_it() -> None:
    """Guards against the end of a process by SIGHUP during its start.

    The default of the signal is to end the process. The settings are a named pipe first, so the process
    waits for them while the signal comes, before it has a handler.
    """
    with EdgeCluster(daemons=1, runners=1, models=1) as cluster:
        daemon = cluster.daemons[0]
        text = daemon.settings.read_text()
        for _ in range(3):
            daemon.kill()
            reloads = daemon.log.read_text().count('"event":"reload"')
            daemon.settings.unlink()
            os.mkfifo(daemon.settings)
            daemon.start()
            pipe = open_for_reader(daemon.settings)
            daemon.signal(signal.SIGHUP)
            time.sleep(0.1)
            assert daemon.popen is not None and daemon.popen.poll() is None, daemon.popen
            settings = daemon.settings.with_suffix(".new")
            settings.write_text(text)
            settings.replace(daemon.settings)
            os.write(pipe, text.encode())
            os.close(pipe)
            cluster.wait_until(daemon.is_ready, "readiness")
            cluster.wait_until(
                lambda: daemon.log.read_text().count('"event":"reload"') == reloads + 1, "the reload")
