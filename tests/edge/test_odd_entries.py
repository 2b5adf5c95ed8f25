"""Entries of another writer among those of the endpoints, on edge daemons as processes."""

from __future__ import annotations

import os

from edge_cluster import EdgeCluster

# Keys with characters that have a meaning in a URL, or none, and the longest key.
ODD_KEYS = ("a b", "a&limit=0", "a#b", "a%20b", "a%", "a+b", "a?b", "a=b", "a/../b", "caf\u00e9",
            "\U0001f600", "a\tb", "a\r\nX: y", 'a"b', "z" * 200)


def test_edge_starts_beside_odd_keys_in_a_table_of_many_pages() -> None:
    """Guards against a daemon that never becomes ready: each page of its read ends at an odd key."""
    with EdgeCluster(daemons=2, runners=2, models=2) as cluster:
        store = cluster.platform.store

        def put_odd_entries() -> None:
            store.max_read_rows = 2
            for key in ODD_KEYS:
                store.put("servers", key, os.urandom(100))

        cluster.platform.run_on_loop(put_odd_entries)
        for daemon in cluster.daemons:
            daemon.kill()
        for daemon in cluster.daemons:
            daemon.start()
        cluster.wait_until(lambda: all(daemon.is_ready() for daemon in cluster.daemons),
                           "readiness after a restart")
        for daemon in cluster.daemons:
            assert daemon.send("chat").is_complete
            assert daemon.send("pay").is_complete
