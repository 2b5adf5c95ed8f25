"""Sound endpoints that fall silent for a second or two and then go on, on edge daemons as processes.

Silence ends no answer: an answer may end early only at the client's deadline or the route's timeout.
"""

from __future__ import annotations

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable, Optional

from edge_cluster import EdgeCluster, Result
from standin import Silence, SilentAt

STREAMS = ("chat", "draft")
PLAIN = ("pay", "check")
# Longer than the time after which the daemon looks for another endpoint for a stream, four times the
# longest pause between events that is on time.
SILENCE_S = 1.6


def fall_silent(cluster: EdgeCluster, silence: Optional[Silence], service: str = "") -> None:
    """Gives each endpoint, or each of one service, a silence of its own in its answers."""
    for endpoint in cluster.platform.endpoints.values():
        if service in ("", endpoint.service):
            endpoint.faults.silence = silence and Silence(**vars(silence))


def send_at_once(cluster: EdgeCluster, kinds: tuple[str, ...],
                 meanwhile: Callable[[], None] = lambda: None, timeout_s: float = 8.0,
                 ) -> list[Result]:
    """Sends four requests of each kind at once and does something else while they are in progress."""
    with ThreadPoolExecutor(4 * len(kinds)) as pool:
        pending = [pool.submit(cluster.daemons[number % len(cluster.daemons)].send, kind,
                               timeout_s=timeout_s)
                   for number in range(4) for kind in kinds]
        meanwhile()
        return [future.result() for future in pending]


def check_all_complete(cluster: EdgeCluster, results: list[Result], about: object) -> None:
    for result in results:
        assert result.is_complete, (about, result)
        violation = cluster.find_violation(result)
        assert violation is None, (about, violation)


def test_edge_ends_no_answer_because_its_endpoint_is_silent() -> None:
    """Lets all endpoints fall silent in each answer, at every point of it.

    A stream that was resumed once must not break off when its second endpoint is silent too.
    """
    with EdgeCluster(models=2) as cluster:
        for at in SilentAt:
            fall_silent(cluster, Silence(at, SILENCE_S), "llm")
            fall_silent(cluster, Silence(at, 0.8), "plain")
            check_all_complete(cluster, send_at_once(cluster, STREAMS + PLAIN), at)


def test_edge_waits_for_a_silent_endpoint_when_it_may_not_repeat() -> None:
    """Lets endpoints fall silent while the daemon has no retry left to spend."""
    with EdgeCluster(daemons=1, models=2, retry_slack=0, retry_ratio=0.0) as cluster:
        for at in SilentAt:
            fall_silent(cluster, Silence(at, SILENCE_S), "llm")
            fall_silent(cluster, Silence(at, 0.8), "plain")
            results = send_at_once(cluster, STREAMS + PLAIN)
            check_all_complete(cluster, results, at)
            assert all(cluster.run_count(result) == 1 for result in results), (at, results)


def test_edge_waits_for_a_silent_endpoint_when_there_is_no_other() -> None:
    """Lets the only endpoint of each service fall silent in each answer."""
    with EdgeCluster(runners=1, plain=1, models=2) as cluster:
        for at in SilentAt:
            fall_silent(cluster, Silence(at, SILENCE_S), "llm")
            fall_silent(cluster, Silence(at, 0.8), "plain")
            check_all_complete(cluster, send_at_once(cluster, STREAMS + PLAIN), at)


def test_edge_goes_on_at_another_endpoint_when_one_is_silent() -> None:
    """Lets one runner fall silent for longer than its clients wait.

    A stream that may be resumed goes on at the other runner, without a gap and without a copy.
    """
    for at in (SilentAt.AFTER_HEAD, SilentAt.BETWEEN_EVENTS, SilentAt.INSIDE_EVENT):
        with EdgeCluster(models=2) as cluster:
            cluster.platform.endpoints["r0"].faults.silence = Silence(at, 20.0)
            results = send_at_once(cluster, ("chat",))
            check_all_complete(cluster, results, at)
            moved = [result for result in results if cluster.run_count(result) > 1]
            assert moved, (at, "no stream began at the silent runner")
            assert all(result.duration_s < 6.0 for result in results), (at, results)
    with EdgeCluster(models=2) as cluster:
        cluster.platform.endpoints["p0"].faults.silence = Silence(SilentAt.BEFORE_HEAD, 20.0)
        results = send_at_once(cluster, ("check",), timeout_s=4.0)
        check_all_complete(cluster, results, "check")
        assert any(cluster.run_count(result) > 1 for result in results), results
        assert all(result.duration_s < 2.0 for result in results), results


def test_edge_keeps_requests_whose_endpoints_are_silent_beside_changes() -> None:
    """Lets all endpoints fall silent while the configuration and the settings file change.

    Requests that are in progress keep the route and the limits with which they were accepted.
    """
    with EdgeCluster(models=2) as cluster:
        platform = cluster.platform

        def signal_all(number: int) -> None:
            for daemon in cluster.daemons:
                daemon.signal(number)

        def several() -> None:
            for number in range(5):
                platform.configure(every_route={"timeoutMs": 9000 + number})
                signal_all(signal.SIGHUP)
                time.sleep(0.1)

        changes: dict[str, Callable[[], None]] = {
            "routes gone": lambda: platform.configure(
                without=STREAMS + PLAIN,
                routes=[{"name": "other", "host": "h.example", "prefix": "/other/", "priority": 1,
                         "kind": "idempotent", "backend": "plain", "maxAttempts": 2,
                         "timeoutMs": 8000, "targetLatencyMs": 200}]),
            "routes at the other service": lambda: platform.configure(
                every_route={"backend": "plain"}),
            "timeouts": lambda: platform.configure(every_route={"timeoutMs": 500}),
            "idle limit": lambda: platform.configure(limits={"idleTimeoutMs": 200}),
            "settings": lambda: signal_all(signal.SIGHUP),
            "several": several,
        }

        def change_meanwhile(change: Callable[[], None]) -> Callable[[], None]:
            def run() -> None:
                time.sleep(0.4)
                change()
                time.sleep(0.6)
                change()
            return run

        for at in (SilentAt.BEFORE_HEAD, SilentAt.BETWEEN_EVENTS):
            for name, change in changes.items():
                fall_silent(cluster, Silence(at, SILENCE_S), "llm")
                fall_silent(cluster, Silence(at, 0.8), "plain")
                results = send_at_once(cluster, STREAMS + PLAIN, change_meanwhile(change))
                check_all_complete(cluster, results, (at, name))
                fall_silent(cluster, None)
                platform.configure()
                cluster.wait_until(lambda: all(
                    daemon.send(kind).is_complete for daemon in cluster.daemons
                    for kind in STREAMS + PLAIN), "every kind of request after the change")


def test_edge_stops_without_ending_answers_of_silent_endpoints() -> None:
    """Stops a daemon, with a SIGHUP and a new configuration beside, while its endpoints are silent."""
    with EdgeCluster(grace_s=8.0, models=2) as cluster:
        for at in SilentAt:
            fall_silent(cluster, Silence(at, SILENCE_S), "llm")
            fall_silent(cluster, Silence(at, 0.8), "plain")
            stopped = cluster.daemons[0]

            def stop() -> None:
                time.sleep(0.3)
                stopped.signal(signal.SIGHUP)
                cluster.platform.configure()
                stopped.signal(signal.SIGTERM)

            check_all_complete(cluster, send_at_once(cluster, STREAMS + PLAIN, stop), at)
            assert stopped.popen.wait(10) == 0
            stopped.start()
            cluster.wait_until(stopped.is_ready, "the restarted daemon")


def test_edge_does_not_take_a_slow_client_for_a_silent_endpoint() -> None:
    """Reads a long stream slowly, so that the daemon stops reading from the endpoint for a while.

    The endpoint is not silent then, and the stream must not be resumed elsewhere.
    """
    with EdgeCluster(daemons=1, models=2) as cluster:
        cluster.platform.event_padding = 2_000_000
        done = threading.Event()
        results: list[Result] = []

        def read_slowly() -> None:
            results.append(cluster.daemons[0].send("chat", pause_before_body_s=3.0))
            done.set()

        threading.Thread(target=read_slowly, daemon=True).start()
        assert done.wait(20), "the stream did not end"
        assert results[0].is_complete, results[0].status
        assert cluster.run_count(results[0]) == 1, cluster.platform.runs[results[0].id]
