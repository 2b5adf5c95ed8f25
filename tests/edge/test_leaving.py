"""Endpoints that state in their answers that they are leaving, on edge daemons as processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import EdgeCluster


def runs_at(cluster: EdgeCluster, endpoint: str, since: float) -> int:
    return sum(run.endpoint == endpoint and run.at > since
               for runs in cluster.platform.runs.values() for run in runs)


def test_edge_sends_nothing_more_to_an_endpoint_that_says_it_is_leaving() -> None:
    """Lets an endpoint state that it leaves, while its entry stays ready.

    One daemon sees it in an answer and tells the others, so no daemon may send there again.
    """
    for endpoint, kind in (("p0", "check"), ("r0", "chat")):
        for is_interim in (False, True):
            with EdgeCluster(daemons=3, models=2) as cluster:
                faults = cluster.platform.endpoints[endpoint].faults
                faults.leaving_value, faults.leaving_interim = "1", is_interim
                began = time.monotonic()
                while runs_at(cluster, endpoint, began) == 0:
                    assert cluster.daemons[0].send(kind).is_complete
                time.sleep(0.3)
                told = time.monotonic()
                cluster.platform.run_on_loop(cluster.platform.endpoints[endpoint].announce)
                time.sleep(0.3)
                results = [cluster.daemons[number % 3].send(kind) for number in range(30)]
                assert all(result.is_complete for result in results), results
                assert runs_at(cluster, endpoint, told) == 0, (endpoint, is_interim)


def test_edge_ignores_a_heartbeat_that_the_store_performs_late() -> None:
    """Guards against requests to leaving endpoints whose entry shows them as ready again.

    The store performs a heartbeat of each behind the entry with its leaving. Their next heartbeat
    states the leaving again; one that a former process wrote changes nothing either.
    """
    for endpoint_name, kind in (("p0", "check"), ("r0", "chat")):
        with EdgeCluster(daemons=3, models=2) as cluster:
            endpoint, store = cluster.platform.endpoints[endpoint_name], cluster.platform.store
            late_entry = cluster.platform.run_on_loop(endpoint.next_entry)

            def leave() -> None:
                endpoint.state = "draining"
                endpoint.announce()

            cluster.platform.run_on_loop(leave)
            time.sleep(0.5)
            cluster.platform.run_on_loop(lambda: store.put("servers", endpoint_name, late_entry))
            time.sleep(0.5)
            performed = time.monotonic()
            results = [cluster.daemons[number % 3].send(kind) for number in range(30)]
            assert all(result.is_complete for result in results), results
            assert runs_at(cluster, endpoint_name, performed) == 0, endpoint_name


def test_edge_sees_that_a_runner_is_leaving_in_refusals_reports_and_orders() -> None:
    """Lets a runner state that it leaves in answers that run no request."""
    with EdgeCluster(daemons=2, models=4) as cluster:
        # r0 holds m0 and m1, r1 holds m2 and m3.
        faults = cluster.platform.endpoints["r0"].faults
        faults.leaving_value, faults.refuses_all = "1", True
        cluster.daemons[0].send("chat", "m0", timeout_s=3.0)
        faults.refuses_all = False
        time.sleep(0.3)
        told = time.monotonic()
        results = [cluster.daemons[number % 2].send("chat", "m0") for number in range(10)]
        assert all(result.is_complete for result in results), results
        assert runs_at(cluster, "r0", told) == 0


def test_edge_lets_running_streams_end_at_a_leaving_runner() -> None:
    """Lets a runner state that it leaves while it streams: the streams must end there undisturbed."""
    with EdgeCluster(daemons=2, models=2) as cluster:
        cluster.platform.work_s = 0.2
        with ThreadPoolExecutor(8) as pool:
            pending = [pool.submit(cluster.daemons[n % 2].send, "draft") for n in range(8)]
            time.sleep(0.5)
            for runner in ("r0", "r1"):
                cluster.platform.endpoints[runner].faults.leaving_value = "1"
            # The answer to this request states that one of them leaves.
            cluster.daemons[0].send("draft", timeout_s=0.5)
            results = [future.result() for future in pending]
        assert all(result.is_complete for result in results), results


def test_edge_learns_of_a_leaving_runner_behind_many_changes() -> None:
    """The store rejects the dispatcher after many changes, and a runner leaves at that moment.

    The other daemon reads what it has missed in several answers, and must not pause between them.
    """
    with EdgeCluster(daemons=2, models=2) as cluster:
        holder = cluster.holder()
        member = next(daemon for daemon in cluster.daemons if daemon is not holder)
        time.sleep(3.0)  # The dispatcher's notices cover the table.

        def change_often() -> None:
            for number in range(1200):
                cluster.platform.store.put("servers", "other", str(number).encode())

        cluster.platform.run_on_loop(change_often)
        time.sleep(0.5)
        cluster.platform.store.rejected_ports.add(holder.store_port)
        cluster.platform.endpoints["r0"].state = "draining"
        cluster.platform.run_on_loop(cluster.platform.endpoints["r0"].announce)
        told = time.monotonic()
        cluster.wait_until(
            lambda: '"event":"runner_leaving","endpoint":"r0"' in member.log.read_text(),
            "news of the leaving runner")
        # The drain limit, 3 s, without the time that a request takes.
        assert time.monotonic() - told < 2.9, time.monotonic() - told


def test_edge_uses_a_new_process_of_an_endpoint_that_was_leaving() -> None:
    """Restarts an endpoint that had said that it leaves: the new process is free of that."""
    with EdgeCluster(daemons=2) as cluster:
        endpoint = cluster.platform.endpoints["p0"]
        endpoint.faults.leaving_value = "1"
        began = time.monotonic()
        while runs_at(cluster, "p0", began) == 0:
            assert cluster.daemons[0].send("check").is_complete
        endpoint.faults.leaving_value = ""
        cluster.platform.run_coroutine(endpoint.crash(0.2))
        restarted = time.monotonic()

        def is_used() -> bool:
            for daemon in cluster.daemons:
                daemon.send("check")
            return runs_at(cluster, "p0", restarted) > 0

        cluster.wait_until(is_used, "a request at the restarted endpoint")


def test_edge_ignores_other_values_of_the_leaving_field() -> None:
    """Lets an endpoint send the field with values that are not defined: it goes on getting requests."""
    with EdgeCluster(daemons=1) as cluster:
        for value in ("0", "yes", "1, 1", "true"):
            cluster.platform.endpoints["p0"].faults.leaving_value = value
            began = time.monotonic()
            results = [cluster.daemons[0].send("check") for _ in range(20)]
            assert all(result.is_complete for result in results), results
            assert runs_at(cluster, "p0", began) > 1, value
        lines = cluster.daemons[0].log.read_text()
        assert lines.count('"event":"answer_field_ignored"') == 1, lines
