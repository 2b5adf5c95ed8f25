"""Edge daemons as processes, tested against the stand-in of the platform."""

from __future__ import annotations

import errno
import json
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import Daemon, EdgeCluster, ReservedPorts
from standin import StreamFraming

# Exit code when requests were still open at the end of the grace period.
EXIT_REQUESTS_LEFT = 5


def check_no_violations(cluster: EdgeCluster, *results) -> None:
    violations = [violation for violation in map(cluster.find_violation, results) if violation]
    assert not violations, violations


def log_lines(daemon: Daemon) -> list[dict]:
    return [json.loads(line) for line in daemon.log.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")]


def has_event(daemon: Daemon, event: str) -> bool:
    return any(line["event"] == event for line in log_lines(daemon))


def test_edge_serves_every_kind_of_request() -> None:
    with EdgeCluster() as cluster:
        for daemon in cluster.daemons:
            for kind in ("chat", "draft", "pay", "check"):
                result = daemon.send(kind, body=b"hello")
                assert result.is_complete, result
                run = cluster.platform.runs[result.id][0]
                assert run.target == f"/{kind}/x?y=1" and run.body == b"hello", run
                assert run.fields["x-target-instance"] == run.endpoint
                check_no_violations(cluster, result)


def test_edge_loads_a_cold_model_once_for_many_callers() -> None:
    """Sends 20 requests for a cold model to both daemons: one load must serve them all."""
    with EdgeCluster() as cluster:
        with ThreadPoolExecutor(20) as pool:
            results = list(pool.map(
                lambda n: cluster.daemons[n % 2].send("chat", "m5"), range(20)))
        assert all(result.is_complete for result in results), results
        orders = [order for endpoint in cluster.platform.endpoints.values()
                  for order in endpoint.order_log
                  if order["operation"] == "model_load" and order["model"] == "m5"]
        accepted = [endpoint for endpoint in cluster.platform.endpoints.values()
                    if "m5" in endpoint.models]
        assert len(accepted) == 1, orders
        assert all(len(e.models) <= cluster.platform.models_per_runner
                   for e in cluster.platform.endpoints.values())


def test_edge_never_repeats_what_must_run_once() -> None:
    """Loses the answers to payments and drafts after their runs.

    The daemon cannot know whether the request ran. It must answer with an error and not repeat it.
    """
    with EdgeCluster() as cluster:
        for name in ("p0", "p1", "r0", "r1"):
            cluster.platform.endpoints[name].faults.lost_answers = 1
        results = [cluster.daemons[0].send(kind) for kind in ("pay", "pay", "draft", "draft")]
        assert [result.status for result in results].count(502) >= 2, results
        check_no_violations(cluster, *results)
        repeated = [cluster.daemons[0].send("check") for _ in range(4)]
        check_no_violations(cluster, *repeated)


def test_edge_repeats_a_check_whose_answer_was_lost() -> None:
    with EdgeCluster() as cluster:
        # The daemon chooses an endpoint by load and by the request. Some of 20 requests go to p0,
        # and the first of these loses its answer.
        cluster.platform.endpoints["p0"].faults.lost_answers = 1
        results = [cluster.daemons[0].send("check") for _ in range(20)]
        assert all(result.is_complete for result in results), results
        assert sorted(cluster.run_count(result) for result in results)[-2:] == [1, 2]


def test_edge_waits_for_an_endpoint_after_a_long_attempt() -> None:
    """Loses the answer to a check 0.7 s after its request, while the other endpoint refuses.

    The wait for an endpoint counts from when it begins, not from the request.
    """
    with EdgeCluster(models=2) as cluster:
        cluster.platform.work_s = 0.7
        for first, other in (("p0", "p1"), ("p1", "p0")):
            cluster.platform.endpoints[first].faults.lost_answers = 1
            cluster.platform.endpoints[other].faults.refuses_all = True
            results = [cluster.daemons[0].send("check", timeout_s=4.0) for _ in range(2)]
            assert all(result.is_complete for result in results), results
            cluster.platform.endpoints[other].faults.refuses_all = False


def test_edge_resumes_a_stream_behind_the_last_event() -> None:
    """Cuts streams after three events and a part of another.

    A chat is resumable: the daemon must drop the partial event and continue after the third on
    another attempt. A draft is not: its connection must break off, and it must not run again.
    """
    with EdgeCluster(models=2) as cluster:
        for runner in ("r0", "r1"):
            cluster.platform.endpoints[runner].faults.cut_after_events = 3
        result = cluster.daemons[0].send("chat")
        assert result.is_complete, result
        assert cluster.run_count(result) == 2
        cut = cluster.daemons[0].send("draft")
        assert cut.status == 0, cut
        assert cluster.run_count(cut) == 1


def test_edge_resumes_a_stream_that_is_older_than_the_patience_of_its_client() -> None:
    """Breaks a stream off 4.5 s after its request; its client waits 4 s for each event.

    How long the client still waits counts from the last event, not from the request.
    """
    with EdgeCluster(models=2) as cluster:
        cluster.platform.work_s = 0.75
        for endpoint in cluster.platform.endpoints.values():
            endpoint.faults.cut_after_events = 5
        result = cluster.daemons[0].send("chat")
        assert result.is_complete, (result, has_event(cluster.holder(), "place_refused"))
        assert cluster.run_count(result) == 2, cluster.platform.runs[result.id]


def test_edge_does_not_complete_streams_that_end_inside_an_event() -> None:
    """Ends streams inside an event although their framing says that they are complete.

    A stream without a length ends with its connection, also when its runner breaks it off. The
    daemon must not take the end of the connection, or the last chunk, for the end of the events: it
    resumes a chat and cuts a draft.
    """
    cuts = ((3, b"id: 99\nda"), (5, b"id: 6\nda"), (3, b"id: 99\ndata: x\n"), (0, b"id: 99\nda"),
            (3, b"\r\n: comm"))
    with EdgeCluster(models=2) as cluster:
        for framing in (StreamFraming.UNTIL_CLOSE, StreamFraming.ALWAYS_TERMINATED):
            for cut_after, cut_bytes in cuts:
                for runner in ("r0", "r1"):
                    faults = cluster.platform.endpoints[runner].faults
                    faults.stream_framing = framing
                    faults.cut_after_events, faults.cut_bytes = cut_after, cut_bytes
                chat = cluster.daemons[0].send("chat")
                assert chat.status != 200 or chat.is_complete, (framing, cut_after, chat)
                assert chat.is_complete or cut_after == 0, (framing, cut_bytes, chat)
                assert cluster.run_count(chat) == 2, (framing, cut_bytes, chat)
                draft = cluster.daemons[0].send("draft")
                assert draft.status == (0 if cut_after else 502), (framing, cut_bytes, draft)
                check_no_violations(cluster, chat, draft)


def test_edge_does_not_complete_streams_without_length_or_events() -> None:
    """Closes the connection of a stream without a length before its first event.

    Nothing then shows that the stream is complete.
    """
    with EdgeCluster(models=2) as cluster:
        for runner in ("r0", "r1"):
            faults = cluster.platform.endpoints[runner].faults
            faults.stream_framing = StreamFraming.UNTIL_CLOSE
            faults.cut_after_events, faults.cut_bytes = 0, b""
        for kind in ("chat", "draft"):
            result = cluster.daemons[0].send(kind)
            assert result.status == 502, result
            check_no_violations(cluster, result)


def test_edge_completes_streams_that_end_with_their_connection() -> None:
    """Guards against cutting whole streams that have neither a length nor chunks.

    Comments and blank lines after the last event are no part of an event.
    """
    with EdgeCluster(models=2) as cluster:
        for tail in (b"", b"\n", b": end\n", b"\r\n: end\r\n"):
            for runner in ("r0", "r1"):
                faults = cluster.platform.endpoints[runner].faults
                faults.stream_framing = StreamFraming.UNTIL_CLOSE
                faults.bytes_after_events = tail
            for kind in ("chat", "draft"):
                result = cluster.daemons[0].send(kind)
                assert result.is_complete and result.body.endswith(b" 6 v1\n\n" + tail), (tail, result)
                assert cluster.run_count(result) == 1, (tail, result)


def test_edge_keeps_extra_answers_from_other_requests() -> None:
    """Lets plain endpoints send a second answer after each answer.

    On a reused connection it would be taken for the answer to the next request, which may be the
    request of another client.
    """
    with EdgeCluster() as cluster:
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.extra_answer = True
        results = [cluster.daemons[0].send(kind) for kind in ("check", "pay") * 10]
        assert all(result.is_complete for result in results), results
        check_no_violations(cluster, *results)


def test_edge_tells_the_truth_when_all_endpoints_refuse() -> None:
    """Lets all endpoints refuse a payment without running it.

    The client must soon get 503 with Retry-After, which states that the payment did not run, and
    must not be kept until the time limit of the route, 2 s.
    """
    with EdgeCluster() as cluster:
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.refuses_all = True
        result = cluster.daemons[0].send("pay")
        assert result.status == 503 and "retry-after" in result.fields, result
        assert result.duration_s < 1.5, result
        check_no_violations(cluster, result)


def test_edge_stops_a_request_that_crashes_its_runners() -> None:
    """Sends a request that crashes its runner, eight times to two daemons.

    The daemons report crashes to each other and quarantine the request after three. Without this, a
    client that repeats it could crash all runners.
    """
    with EdgeCluster(runners=3, models=2) as cluster:
        for name in ("r0", "r1", "r2"):
            cluster.platform.endpoints[name].faults.crashing_body = b"KILL"
        results = []
        for number in range(8):
            results.append(cluster.daemons[number % 2].send("draft", body=b"KILL"))
            time.sleep(0.7)
        run_count = sum(cluster.run_count(result) for result in results)
        assert 1 <= run_count <= 4, run_count
        check_no_violations(cluster, *results)


def test_edge_remembers_a_crashing_request_over_a_rolling_restart() -> None:
    """Guards against a new dispatcher that tells daemons that join only of crashes it reported itself."""
    with EdgeCluster(daemons=4, runners=3, models=2) as cluster:
        for name in ("r0", "r1", "r2"):
            cluster.platform.endpoints[name].faults.crashing_body = b"KILL"
        holder = cluster.holder()
        others = [daemon for daemon in cluster.daemons if daemon is not holder]
        results = []
        for number in range(6):
            results.append(others[number % 3].send("draft", body=b"KILL"))
            time.sleep(0.7)
        assert 1 <= sum(cluster.run_count(result) for result in results) <= 4, results
        for daemon in (holder, *others):
            daemon.kill()
            time.sleep(4.0)  # Another daemon holds the lease, whichever it was.
            daemon.start()
            cluster.wait_until(daemon.is_ready, "readiness")
            time.sleep(1.5)
            result = daemon.send("draft", body=b"KILL")
            assert cluster.run_count(result) == 0, (daemon.name, result)


def test_edge_remembers_a_crashing_request_when_all_daemons_start_anew() -> None:
    """Guards against a quarantine in memory alone: after a power cut the request crashed three more runners."""
    with EdgeCluster(daemons=3, runners=3, models=2) as cluster:
        for name in ("r0", "r1", "r2"):
            cluster.platform.endpoints[name].faults.crashing_body = b"KILL"
        for number in range(6):
            cluster.daemons[number % 3].send("draft", body=b"KILL")
            time.sleep(0.7)
        time.sleep(1.5)
        for daemon in cluster.daemons:
            daemon.kill()
        for daemon in cluster.daemons:
            daemon.start()
        for daemon in cluster.daemons:
            cluster.wait_until(daemon.is_ready, "readiness")
        for daemon in cluster.daemons:
            result = daemon.send("draft", body=b"KILL")
            assert cluster.run_count(result) == 0, (daemon.name, result)
            cluster.wait_until(lambda: daemon.send("draft", body=b"sound").is_complete, "an answer")


def test_edge_counts_one_crash_once_for_identical_requests() -> None:
    """Crashes a runner while it runs ten requests with the same bytes, from two daemons.

    One crash is no proof against the request, however many copies were in flight, so a later one
    must be served.
    """
    with EdgeCluster(runners=2, models=2) as cluster:
        runners = cluster.platform.endpoints
        runners["r1"].faults.refuses_all = True
        cluster.platform.work_s = 0.3
        with ThreadPoolExecutor(10) as pool:
            pending = [pool.submit(cluster.daemons[number % 2].send, "draft", "m0", b"same")
                       for number in range(10)]
            time.sleep(0.8)
            cluster.platform.run_coroutine(runners["r0"].crash(None))
            results = [future.result() for future in pending]
        assert all(result.status != 200 for result in results), results
        time.sleep(0.5)
        cluster.platform.work_s = 0.01
        runners["r1"].faults.refuses_all = False
        results = [daemon.send("draft", "m0", b"same") for daemon in cluster.daemons]
        assert all(result.is_complete for result in results), results


def test_edge_does_not_blame_requests_for_broken_connections() -> None:
    """Breaks connections of endpoints that keep running.

    The daemon must not count a broken connection as a crash, or it would quarantine the request.
    """
    with EdgeCluster() as cluster:
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.lost_answers = 4
        for number in range(8):
            check_no_violations(
                cluster, cluster.daemons[number % 2].send("pay", body=b"same bytes"))
        result = cluster.daemons[0].send("pay", body=b"same bytes")
        assert result.is_complete, result


def test_edge_goes_on_while_the_store_is_away() -> None:
    """Takes the store down and back up.

    Without it, loaded models and plain endpoints must be served from the last known state. With it
    again, a cold model must be loaded.
    """
    with EdgeCluster() as cluster:
        store = cluster.platform.store
        cluster.platform.run_on_loop(lambda: setattr(store, "is_down", True))
        for daemon in cluster.daemons:
            EdgeCluster.wait_until(lambda d=daemon: has_event(d, "dependency_lost"),
                                   "the log event dependency_lost")
        time.sleep(1.5)
        results = [daemon.send(kind) for daemon in cluster.daemons for kind in ("chat", "pay")]
        assert all(result.is_complete for result in results), results
        cluster.platform.run_on_loop(lambda: setattr(store, "is_down", False))
        EdgeCluster.wait_until(lambda: cluster.daemons[1].send("chat", "m5").is_complete,
                               "an answer of a cold model")
        for daemon in cluster.daemons:
            EdgeCluster.wait_until(lambda d=daemon: has_event(d, "dependency_regained"),
                                   "the log event dependency_regained")


def test_edge_follows_changes_after_the_history_is_gone() -> None:
    """Clears the history of the store: its feed answers 410 to a daemon that is behind.

    The daemon must then read the table anew. Otherwise it would miss all later changes.
    """
    with EdgeCluster() as cluster:
        cluster.platform.run_on_loop(cluster.platform.store.clear_history)
        route = {"name": "new", "host": "new.example", "prefix": "/", "kind": "idempotent",
                 "backend": "plain", "priority": 1, "maxAttempts": 1, "timeoutMs": 2000}
        cluster.platform.configure(routes=[route])
        for daemon in cluster.daemons:
            EdgeCluster.wait_until(
                lambda d=daemon: d.send("check", Host="new.example").status == 200, "the new route")


def test_edge_finds_another_dispatcher() -> None:
    """Pauses the daemon that runs the dispatcher until another one has taken over.

    When resumed, the former holder must send no more orders with its old fencing token: the tokens
    in the order of arrival must not decrease.
    """
    with EdgeCluster(daemons=3) as cluster:
        holder = cluster.holder()
        others = [daemon for daemon in cluster.daemons if daemon is not holder]
        holder.signal(signal.SIGSTOP)
        assert others[0].send("chat").is_complete
        EdgeCluster.wait_until(
            lambda: any("rhubarbtrail_dispatcher 1" in d.fetch("/metrics") for d in others),
            "another dispatcher")
        EdgeCluster.wait_until(lambda: others[1].send("chat", "m5").is_complete,
                               "an answer of a cold model")
        holder.signal(signal.SIGCONT)
        EdgeCluster.wait_until(lambda: holder.send("chat").is_complete,
                               "an answer of the resumed daemon")
        fences = [(order["at"], order["fencingToken"], order["holder"])
                  for endpoint in cluster.platform.endpoints.values()
                  for order in endpoint.order_log]
        fences.sort()
        assert [f[1] for f in fences] == sorted(f[1] for f in fences), fences


def test_edge_cuts_off_nothing_when_it_stops() -> None:
    with EdgeCluster() as cluster:
        cluster.platform.work_s = 0.2
        daemon = cluster.daemons[0]
        with ThreadPoolExecutor(8) as pool:
            open_requests = [pool.submit(daemon.send, kind) for kind in ("chat", "draft") * 4]
            time.sleep(0.3)
            daemon.signal(signal.SIGTERM)
            results = [future.result() for future in open_requests]
        assert not daemon.is_ready()
        assert all(result.is_complete for result in results), results
        assert daemon.popen.wait(10) == 0


def test_edge_ends_in_order_when_requests_outlast_its_grace() -> None:
    """Stops a daemon whose streams last longer than its grace period of 3 s.

    It must exit with the code for open requests, and neither wait for the streams nor crash.
    """
    with EdgeCluster(grace_s=3.0) as cluster:
        cluster.platform.work_s = 3.0  # Each event takes 3 s, so streams outlast the grace period.
        daemon = cluster.daemons[0]
        with ThreadPoolExecutor(24) as pool:
            for kind in ("chat", "draft", "pay") * 8:
                pool.submit(daemon.send, kind)
            time.sleep(0.5)
            daemon.signal(signal.SIGTERM)
            assert daemon.popen.wait(10) == EXIT_REQUESTS_LEFT


def test_edge_tells_waiting_clients_to_come_back_when_it_stops() -> None:
    """Stops a daemon while a request waits for a busy runner to load its model.

    The client must get 503 with Retry-After, so that it can repeat the request elsewhere.
    """
    with EdgeCluster(runners=1) as cluster:
        cluster.platform.endpoints["r0"].busy_until = time.monotonic() + 60
        daemon = cluster.daemons[0]
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(daemon.send, "draft", "m5")
            time.sleep(0.2)
            daemon.signal(signal.SIGTERM)
            result = waiting.result()
        assert result.status == 503 and "retry-after" in result.fields, result
        check_no_violations(cluster, result)


def test_edge_refuses_forged_entries_and_bad_settings() -> None:
    with EdgeCluster() as cluster:
        def forge() -> None:
            cluster.platform.store.put("servers", "x1", b"\xff\x00")
            cluster.platform.store.put("servers", "x2", b'{"backend":"plain"}')
            cluster.platform.store.put("op", "config", b"{")

        cluster.platform.run_on_loop(forge)
        EdgeCluster.wait_until(
            lambda: has_event(cluster.daemons[0], "configuration_rejected"),
            "the log event configuration_rejected")
        assert cluster.daemons[0].send("pay").is_complete
        cluster.daemons[0].settings.write_text("daemon_id: d0\nunknown: 1\n")
        cluster.daemons[0].signal(signal.SIGHUP)
        EdgeCluster.wait_until(lambda: has_event(cluster.daemons[0], "reload_rejected"),
                               "the log event reload_rejected")
        assert cluster.daemons[0].send("pay").is_complete


def test_edge_serves_beside_480_idle_connections() -> None:
    with EdgeCluster(daemons=1) as cluster:
        daemon = cluster.daemons[0]
        idle = [socket.create_connection(("127.0.0.1", daemon.front_port)) for _ in range(480)]
        result = daemon.send("pay")
        assert result.is_complete, result
        for connection in idle:
            connection.close()


def test_edge_logs_lead_from_an_id_to_its_cause() -> None:
    """Checks that the log events of a request id show why the request failed."""
    with EdgeCluster(daemons=2) as cluster:
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.lost_answers = 1
        lost = cluster.daemons[0].send("pay")
        for runner in ("r0", "r1"):
            cluster.platform.endpoints[runner].faults.cut_after_events = 2
        cut = cluster.daemons[1].send("draft", "m0")
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.refuses_all = True
        refused = cluster.daemons[0].send("pay")
        time.sleep(0.5)
        lines = [line for daemon in cluster.daemons for line in log_lines(daemon)]

        def events(result) -> list[str]:
            return [line["event"] for line in lines if line.get("id") == result.id]

        assert events(lost)[:4] == ["request_accepted", "request_sent", "attempt_failed",
                                    "request_failed"], events(lost)
        assert "place_granted" in events(cut) and "stream_cut" in events(cut), events(cut)
        assert "request_refused" in events(refused), events(refused)
        reason = next(line for line in lines if line.get("id") == refused.id
                      and line["event"] == "request_refused")
        assert reason["reason"] in ("endpoints_refused", "no_endpoint"), reason


def test_reserved_ports_stay_with_their_daemon() -> None:
    """Tries to take a reserved port before its daemon starts, as another process could.

    A cluster whose daemon cannot bind its port never gets ready.
    """
    reserved = ReservedPorts(2)
    try:
        for port in reserved.ports:
            with socket.socket() as other:
                assert other.connect_ex(("127.0.0.1", port)) != 0  # Nobody listens yet.
            with socket.socket() as other:
                try:
                    other.bind(("127.0.0.1", port))
                    raise AssertionError(f"port {port} was given to another socket")
                except OSError as error:
                    assert error.errno == errno.EADDRINUSE, error
            with socket.socket() as owner:
                owner.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                owner.bind(("127.0.0.1", port))
                owner.listen()
    finally:
        reserved.close()


def watch_calls(daemon: Daemon) -> int:
    """Returns how often the daemon has asked the store for changes since its start."""
    return int(next(line.split()[1] for line in daemon.fetch("/metrics").splitlines()
                    if line.startswith("rhubarbtrail_store_watches ")))


def configuration_version(daemon: Daemon) -> int:
    return json.loads(daemon.fetch("/state"))["configuration"]


def test_edge_only_the_dispatcher_watches_the_tables() -> None:
    """Lets daemons idle, then changes the configuration and a runner's state.

    If each of hundreds of daemons watched the tables, the store would refuse their calls. They must
    nevertheless learn of each change, from the dispatcher.
    """
    with EdgeCluster(daemons=4) as cluster:
        holder = cluster.holder()
        members = [daemon for daemon in cluster.daemons if daemon is not holder]
        # A watch that began before the first heartbeat lasts for up to 2.3 s.
        time.sleep(3.0)
        before = [watch_calls(daemon) for daemon in members]
        time.sleep(4.0)
        assert [watch_calls(daemon) for daemon in members] == before
        cluster.platform.configure()
        version = cluster.platform.version
        cluster.wait_until(
            lambda: all(configuration_version(d) == version for d in cluster.daemons),
            "the new configuration")
        runner = cluster.platform.endpoints["r0"]
        cluster.platform.run_on_loop(
            lambda: (setattr(runner, "state", "draining"), runner.announce()))
        cluster.wait_until(lambda: all(has_event(d, "runner_leaving") for d in cluster.daemons),
                           "notice of the leaving runner")
        after = [watch_calls(daemon) - count for daemon, count in zip(members, before)]
        assert max(after) <= 3, after  # One for the configuration; the runner's row is relayed.


def test_edge_daemons_read_the_tables_when_the_dispatcher_is_silent() -> None:
    """Pauses the dispatcher and then changes the configuration: the others must read it."""
    with EdgeCluster(daemons=3) as cluster:
        holder = cluster.holder()
        members = [daemon for daemon in cluster.daemons if daemon is not holder]
        time.sleep(3.0)
        holder.signal(signal.SIGSTOP)
        cluster.platform.configure()
        version = cluster.platform.version
        cluster.wait_until(lambda: all(configuration_version(d) == version for d in members),
                           "the new configuration")
        holder.signal(signal.SIGCONT)
        cluster.wait_until(lambda: configuration_version(holder) == version,
                           "the new configuration at the resumed daemon")


def test_edge_follows_a_store_that_comes_back_from_an_older_copy() -> None:
    """Restores the store from before a configuration and a runner's leaving, then changes both.

    The store gives versions out again. A daemon that compared them would skip the new rows for
    good, read the tables without a pause, or let two daemons send orders.
    """
    with EdgeCluster(daemons=3) as cluster:
        platform = cluster.platform
        time.sleep(1.0)
        platform.configure()
        newest = platform.version
        cluster.wait_until(
            lambda: all(configuration_version(d) == newest for d in cluster.daemons),
            "the configuration before the restore")
        leaving = platform.endpoints["r0"]
        platform.run_on_loop(
            lambda: (setattr(leaving, "state", "draining"), leaving.announce()))
        cluster.wait_until(lambda: all(has_event(d, "runner_leaving") for d in cluster.daemons),
                           "notice of the leaving runner")
        platform.restore_store(age_s=1.0)
        cluster.wait_until(lambda: all(has_event(d, "store_era") for d in cluster.daemons),
                           "notice of the new era")
        results = [d.send(kind, "m2") for d in cluster.daemons for kind in ("chat", "pay")]
        check_no_violations(cluster, *results)
        assert all(result.is_complete for result in results), results
        assert all(run.endpoint != "r0" for result in results
                   for run in platform.runs[result.id]), results
        cluster.wait_until(
            lambda: all(configuration_version(d) > newest for d in cluster.daemons),
            "the configuration that the operator wrote after the restore")
        cluster.wait_until(lambda: sum(
            "rhubarbtrail_dispatcher 1" in d.fetch("/metrics").splitlines()
            for d in cluster.daemons) == 1, "one dispatcher")
        before = [watch_calls(d) for d in cluster.daemons]
        time.sleep(2.0)
        calls = [watch_calls(d) - count for d, count in zip(cluster.daemons, before)]
        assert max(calls) <= 12, calls  # No daemon reads the tables without a pause.


def test_edge_answers_requests_while_the_dispatcher_renews_its_lease_in_a_new_era() -> None:
    """Guards against requests that wait for their deadline: the dispatcher had forgotten who asked.

    The store comes back from an older copy, so the holder gives its lease up and takes it again.
    """
    with EdgeCluster(daemons=4, runners=3) as cluster:
        time.sleep(2.0)
        unanswered = []

        def send(daemon: Daemon) -> None:
            started = time.monotonic()
            result = daemon.send("chat")
            if not result.is_complete or time.monotonic() - started > 4.0:
                unanswered.append(result)

        with ThreadPoolExecutor(64) as pool:
            cluster.platform.restore_store(age_s=1.0)
            for _ in range(60):
                for daemon in cluster.daemons:
                    pool.submit(send, daemon)
                time.sleep(0.025)
        assert not unanswered, (len(unanswered), unanswered[:3])


def test_edge_does_not_complete_a_stream_whose_runner_crashed_between_two_events() -> None:
    """Crashes a runner under streams without a length: a reset must not look like their end."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        platform = cluster.platform
        platform.work_s = 0.1
        for endpoint in platform.endpoints.values():
            endpoint.faults.stream_framing = StreamFraming.UNTIL_CLOSE
        with ThreadPoolExecutor(16) as pool:
            results = [pool.submit(cluster.daemons[0].send, "draft") for _ in range(16)]
            time.sleep(0.35)
            for name in ("r0", "r1"):
                runner = platform.endpoints[name]
                platform.run_on_loop(lambda: platform.loop.create_task(runner.crash(0.3)))
            violations = [found for result in results
                          if (found := cluster.find_violation(result.result()))]
        assert not violations, violations
