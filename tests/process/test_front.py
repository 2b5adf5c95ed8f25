"""The HTTP server for callers: thousands of idle connections, and requests with invalid framing."""

from __future__ import annotations

import re
import resource
import socket
from pathlib import Path

from fixture import pay, start_cluster
from local_cluster import Cluster

IDLE_CONNECTIONS = 4_000
DESCRIPTORS = 2 * IDLE_CONNECTIONS + 1_000  # Limit of this process, which the daemon inherits.
MEMORY_LIMIT_KB = 60 * 1_024


def connect(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=20)


def memory_kb(pid: int) -> int:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1))


def test_payment_beside_idle_connections() -> None:
    """Sends a payment while 4,000 connections are open without a request.

    Idle connections must not occupy threads or much memory, or one client could block all others.
    """
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    assert hard == resource.RLIM_INFINITY or hard >= DESCRIPTORS, (
        f"the hard limit of {hard} descriptors is below {DESCRIPTORS}")
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    with Cluster() as cluster:
        daemons = start_cluster(cluster, runners=0, ledgers=1, daemons=1)
        idle = [connect(daemons[0].addresses["caller"]) for _ in range(IDLE_CONNECTIONS)]
        answer = pay(daemons[0], "beside-idle")
        assert answer.status == 200, answer
        assert memory_kb(daemons[0].popen.pid) < MEMORY_LIMIT_KB
        for connection in idle:
            connection.close()


def test_unsound_framing_is_refused() -> None:
    """Sends requests whose body length is ambiguous or invalid.

    The daemon must answer once with 400. If it read on, the bytes of the body could be run as a
    second request.
    """
    cases = {
        "negative length": "Content-Length: -5\r\n",
        "two lengths": "Content-Length: 5\r\nContent-Length: 6\r\n",
        "length and chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "no number": "Content-Length: five\r\n",
    }
    with Cluster() as cluster:
        daemons = start_cluster(cluster, runners=0, ledgers=1, daemons=1)
        for name, fields in cases.items():
            with connect(daemons[0].addresses["caller"]) as connection:
                connection.sendall(
                    ("POST /services/ledger/payments HTTP/1.1\r\nHost: h\r\n"
                     "Authorization: Bearer families-key\r\nIdempotency-Key: k\r\n"
                     f"{fields}\r\nhello").encode())
                answer = b""
                while chunk := connection.recv(4096):
                    answer += chunk
                assert answer.startswith(b"HTTP/1.1 400"), (name, answer)
                assert answer.count(b"HTTP/1.1") == 1, (name, answer)
