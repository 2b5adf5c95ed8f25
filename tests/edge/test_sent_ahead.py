"""Requests that clients send before the answer to the former one, on edge daemons as processes.

They wait in the receive buffer behind an answer that may take long.
"""

from __future__ import annotations

import signal
import socket
import time

from edge_cluster import EdgeCluster
from standin import Silence, SilentAt
from test_silence import fall_silent


def request(kind: str, request_id: str, deadline_ms: int = 8000, body: bytes = b"") -> bytes:
    """Returns the bytes of a request."""
    method = "GET" if kind == "check" else "POST"
    head = (f"{method} /{kind}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n")
    if kind in ("chat", "draft"):
        head += "X-Model: m0\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: 1:60,2:40\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Client:
    """A connection to a daemon."""

    def __init__(self, cluster: EdgeCluster) -> None:
        self.socket = socket.create_connection(
            ("127.0.0.1", cluster.daemons[0].front_port), timeout=5)

    def read_until(self, end: bytes, seconds: float = 6.0) -> bytes:
        """Reads until the bytes have arrived, the connection ends or the time is over."""
        received = b""
        deadline = time.monotonic() + seconds
        while end not in received and time.monotonic() < deadline:
            self.socket.settimeout(max(0.05, deadline - time.monotonic()))
            try:
                part = self.socket.recv(65536)
            except OSError:
                break
            if not part:
                break
            received += part
        return received


FIRST, SECOND = "aaaa000000000001", "aaaa000000000002"


def test_edge_answers_a_large_request_that_was_sent_ahead() -> None:
    """Sends more than the daemon reads ahead behind a plain request, and behind a stream."""
    for first, body in (("pay", 200_000), ("chat", 100_000)):
        with EdgeCluster(daemons=1, models=2) as cluster:
            fall_silent(cluster, Silence(SilentAt.BETWEEN_EVENTS, 0.8))
            client = Client(cluster)
            client.socket.sendall(request(first, FIRST))
            cluster.wait_until(lambda: cluster.platform.runs[FIRST], "the first run")
            client.socket.sendall(request("pay", SECOND, body=b"x" * body))
            received = client.read_until(f"done {SECOND}".encode())
            assert f"done {SECOND}".encode() in received, received
            assert received.count(b"HTTP/1.1 200") == 2, received


def test_edge_answers_a_request_that_was_sent_ahead_when_it_stops() -> None:
    """Stops the daemon while a request waits behind an answer whose endpoint is silent."""
    with EdgeCluster(daemons=1, grace_s=8.0, models=2) as cluster:
        fall_silent(cluster, Silence(SilentAt.BEFORE_HEAD, 1.6), "plain")
        client = Client(cluster)
        client.socket.sendall(request("pay", FIRST) + request("pay", SECOND))
        cluster.wait_until(lambda: cluster.platform.runs[FIRST], "the first run")
        cluster.daemons[0].signal(signal.SIGTERM)
        received = client.read_until(f"done {SECOND}".encode())
        assert f"done {FIRST}".encode() in received, received
        assert received.count(b"HTTP/1.1 ") == 2, received


def test_edge_counts_the_deadline_of_a_request_that_was_sent_ahead() -> None:
    """Sends a request whose deadline passes while it waits behind another answer.

    It must not run: its client has gone.
    """
    with EdgeCluster(daemons=1, models=2) as cluster:
        fall_silent(cluster, Silence(SilentAt.BEFORE_HEAD, 1.6), "plain")
        client = Client(cluster)
        client.socket.sendall(request("pay", FIRST) + request("pay", SECOND, deadline_ms=1200))
        received = client.read_until(f'"{SECOND}"'.encode(), 3.0)
        assert f"done {FIRST}".encode() in received, received
        assert not cluster.platform.runs[SECOND], received
        assert received.count(b"HTTP/1.1 ") == 2, received


def test_edge_serves_a_request_by_the_configuration_at_its_arrival() -> None:
    """Removes the route of a request that waits behind another answer."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        fall_silent(cluster, Silence(SilentAt.BEFORE_HEAD, 1.6), "plain")
        client = Client(cluster)
        client.socket.sendall(request("pay", FIRST) + request("check", SECOND))
        cluster.wait_until(lambda: cluster.platform.runs[FIRST], "the first run")
        cluster.platform.configure(without=("check",))
        received = client.read_until(f"done {SECOND}".encode(), 5.0)
        assert b"HTTP/1.1 404" not in received, received


def test_edge_runs_nothing_for_a_client_that_closes_behind_its_next_request() -> None:
    """Closes the connection while the first answer is in progress and the next request waits."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        fall_silent(cluster, Silence(SilentAt.BETWEEN_EVENTS, 1.6), "llm")
        client = Client(cluster)
        client.socket.sendall(request("chat", FIRST) + request("chat", SECOND))
        cluster.wait_until(lambda: cluster.platform.runs[FIRST], "the first run")
        client.socket.close()
        time.sleep(2.5)
        assert len(cluster.platform.runs[FIRST]) == 1
        assert not cluster.platform.runs[SECOND]


def test_edge_serves_kept_connections_after_the_idle_limit_is_lowered() -> None:
    """Sends requests on connections that became idle under the former limit."""
    with EdgeCluster(daemons=1, models=2) as cluster:
        clients = [Client(cluster) for _ in range(20)]
        for number, client in enumerate(clients):
            client.socket.sendall(request("pay", f"bbbb{number:012d}"))
            assert b"done" in client.read_until(b"done bbbb%012d" % number)
        cluster.platform.configure(limits={"idleTimeoutMs": 300})
        time.sleep(1.0)
        for number, client in enumerate(clients):
            client.socket.sendall(request("pay", f"cccc{number:012d}"))
            assert b"done" in client.read_until(b"done cccc%012d" % number), number
