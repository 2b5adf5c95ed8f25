"""Endpoints that state how slow they are in X-Server-Load, on edge daemons as processes."""

from __future__ import annotations

import json

from edge_cluster import EdgeCluster
from standin import CallKind
from test_limit import press


def test_edge_reads_slowness_and_prefers_the_faster_endpoint() -> None:
    """Lets all endpoints state five figures, of which the fourth says that p0 and r0 are slow."""
    with EdgeCluster(daemons=2) as cluster:
        for name, endpoint in cluster.platform.endpoints.items():
            figure = 400 if name in ("p0", "r0") else 100
            endpoint.faults.load_value = f"0,0,8,{figure},7"
        slow, fast = (cluster.platform.endpoints[name] for name in ("p0", "p1"))
        press(cluster, "check", seconds=1.0, per_second=40.0)  # Each daemon has heard of both.
        before = [endpoint.arrival_kinds.count(CallKind.REQUEST) for endpoint in (slow, fast)]
        results = press(cluster, "check", seconds=4.0, per_second=40.0)
        results += press(cluster, "chat", seconds=2.0, per_second=20.0)
        assert all(result.is_complete for result in results), results
        after = [endpoint.arrival_kinds.count(CallKind.REQUEST) for endpoint in (slow, fast)]
        counts = [now - then for now, then in zip(after, before)]
        assert counts[0] < 0.5 * counts[1], counts
        holder = cluster.holder()
        states = [{item["endpoint"]: item for item in json.loads(daemon.fetch("/state"))["runners"]}
                  for daemon in (holder, *cluster.daemons)]
        # A daemon in the other endpoint's zone may never have asked the slow one.
        assert any(state["p0"].get("slowness_stated") == 4.0 for state in states), states
        assert states[0]["r0"]["slowness_assumed"] > states[0]["r1"]["slowness_assumed"], states[0]
        for daemon in cluster.daemons:
            log = daemon.log.read_text()
            assert '"event":"endpoint_chosen"' in log
            ignored = [line for line in log.splitlines() if '"answer_field_ignored"' in line]
            assert 0 < len(ignored) <= len(cluster.platform.endpoints), ignored
        other = next(daemon for daemon in cluster.daemons if daemon is not holder)
        metrics = other.fetch("/metrics")
        assert "messages_endpoint_slowness" in metrics, metrics
