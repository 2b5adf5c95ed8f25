"""Streams of runners whose software has several versions, on edge daemons as processes.

What two versions write does not fit together, so a stream may only go on at the version that began
it. Runners do not check this.
"""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import EdgeCluster, Result, resume


def start(versions: str, daemons: int = 2, models: int = 2) -> EdgeCluster:
    """Returns a cluster with one runner for each version; all runners hold the first two models."""
    cluster = EdgeCluster(daemons=daemons, runners=len(versions.split()), models=models)
    for number, version in enumerate(versions.split()):
        set_version(cluster, f"r{number}", version)
    return cluster


def set_version(cluster: EdgeCluster, runner: str, version: str) -> None:
    endpoint = cluster.platform.endpoints[runner]
    endpoint.version = version
    cluster.platform.run_on_loop(endpoint.announce)


def versions_of(cluster: EdgeCluster, result: Result) -> list[str]:
    return [cluster.platform.endpoints[run.endpoint].version
            for run in cluster.platform.runs.get(result.id, [])]


def break_streams(cluster: EdgeCluster, after_events: int) -> None:
    for endpoint in cluster.platform.endpoints.values():
        endpoint.faults.cut_after_events = after_events


def test_edge_resumes_streams_within_an_answer_at_the_same_version() -> None:
    """Breaks streams off and lets the daemon resume them, with two versions in service."""
    with start("v1 v1 v2 v2") as cluster:
        break_streams(cluster, 3)
        results = [cluster.daemons[number % 2].send("chat") for number in range(24)]
        assert all(result.is_complete for result in results), results
        assert {len(result.versions) for result in results} == {1}, results
        assert {version for r in results for version in r.versions} == {b"v1", b"v2"}, results


def test_edge_cuts_a_stream_when_no_other_runner_has_its_version() -> None:
    """Breaks a stream off whose runner is the only one of its version and leaves at once."""
    with start("v1 v2") as cluster:
        runners = cluster.platform.endpoints
        runners["r1"].faults.refuses_all = True
        cluster.platform.work_s = 0.3
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(cluster.daemons[0].send, "chat")
            time.sleep(0.8)
            runners["r1"].faults.refuses_all = False
            cluster.platform.run_coroutine(runners["r0"].crash(None))
            result = pending.result()
        assert result.status == 0 and result.event_ids, result
        assert set(versions_of(cluster, result)) == {"v1"}, versions_of(cluster, result)


def test_edge_resumes_streams_of_a_killed_daemon_at_their_version() -> None:
    """Kills the daemon that serves streams of two versions, once the dispatcher and once another.

    The daemons that the clients turn to must know which version began each stream.
    """
    for kills_dispatcher in (False, True):
        with start("v1 v1 v2 v2", daemons=4) as cluster:
            cluster.platform.work_s = 0.2
            holder = cluster.holder()
            victim = holder if kills_dispatcher else next(
                daemon for daemon in cluster.daemons if daemon is not holder)
            others = [daemon for daemon in cluster.daemons if daemon is not victim]
            with ThreadPoolExecutor(16) as pool:
                pending = [pool.submit(victim.send, "chat") for _ in range(16)]
                time.sleep(0.6)
                victim.kill()
                broken = [future.result() for future in pending]
            assert all(result.status == 0 and result.event_ids for result in broken), broken
            cluster.platform.work_s = 0.01
            with ThreadPoolExecutor(16) as pool:
                resumed = list(pool.map(
                    lambda item: resume(others[item[0] % len(others)], item[1]),
                    enumerate(broken)))
            assert {len(result.versions) for result in resumed if result.event_ids} == {1}, resumed
            assert {v for r in resumed for v in r.versions} == {b"v1", b"v2"}, resumed
            assert all(result.is_complete for result in resumed), resumed


def test_edge_resumes_a_stream_twice_at_its_version() -> None:
    """Breaks streams off after each two events; clients take them up at one daemon after the other.

    Each try names the request that brought the first event, not the one before.
    """
    with start("v1 v1 v2 v2", daemons=3) as cluster:
        break_streams(cluster, 1)
        for number in range(8):
            first = cluster.daemons[number % 3].send("chat")
            assert first.status == 0 and len(first.event_ids) == 2, first
            second = resume(cluster.daemons[(number + 1) % 3], first)
            assert second.status == 0 and len(second.event_ids) == 4, second
            third = resume(cluster.daemons[(number + 2) % 3], second, begun_by=first.id)
            assert third.is_complete and len(third.versions) == 1, third


def test_edge_refuses_at_once_to_resume_a_stream_whose_version_is_gone() -> None:
    """Lets all runners of a version leave, and takes up a stream that they began."""
    with start("v1 v2") as cluster:
        runners = cluster.platform.endpoints
        break_streams(cluster, 1)
        runners["r1"].faults.refuses_all = True
        broken = cluster.daemons[0].send("chat")
        assert broken.status == 0 and broken.versions == {b"v1"}, broken
        runners["r1"].faults.refuses_all = False
        cluster.platform.run_coroutine(runners["r0"].crash(None))
        for daemon in cluster.daemons:
            time.sleep(0.3)
            result = resume(daemon, broken)
            assert result.status == 503 and result.duration_s < 1.0, result
            assert not versions_of(cluster, result), result


def test_edge_resumes_unknown_streams_only_while_one_version_is_known() -> None:
    """Takes up streams that no daemon knows, or without the id of the request that began them.

    While all runners have had one version, a stream can only have begun there. A version that left a
    short time ago counts too.
    """
    with start("v1 v1") as cluster:
        for fields in ({"Resumes": "0123456789abcdef"}, {}):
            result = cluster.daemons[0].send("chat", Last_Event_Id="2", **fields)
            assert result.status == 200 and result.event_ids == [3, 4, 5, 6], result
        for change in ("another version joins", "the first version leaves"):
            if change == "another version joins":
                set_version(cluster, "r1", "v2")
            else:
                cluster.platform.run_coroutine(cluster.platform.endpoints["r0"].crash(None))
            time.sleep(0.5)
            unknown = Result("fedcba9876543210", "chat", body=b"id: 2\ndata: x 2\n\n")
            for daemon in cluster.daemons:
                result = resume(daemon, unknown)
                assert result.status == 503 and result.duration_s < 1.5, (change, result)
                result = daemon.send("chat", Last_Event_Id="2")
                assert result.status == 503 and result.duration_s < 1.5, (change, result)


def test_edge_refuses_unknown_streams_of_a_former_version_after_all_daemons_restart() -> None:
    """Kills all daemons after a version has left, and takes up a stream that it may have begun.

    Restarted daemons see only the version that is there now. The lease row names the former one.
    """
    with start("v1 v2") as cluster:
        time.sleep(1.0)
        cluster.platform.run_coroutine(cluster.platform.endpoints["r0"].crash(None))
        time.sleep(1.5)
        for daemon in cluster.daemons:
            daemon.kill()
        for daemon in cluster.daemons:
            daemon.start()
        for daemon in cluster.daemons:
            cluster.wait_until(daemon.is_ready, "readiness")
            result = resume(daemon, Result("fedcba9876543210", "chat", body=b"id: 2\ndata: x 2\n\n"))
            assert result.status == 503, result
        cluster.wait_until(lambda: cluster.daemons[0].send("chat").is_complete, "a new stream")


def begin_at_joining_version(cluster: EdgeCluster) -> Result:
    """Lets r1 change to another version, and sends a stream that only r1 would take."""
    runners = cluster.platform.endpoints
    break_streams(cluster, 1)
    runners["r0"].faults.refuses_all = True
    set_version(cluster, "r1", "v2")
    time.sleep(0.03)
    return cluster.daemons[0].send("chat")


def restart_all_without_version(cluster: EdgeCluster, runner: str) -> None:
    """Kills all daemons and the only runner of a version, and starts the daemons again."""
    runners = cluster.platform.endpoints
    for daemon in cluster.daemons:
        daemon.kill()
    cluster.platform.run_coroutine(runners[runner].crash(None))
    for endpoint in runners.values():
        endpoint.faults.refuses_all, endpoint.faults.cut_after_events = False, None
    for daemon in cluster.daemons:
        daemon.start()
    for daemon in cluster.daemons:
        cluster.wait_until(daemon.is_ready, "readiness")


def test_edge_begins_no_stream_at_a_version_that_the_lease_row_cannot_name() -> None:
    """A version joins while writes of the lease row fail, and is gone together with all daemons.

    The restarted daemons must not join the stream of that version and the version that is left.
    """
    for names_request in (True, False):
        with start("v1 v1") as cluster:
            time.sleep(1.0)
            cluster.platform.store.rejected_tables.add("rhubarbtrail")
            broken = begin_at_joining_version(cluster)
            restart_all_without_version(cluster, "r1")
            cluster.platform.store.rejected_tables.clear()
            if not broken.event_ids:
                continue
            resumed = resume(cluster.daemons[0], broken) if names_request else \
                cluster.daemons[0].send("chat", Last_Event_Id=str(broken.event_ids[-1]))
            assert not resumed.event_ids, (names_request, broken, resumed)


def test_edge_names_a_version_in_the_lease_row_before_its_first_stream() -> None:
    """A version joins between two renewals, begins a stream, and is gone with all daemons."""
    begun = 0
    for phase_s in (0.0, 0.15, 0.3, 0.45, 0.6):
        with start("v1 v1") as cluster:
            time.sleep(1.0 + phase_s)
            broken, end = begin_at_joining_version(cluster), time.monotonic() + 0.5
            while not broken.event_ids and time.monotonic() < end:
                broken = cluster.daemons[0].send("chat")  # The client's next try.
            restart_all_without_version(cluster, "r1")
            if broken.event_ids:
                begun += 1
                result = resume(cluster.daemons[0], broken)
                assert not result.event_ids, (phase_s, broken, result)
            new = cluster.daemons[1].send("chat")
            assert new.is_complete, (phase_s, new)
    assert begun >= 3, begun  # A version that joins is in use after one write of the row.


def test_edge_relies_on_no_former_version_after_an_unreadable_lease_row() -> None:
    """The lease row is overwritten with bytes that no daemon can read, and all daemons restart."""
    with start("v1 v2") as cluster:
        time.sleep(1.0)
        for daemon in cluster.daemons:
            daemon.kill()
        runners = cluster.platform.endpoints
        cluster.platform.run_coroutine(runners["r1"].crash(None))
        key = next(key for table, key in cluster.platform.store.rows if table == "rhubarbtrail")
        cluster.platform.run_on_loop(
            lambda: cluster.platform.store.put("rhubarbtrail", key, b"\xff{"))
        for daemon in cluster.daemons:
            daemon.start()
        for daemon in cluster.daemons:
            cluster.wait_until(daemon.is_ready, "readiness")
            unknown = Result("fedcba9876543210", "chat", body=b"id: 2\ndata: x 2\n\n")
            for result in (resume(daemon, unknown), daemon.send("chat", Last_Event_Id="2")):
                assert result.status == 503, result
        cluster.wait_until(lambda: cluster.daemons[0].send("chat").is_complete, "a new stream")


def test_edge_without_a_current_view_takes_up_no_stream_without_a_name() -> None:
    """The dispatcher is killed, the store rejects one of the others, and a version joins.

    The daemon that the store rejects hears of it from nobody, and must not take up its stream.
    """
    with start("v1 v1", daemons=3) as cluster:
        time.sleep(1.0)
        holder = cluster.holder()
        other, rejected = [daemon for daemon in cluster.daemons if daemon is not holder]
        cluster.platform.store.rejected_ports.add(rejected.store_port)
        time.sleep(0.2)
        holder.kill()
        cluster.platform.endpoints["r0"].faults.refuses_all = True
        break_streams(cluster, 1)
        set_version(cluster, "r1", "v2")
        time.sleep(0.3)
        broken = other.send("chat")
        cluster.platform.endpoints["r0"].faults.refuses_all = False
        last_event = str((broken.event_ids or [2])[-1])
        result = rejected.send("chat", Last_Event_Id=last_event)
        assert not result.event_ids or result.versions == broken.versions, (broken, result)


def test_edge_resumes_streams_of_two_versions_after_all_daemons_restart() -> None:
    """Kills all daemons while runners of two versions serve streams, and takes these up again.

    No daemon knows them any more, but the runners of their versions are there: 95 in 100 go on.
    """
    with start("v1 v1 v2 v2", daemons=4) as cluster:
        cluster.platform.work_s = 0.2
        with ThreadPoolExecutor(20) as pool:
            pending = [pool.submit(cluster.daemons[number % 4].send, "chat")
                       for number in range(20)]
            time.sleep(0.8)
            for daemon in cluster.daemons:
                daemon.kill()
            broken = [result for result in (future.result() for future in pending)
                      if result.event_ids]
        assert {v for r in broken for v in r.versions} == {b"v1", b"v2"}, broken
        cluster.platform.work_s = 0.01
        for daemon in cluster.daemons:
            daemon.start()
        for daemon in cluster.daemons:
            cluster.wait_until(daemon.is_ready, "readiness")
        with ThreadPoolExecutor(20) as pool:
            resumed = list(pool.map(
                lambda item: resume(cluster.daemons[item[0] % 4], item[1]), enumerate(broken)))
        assert all(len(result.versions) <= 1 for result in resumed), resumed
        gone_on = sum(result.is_complete for result in resumed)
        assert gone_on >= 0.95 * len(resumed), (gone_on, len(resumed))


def test_edge_loads_a_model_at_the_version_of_a_stream() -> None:
    """Breaks off a stream whose model no other runner of its version holds.

    The other runner of the version must load the model, although a runner of another version holds
    it.
    """
    with EdgeCluster(daemons=2, runners=3, models=6) as cluster:
        runners = cluster.platform.endpoints

        def prepare() -> None:
            runners["r2"].version, runners["r2"].models = "v2", {"m0": [], "m4": []}
            runners["r2"].announce()

        runners["r2"].faults.refuses_all = True
        cluster.platform.run_on_loop(prepare)
        break_streams(cluster, 1)
        time.sleep(0.5)
        broken = cluster.daemons[0].send("chat", "m0")
        assert broken.status == 0 and broken.versions == {b"v1"}, broken
        for runner in runners.values():
            runner.faults.refuses_all, runner.faults.cut_after_events = False, None
        cluster.platform.run_coroutine(runners["r0"].crash(None))
        time.sleep(0.3)
        result = resume(cluster.daemons[1], broken, model="m0")
        assert result.is_complete and result.versions == {b"v1"}, result
        assert "m0" in runners["r1"].models, runners["r1"].models


def test_edge_out_of_step_takes_up_no_stream_at_another_version() -> None:
    """A daemon stands still while a version joins and begins streams, which break off.

    Clients take them up at that daemon, whose view of the runners is older than the streams.
    """
    for pause_s in (0.8, 1.5, 2.2, 2.8):
        with start("v1 v1 v1", daemons=3) as cluster, ThreadPoolExecutor(8) as pool:
            time.sleep(1.0)
            holder = cluster.holder()
            other, paused = [daemon for daemon in cluster.daemons if daemon is not holder]
            paused.signal(signal.SIGSTOP)
            time.sleep(pause_s - 0.7)
            runners = [cluster.platform.endpoints[name] for name in ("r0", "r1", "r2")]
            for runner in runners[:2]:
                runner.faults.refuses_all = True
            break_streams(cluster, 1)
            set_version(cluster, "r2", "v2")
            time.sleep(0.2)
            broken = [stream for stream in [other.send("chat") for _ in range(4)]
                      if stream.event_ids]
            assert broken, "no stream began at the new version"
            for runner in runners[:2]:
                runner.faults.refuses_all = False
            for runner in runners:
                runner.faults.cut_after_events = None
            resumed = [pool.submit(resume, paused, stream) for stream in broken]
            time.sleep(0.4)
            paused.signal(signal.SIGCONT)
            for stream, result in zip(broken, [future.result() for future in resumed]):
                assert not result.event_ids or result.versions == stream.versions, (
                    pause_s, stream, result)
