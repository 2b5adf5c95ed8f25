"""Endpoints that refuse a request with 503 and Retry-After, on edge daemons as processes.

Such an endpoint wants nothing from this daemon for so long.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import Daemon, EdgeCluster

PAUSE_S = 2.0


def pause(cluster: EdgeCluster, daemon: Daemon, kind: str, endpoints: tuple[str, ...]) -> float:
    """Lets each endpoint refuse requests of a daemon once with a pause; returns the time after it."""
    for name in endpoints:
        faults = cluster.platform.endpoints[name].faults
        faults.pause_value = str(PAUSE_S)
        log = f'"event":"endpoint_pauses","endpoint":"{name}"'
        cluster.wait_until(lambda: daemon.send(kind, timeout_s=1.0).status and
                           log in daemon.log.read_text(), log)
    for name in endpoints:
        cluster.platform.endpoints[name].faults.pause_value = ""
    return time.monotonic()


def test_edge_sends_nothing_to_an_endpoint_that_asks_for_a_pause() -> None:
    """Lets an endpoint ask one daemon for a pause, and sends requests to that daemon meanwhile.

    Neither requests, nor orders, nor calls for reports may reach the endpoint. Afterwards it is used
    again.
    """
    for endpoint, kind in (("p0", "check"), ("r0", "chat")):
        with EdgeCluster(daemons=1, models=2) as cluster:
            daemon = cluster.daemons[0]
            paused_at = pause(cluster, daemon, kind, (endpoint,))
            time.sleep(0.1)
            arrivals = cluster.platform.endpoints[endpoint].arrivals
            count = len(arrivals)
            while time.monotonic() < paused_at + PAUSE_S - 0.6:
                result = daemon.send(kind)
                assert result.is_complete, result
            assert len(arrivals) == count, (endpoint, arrivals[count:], paused_at)

            def is_used() -> bool:
                return daemon.send(kind).is_complete and len(arrivals) > count

            cluster.wait_until(is_used, "a request at the endpoint after its pause")


def test_edge_pauses_only_the_daemon_that_was_asked() -> None:
    """Lets all plain endpoints ask one daemon for a pause: the other one goes on."""
    with EdgeCluster(daemons=2) as cluster:
        pause(cluster, cluster.daemons[0], "check", ("p0", "p1"))
        results = [cluster.daemons[1].send("check", timeout_s=1.0) for _ in range(10)]
        assert all(result.is_complete for result in results), results


def test_edge_refuses_at_once_what_only_paused_endpoints_could_serve_too_late() -> None:
    """Sends requests whose deadline is before the end of the pause of all endpoints."""
    for kind, endpoints in (("check", ("p0", "p1")), ("pay", ("p0", "p1")), ("chat", ("r0", "r1"))):
        with EdgeCluster(daemons=2, models=2) as cluster:
            pause(cluster, cluster.daemons[0], kind, endpoints)
            result = cluster.daemons[0].send(kind, timeout_s=1.0)
            assert result.status == 503 and result.duration_s < 0.5, result
            assert 0.5 < float(result.fields["retry-after"]) <= PAUSE_S, result
            assert cluster.run_count(result) == 0


def test_edge_waits_for_the_end_of_a_pause_and_spreads_what_waited() -> None:
    """Sends requests that can wait for the end of the pause of all endpoints."""
    for kind, endpoints in (("check", ("p0", "p1")), ("chat", ("r0", "r1"))):
        with EdgeCluster(daemons=1, models=2) as cluster:
            pause(cluster, cluster.daemons[0], kind, endpoints)
            time.sleep(1.0)
            with ThreadPoolExecutor(16) as pool:
                results = list(pool.map(
                    lambda _: cluster.daemons[0].send(kind, timeout_s=8.0), range(16)))
            assert all(result.is_complete for result in results), results
            starts = sorted(run.at for r in results for run in cluster.platform.runs[r.id])
            assert starts[-1] - starts[0] > 0.05, starts


def test_edge_survives_pauses_that_cannot_be_read() -> None:
    """Lets an endpoint refuse requests with values of Retry-After that state no time.

    The daemon must neither crash nor pause. A huge value must not stop it from using the others.
    """
    with EdgeCluster(daemons=1) as cluster:
        daemon, endpoint = cluster.daemons[0], cluster.platform.endpoints["p0"]
        for value in ("-1", "Fri, 04 Dec 2026 08:00:00 GMT", "soon", "1e3", "nan", "0x10", "1,2"):
            endpoint.faults.pause_value = value
            count = len(endpoint.arrivals)
            cluster.wait_until(lambda: daemon.send("check").is_complete and
                               len(endpoint.arrivals) > count, value)
        assert '"event":"endpoint_pauses"' not in daemon.log.read_text()
        endpoint.faults.pause_value = "9" * 400
        results = [daemon.send("check") for _ in range(20)]
        assert all(result.is_complete for result in results), results
