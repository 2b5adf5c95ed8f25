"""Endpoints that name a limit on requests in their answers, on edge daemons as processes.

The limit is the requests a second that the endpoint takes from all daemons together, for as long as
its answers name it. Orders and calls for reports count too. All windows are counted anew at each
arrival, whatever the daemons believe.
"""

from __future__ import annotations

import itertools
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Optional

from edge_cluster import EdgeCluster, Result
from standin import CallKind, Endpoint

WINDOW_S = 4.0
REACTION_S = 0.5      # Time after the first answer with the limit from which it must be kept.
LEAST_SHARE = 0.7     # Of the limit that must be used while callers wait.


def most_in_window(endpoint: Endpoint, since: float) -> int:
    """Returns the most arrivals of all kinds in a window that begins at that time or later."""
    arrivals = [at for at in list(endpoint.arrivals) if at >= since]
    return max((sum(at - WINDOW_S < other <= at for other in arrivals) for at in arrivals),
               default=0)


def find_breach(endpoint: Endpoint, since: float, limit: float) -> Optional[str]:
    """Returns how an endpoint got more than one and a half times its limit and 5 more, or None."""
    allowed = 1.5 * WINDOW_S * limit + 5
    most = most_in_window(endpoint, since)
    return f"{endpoint.id} got {most} in {WINDOW_S} s, allowed {allowed}" if most > allowed else None


def count_requests(endpoint: Endpoint, since: float) -> int:
    return sum(at >= since and kind is CallKind.REQUEST
               for at, kind in list(zip(endpoint.arrivals, endpoint.arrival_kinds)))


def name_limit(cluster: EdgeCluster, kind: str, endpoints: tuple[str, ...], limit: float) -> float:
    """Lets endpoints name a limit in answers to clients; returns the time of the last first one."""
    found = [cluster.platform.endpoints[name] for name in endpoints]
    started = time.monotonic()
    for endpoint in found:
        endpoint.faults.limit_value = str(limit)

    def has_named_all() -> bool:
        press(cluster, kind, seconds=0.1, per_second=120.0)
        return all(count_requests(endpoint, started) for endpoint in found)

    cluster.wait_until(has_named_all, f"answers of {endpoints}")
    return time.monotonic()


def press(cluster: EdgeCluster, kind: str, seconds: float, per_second: float,
          timeout_s: float = 2.0, **fields: str) -> list[Result]:
    """Sends requests to all daemons in turn, evenly over the time, and returns their answers."""
    started = time.monotonic()

    def send(number: int) -> Result:
        time.sleep(max(0.0, started + number / per_second - time.monotonic()))
        daemon = cluster.daemons[number % len(cluster.daemons)]
        return daemon.send(kind, f"m{number % 2}", timeout_s=timeout_s, **fields)

    with ThreadPoolExecutor(64) as pool:
        return list(pool.map(send, range(int(seconds * per_second))))


def check_refusals(cluster: EdgeCluster, results: list[Result]) -> None:
    """What cannot be served in time is refused at once, with the time after which it can be."""
    violations = [found for result in results if (found := cluster.find_violation(result))]
    assert not violations, violations
    for result in results:
        assert result.status in (200, 503), result
        if result.status == 503:
            assert result.duration_s < 0.5 and float(result.fields["retry-after"]) > 0.0, result


def test_edge_keeps_to_the_limit_that_endpoints_name() -> None:
    """Lets all endpoints of a service name a limit, under ten times the load that they take."""
    for kind, endpoints in (("chat", ("r0", "r1")), ("check", ("p0", "p1")), ("pay", ("p0", "p1"))):
        with EdgeCluster(daemons=3, models=2) as cluster:
            limited_at = name_limit(cluster, kind, endpoints, 1.0)
            results = press(cluster, kind, seconds=7.0, per_second=20.0)
            for name in endpoints:
                endpoint = cluster.platform.endpoints[name]
                breach = find_breach(endpoint, limited_at + REACTION_S, 1.0)
                assert breach is None, (kind, breach)
                served = count_requests(endpoint, limited_at)
                assert served >= LEAST_SHARE * 7.0, (kind, name, served)
            check_refusals(cluster, results)


def test_edge_serves_elsewhere_what_a_limited_endpoint_does_not_take() -> None:
    """Lets one of two endpoints name a limit: the other one serves what is beyond it."""
    for kind, limited in (("chat", "r0"), ("check", "p0"), ("pay", "p0")):
        with EdgeCluster(daemons=3, models=2) as cluster:
            limited_at = name_limit(cluster, kind, (limited,), 1.0)
            results = press(cluster, kind, seconds=6.0, per_second=10.0)
            assert all(result.is_complete for result in results), (kind, results)
            endpoint = cluster.platform.endpoints[limited]
            breach = find_breach(endpoint, limited_at + REACTION_S, 1.0)
            assert breach is None, (kind, breach)


def test_edge_keeps_to_a_limit_with_orders_and_reports_counted() -> None:
    """Sends requests that need orders to endpoints with a limit: adapters in turn."""
    with EdgeCluster(daemons=2, models=2) as cluster:
        limited_at = name_limit(cluster, "chat", ("r0", "r1"), 1.0)
        end = time.monotonic() + 8.0
        number = 0
        while time.monotonic() < end:
            cluster.daemons[number % 2].send("chat", f"m0/a{1 + number % 3}", timeout_s=1.5)
            number += 1
        for name in ("r0", "r1"):
            breach = find_breach(cluster.platform.endpoints[name], limited_at + REACTION_S, 1.0)
            assert breach is None, breach


def test_edge_uses_an_endpoint_fully_once_it_names_no_limit() -> None:
    """Lets all endpoints of a service name a limit, and answer without it some time later."""
    for kind, endpoints in (("chat", ("r0", "r1")), ("check", ("p0", "p1"))):
        with EdgeCluster(daemons=2, models=2) as cluster:
            name_limit(cluster, kind, endpoints, 1.0)
            press(cluster, kind, seconds=2.0, per_second=10.0)
            for name in endpoints:
                cluster.platform.endpoints[name].faults.limit_value = ""
            press(cluster, kind, seconds=4.0, per_second=4.0)
            results = press(cluster, kind, seconds=2.0, per_second=20.0)
            assert all(result.is_complete for result in results), (kind, results)


def test_edge_follows_a_limit_that_changes_every_second() -> None:
    """Lets runners name limits of 1 and 3 a second in turn, under more load than they take."""
    with EdgeCluster(daemons=3, models=2) as cluster:
        endpoints = [cluster.platform.endpoints[name] for name in ("r0", "r1")]
        limited_at = name_limit(cluster, "chat", ("r0", "r1"), 3.0)
        is_over = threading.Event()

        def change() -> None:
            for number in itertools.count():
                if is_over.wait(1.0):
                    return
                for endpoint in endpoints:
                    endpoint.faults.limit_value = ("1", "3")[number % 2]

        changing = threading.Thread(target=change)
        changing.start()
        press(cluster, "chat", seconds=7.0, per_second=20.0)
        is_over.set()
        changing.join()
        for endpoint in endpoints:
            breach = find_breach(endpoint, limited_at + REACTION_S, 3.0)
            assert breach is None, breach
            assert count_requests(endpoint, limited_at) >= LEAST_SHARE * 7.0, endpoint.id


def test_edge_ignores_limits_that_cannot_be_read() -> None:
    """Lets all plain endpoints name limits that are no decimal numbers."""
    with EdgeCluster(daemons=1) as cluster:
        for value in ("-1", "nan", "1e3", "1, 2", "0x1", "soon"):
            for endpoint in ("p0", "p1"):
                cluster.platform.endpoints[endpoint].faults.limit_value = value
            results = press(cluster, "check", seconds=0.5, per_second=40.0)
            assert all(result.is_complete for result in results), (value, results)
        log = cluster.daemons[0].log.read_text()
        assert '"event":"endpoint_limited"' not in log
        assert log.count('"event":"answer_field_ignored"') == 2


def test_edge_keeps_to_limits_while_its_dispatcher_is_replaced() -> None:
    """Kills, stops or suspends the daemon that counts for the others, under load."""
    for number, kind, endpoints in ((signal.SIGKILL, "chat", ("r0", "r1")),
                                    (signal.SIGTERM, "check", ("p0", "p1")),
                                    (signal.SIGSTOP, "chat", ("r0", "r1"))):
        with EdgeCluster(daemons=3, models=2) as cluster:
            limited_at = name_limit(cluster, kind, endpoints, 1.0)
            time.sleep(1.0)  # All daemons have been told.
            holder = cluster.holder()
            timers = [threading.Timer(2.0, lambda: holder.signal(number)),
                      threading.Timer(5.0, lambda: holder.signal(signal.SIGCONT))]
            for timer in timers:
                timer.start()
            press(cluster, kind, seconds=7.0, per_second=15.0)
            for timer in timers:
                timer.join()
            for name in endpoints:
                breach = find_breach(cluster.platform.endpoints[name], limited_at + REACTION_S, 1.0)
                assert breach is None, (number, kind, breach)


def test_edge_calls_no_limited_endpoint_for_each_connection_that_breaks() -> None:
    """Lets limited runners cut all their streams at once, which daemons look into by calls.

    A call for a report shows whether the runner has crashed. Those calls count against the limit.
    """
    with EdgeCluster(daemons=3, models=2) as cluster:
        cluster.platform.work_s = 0.8  # A stream lasts 5 s.
        limited_at = name_limit(cluster, "chat", ("r0", "r1"), 4.0)
        since = limited_at + REACTION_S
        with ThreadPoolExecutor(1) as pool:
            pressed = pool.submit(press, cluster, "chat", 8.0, 30.0, 6.0)
            time.sleep(6.0)
            for name in ("r0", "r1"):
                endpoint = cluster.platform.endpoints[name]
                endpoint.faults.cut_after_events = 0
            time.sleep(2.0)
            for name in ("r0", "r1"):
                endpoint = cluster.platform.endpoints[name]
                reports = sum(kind is CallKind.REPORT and at >= since for at, kind in
                              zip(endpoint.arrivals, endpoint.arrival_kinds))
                assert reports <= 8, (name, reports)
                breach = find_breach(endpoint, since, 4.0)
                assert breach is None, breach
            pressed.result()


def test_edge_recognises_a_request_that_crashes_limited_endpoints() -> None:
    """Repeats a request that crashes each endpoint that runs it, at endpoints with limits."""
    with EdgeCluster(daemons=3, models=2) as cluster:
        name_limit(cluster, "pay", ("p0", "p1"), 1.0)
        for name in ("p0", "p1"):
            cluster.platform.endpoints[name].faults.crashing_body = b"poison"
        crashes, sent_after = 0, 0
        end = time.monotonic() + 25.0
        while time.monotonic() < end and sent_after < 5:
            daemon = cluster.daemons[crashes % 3]
            result = daemon.send("pay", body=b"poison", timeout_s=2.0)
            crashes += cluster.run_count(result)
            sent_after += 1 if crashes >= 3 else 0
            time.sleep(1.0)
        assert 3 <= crashes <= 5, crashes
