"""Answers and messages that never end, on edge daemons as processes.

Guards against a daemon that reads such bytes for as long as they come: its memory grows until the
kernel ends the process, a request waits without need, and a call that other work depends on never
ends. Every test checks that the daemon closes the connection in time, keeps its memory within a
bound, logs what it did, tells clients the truth and serves the next request.
"""

from __future__ import annotations

import json
import re
import socket
import struct
import time
from pathlib import Path
from typing import Optional

from edge_cluster import Daemon, EdgeCluster, Result
from standin import CallKind, Endless, EndlessPart

# Largest growth of a daemon's memory, by its peak. One answer may hold up to 16 MiB.
MEMORY_BOUND_MB = 96
# Time until the daemon has closed the connection of an endless answer to a request: the time limit
# of the route, 2 s, and some for a busy machine. It is shorter where the answer is fast.
CLOSE_BOUND_S = 5.0
# The same for calls for reports, orders and calls of the store.
OWN_CALL_CLOSE_BOUND_S = 6.0
FAST_BOUND_S = 1.7  # Below the time limit of the route.


def peak_memory_mb(daemon: Daemon) -> float:
    assert daemon.popen is not None
    status = Path(f"/proc/{daemon.popen.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


def limit_lines(daemon: Daemon, event: str = "answer_limit_exceeded") -> list[dict]:
    return [json.loads(line) for line in daemon.log.read_text().splitlines()
            if f'"event":"{event}"' in line and line.endswith("}")]


def set_endless(cluster: EdgeCluster, endless: Optional[Endless], *names: str) -> None:
    def apply() -> None:
        for name in names:
            cluster.platform.endpoints[name].faults.endless = endless

    cluster.platform.run_on_loop(apply)


def check_closed(cluster: EdgeCluster, endless: Endless, bound_s: float) -> None:
    cluster.wait_until(lambda: endless.answer_times_s and not endless.open_answers,
                       f"the end of the answer without end in its {endless.part.value}",
                       bound_s + 1)
    assert max(endless.answer_times_s) < bound_s, (endless.part, endless.answer_times_s)


def check_truthful(cluster: EdgeCluster, result: Result, statuses: tuple[int, ...]) -> None:
    assert result.status in statuses, (statuses, result)
    violation = cluster.find_violation(result)
    assert violation is None, violation


def check_request(cluster: EdgeCluster, endless: Endless, kind: str, status: int,
                  bound_s: float) -> None:
    """Sends a request to endpoints that all send an answer without end, and then another one."""
    names = ("r0", "r1") if kind in ("chat", "draft") else ("p0", "p1")
    daemon = cluster.daemons[0]
    set_endless(cluster, endless, *names)
    result = daemon.send(kind, timeout_s=3.0)
    check_truthful(cluster, result, (status,))
    assert result.duration_s < bound_s, (endless.part, result)
    check_closed(cluster, endless, bound_s)
    set_endless(cluster, None, *names)
    check_truthful(cluster, daemon.send(kind), (200,))


def check_parts(kind: str, *parts: EndlessPart) -> None:
    """Checks fast answers without end in each of the parts, and their log lines."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon = cluster.daemons[0]
        assert daemon.send(kind).is_complete
        memory_mb = peak_memory_mb(daemon)
        for count, part in enumerate(parts, start=1):
            check_request(cluster, Endless(part), kind, 502, FAST_BOUND_S)
            growth_mb = peak_memory_mb(daemon) - memory_mb
            assert growth_mb < MEMORY_BOUND_MB, (part, growth_mb)
            cluster.wait_until(lambda: len(limit_lines(daemon)) == count, "the log line", 5)
            line = limit_lines(daemon)[-1]
            assert line["value"] > line["limit"] > 0 and line["address"], line


def test_edge_ends_heads_without_end() -> None:
    check_parts("pay", EndlessPart.HEAD, EndlessPart.INTERIM_HEADS)


def test_edge_ends_a_slow_head_without_end_at_the_deadline() -> None:
    with EdgeCluster(daemons=1, models=2) as cluster:
        check_request(cluster, Endless(EndlessPart.HEAD, is_slow=True), "pay", 502, CLOSE_BOUND_S)


def test_edge_ends_bodies_without_end() -> None:
    check_parts("pay", EndlessPart.BODY, EndlessPart.FOREIGN_BODY)


def test_edge_survives_an_announced_length_beyond_its_memory() -> None:
    """Guards against reserving memory for the length in a head, which ends the process."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon = cluster.daemons[0]
        for kind in ("pay", "draft"):
            set_endless(cluster, Endless(EndlessPart.ANNOUNCED_BODY), "p0", "p1", "r0", "r1")
            result = daemon.send(kind, timeout_s=3.0)
            assert result.status != 200, result
            set_endless(cluster, None, "p0", "p1", "r0", "r1")
            cluster.wait_until(lambda: daemon.send("check").is_complete, "an answer", 5)
        assert daemon.popen is not None and daemon.popen.poll() is None


def test_edge_ends_chunk_framing_without_end() -> None:
    check_parts("pay", EndlessPart.CHUNK_EXTENSION, EndlessPart.TRAILER)


def test_edge_ends_events_without_end() -> None:
    check_parts("draft", EndlessPart.EVENT, EndlessPart.COMMENTS)


def test_edge_ends_unusable_answers_without_end_at_once() -> None:
    """Lets the head show that the answer is of no use, and the body come slowly without end.

    After a refusal the client must get 503, which states that the request has not run.
    """
    with EdgeCluster(daemons=1, models=2) as cluster:
        for part, status in ((EndlessPart.UNSIGNED_BODY, 502), (EndlessPart.REFUSAL_BODY, 503)):
            check_request(cluster, Endless(part, is_slow=True), "pay", status, FAST_BOUND_S)


def test_edge_repeats_a_request_after_an_answer_without_end() -> None:
    """Lets one of two endpoints send answers without end: repeatable requests use the other one."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon = cluster.daemons[0]
        for part, kind, name in ((EndlessPart.UNSIGNED_BODY, "check", "p0"),
                                 (EndlessPart.BODY, "check", "p1"),
                                 (EndlessPart.EVENT, "chat", "r0")):
            endless = Endless(part, is_slow=part is EndlessPart.UNSIGNED_BODY)
            set_endless(cluster, endless, name)
            for _ in range(40):
                result = daemon.send(kind, timeout_s=4.0)
                assert result.is_complete, (part, result)
                if endless.answer_times_s:
                    break
            check_closed(cluster, endless, FAST_BOUND_S)
            set_endless(cluster, None, name)


def test_edge_passes_on_large_events_and_comments() -> None:
    """Guards against limits that end a stream that a sound endpoint may send."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        for name in ("r0", "r1"):
            cluster.platform.endpoints[name].faults.bytes_after_events = (
                b": " + b"x" * (4 << 20) + b"\n\n") * 3
        result = cluster.daemons[0].send("chat")
        assert result.is_complete and len(result.body) > 12 << 20, len(result.body)


def check_runner_calls(call: CallKind) -> None:
    """Lets the runners answer the dispatcher's calls without end, fast and slowly.

    Models that are loaded are served meanwhile, and cold ones are loaded afterwards at the latest.
    """
    with EdgeCluster(daemons=1, models=6) as cluster:
        daemon = cluster.daemons[0]
        memory_mb = peak_memory_mb(daemon)
        for is_slow in (False, True):
            endless = Endless(EndlessPart.BODY, frozenset({call}), is_slow)
            set_endless(cluster, endless, "r0", "r1")
            model = "m5" if is_slow else "m4"
            daemon.send("chat", model, timeout_s=2.0)
            cluster.wait_until(lambda: endless.answer_times_s, f"a call for a {call.value}")
            served = sorted(cluster.platform.endpoints["r0"].models)[0]
            assert daemon.send("chat", served).is_complete, served
            set_endless(cluster, None, "r0", "r1")
            check_closed(cluster, endless, OWN_CALL_CLOSE_BOUND_S)
            cluster.wait_until(lambda: daemon.send("chat", model).is_complete,
                               "an answer of a cold model")
        growth_mb = peak_memory_mb(daemon) - memory_mb
        assert growth_mb < MEMORY_BOUND_MB, growth_mb
        parts = {line["part"] for line in limit_lines(daemon)}
        assert {"body", "time"} <= parts, parts


def test_edge_ends_orders_without_end() -> None:
    check_runner_calls(CallKind.ORDER)


def test_edge_ends_reports_without_end() -> None:
    check_runner_calls(CallKind.REPORT)


def test_edge_ends_store_answers_without_end() -> None:
    """Lets the store answer every call without end, fast and slowly.

    Requests are served meanwhile, and changes are followed afterwards.
    """
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon, store = cluster.daemons[0], cluster.platform.store
        memory_mb = peak_memory_mb(daemon)
        for part, is_slow in ((EndlessPart.BODY, False), (EndlessPart.BODY, True)):
            endless = Endless(part, frozenset({CallKind.STORE}), is_slow)
            cluster.platform.run_on_loop(lambda: setattr(store, "endless", endless))
            cluster.wait_until(lambda: len(endless.answer_times_s) >= 2, "two closed calls", 10)
            assert max(endless.answer_times_s) < OWN_CALL_CLOSE_BOUND_S, endless.answer_times_s
            for kind in ("chat", "pay"):
                result = daemon.send(kind)
                assert result.is_complete, (part, is_slow, result)
            cluster.platform.run_on_loop(lambda: setattr(store, "endless", None))
            check_closed(cluster, endless, OWN_CALL_CLOSE_BOUND_S)
        growth_mb = peak_memory_mb(daemon) - memory_mb
        assert growth_mb < MEMORY_BOUND_MB, growth_mb
        parts = {line["part"] for line in limit_lines(daemon)}
        assert {"body", "time"} <= parts, parts
        route = {"name": "new", "host": "new.example", "prefix": "/", "kind": "idempotent",
                 "backend": "plain", "priority": 1, "maxAttempts": 1, "timeoutMs": 2000}
        cluster.platform.configure(routes=[route])
        cluster.wait_until(lambda: daemon.send("check", Host="new.example").status == 200,
                           "the new route")


def http2_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def open_message(daemon: Daemon) -> socket.socket:
    """Connects as another daemon does, and sends the head of a message."""
    path, host = b"/v1/message", b"peer"
    head = (b"\x83\x86" + b"\x04" + bytes([len(path)]) + path + b"\x01" + bytes([len(host)]) + host)
    connection = socket.create_connection(("127.0.0.1", daemon.link_port), timeout=10)
    connection.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0, b"") +
                       http2_frame(4, 1, 0, b"") + http2_frame(1, 4, 1, head))
    return connection


def test_edge_ends_messages_of_peers_without_end() -> None:
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon = cluster.daemons[0]
        memory_mb = peak_memory_mb(daemon)
        for size, delay_s in ((16 << 10, 0.0), (8, 0.1)):
            started = time.monotonic()
            with open_message(daemon) as connection:
                try:
                    while time.monotonic() < started + 15:
                        connection.sendall(http2_frame(0, 0, 1, b"x" * size))
                        time.sleep(delay_s)
                except OSError:
                    pass
            assert time.monotonic() - started < 10, (size, time.monotonic() - started)
        growth_mb = peak_memory_mb(daemon) - memory_mb
        assert growth_mb < MEMORY_BOUND_MB, growth_mb
        cluster.wait_until(
            lambda: {line["part"] for line in limit_lines(daemon, "message_limit_exceeded")}
            == {"size", "time"}, "the log lines", 5)
        assert daemon.send("chat").is_complete


def test_edge_ends_client_bytes_without_end() -> None:
    """Sends a head and a chunk extension without end to the daemon, as a client."""
    starts = (b"GET / HTTP/1.1\r\nHost: h.example\r\nX-Long: ",
              b"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5;x=")
    with EdgeCluster(daemons=1, models=2) as cluster:
        daemon = cluster.daemons[0]
        memory_mb = peak_memory_mb(daemon)
        for start in starts:
            started = time.monotonic()
            with socket.create_connection(("127.0.0.1", daemon.front_port), timeout=10) as client:
                try:
                    client.sendall(start)
                    while time.monotonic() < started + 3:
                        client.sendall(b"x" * (64 << 10))
                except OSError:
                    pass
            assert time.monotonic() - started < 2.5, start
        cluster.wait_until(
            lambda: {line["part"] for line in limit_lines(daemon, "request_rejected")}
            == {"head", "framing"}, "the log lines", 5)
        growth_mb = peak_memory_mb(daemon) - memory_mb
        assert growth_mb < MEMORY_BOUND_MB, growth_mb
        assert daemon.send("chat").is_complete
