"""The product's own front under callers that hold connections or send unsound requests."""

from __future__ import annotations

import socket

from fixture import pay, start
from local_cluster import Cluster

IDLE_CONNECTIONS = 1_500


def connect(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=20)


def test_payment_beside_idle_connections() -> None:
    with Cluster() as cluster:
        daemons = start(cluster, runners=0, ledgers=1, daemons=1)
        idle = [connect(daemons[0].addresses["caller"]) for _ in range(IDLE_CONNECTIONS)]
        answer = pay(daemons[0], "beside-idle")
        assert answer.status == 200, answer
        for connection in idle:
            connection.close()


def test_unsound_framing_is_refused() -> None:
    cases = {
        "negative length": "Content-Length: -5\r\n",
        "two lengths": "Content-Length: 5\r\nContent-Length: 6\r\n",
        "length and chunks": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "no number": "Content-Length: five\r\n",
    }
    with Cluster() as cluster:
        daemons = start(cluster, runners=0, ledgers=1, daemons=1)
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
