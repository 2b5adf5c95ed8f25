"""Endpoints that answer wrongly, on edge daemons as processes."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from edge_cluster import EdgeCluster

LONG_BODY = b"x" * (12 << 20)  # More than the kernel buffers of a connection hold.


def test_edge_passes_on_no_part_of_an_answer_whose_connection_was_reset() -> None:
    """Guards against a part of an answer without a length that the client takes for the whole.

    The endpoints answer a long upload at once and reset the connection while it is being sent.
    """
    with EdgeCluster(daemons=1, runners=1, plain=2, models=1) as cluster:
        daemon = cluster.daemons[0]
        cluster.platform.configure(limits={"maxBodyBytes": 2 * len(LONG_BODY)})
        cluster.wait_until(lambda: daemon.send("pay", body=LONG_BODY).is_complete, "the limits")
        for endpoint in ("p0", "p1"):
            cluster.platform.endpoints[endpoint].faults.resets_uploads = True
        for kind in ("pay", "check"):
            with ThreadPoolExecutor(4) as pool:
                results = list(pool.map(lambda _: daemon.send(kind, body=LONG_BODY), range(12)))
            assert [result.status for result in results] == [502] * 12, (kind, results)
        # Nothing of it stays on connections that are used again.
        for endpoint in ("p0", "p1"):
            cluster.platform.endpoints[endpoint].faults.resets_uploads = False
        assert daemon.send("pay", body=LONG_BODY).is_complete
