"""Text that is not valid in what clients send, on edge daemons as processes.

Header fields may hold any bytes. A daemon that puts them into a row, a message or an order as they are
can end there, and take the requests of all other clients with it.
"""

from __future__ import annotations

import http.client
import socket
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import Daemon, EdgeCluster

# Latin-1, a lone continuation byte, an overlong form, a surrogate, a cut sequence, a byte beyond UTF-8, a
# control character, a text that is too long, and all of the first at once.
INVALID = (b"a\xf1o", b"\x80", b"\xc0\xaf", b"\xed\xa0\x80", b"a\xe2\x82", b"\xff", b"a\x01", b"a" * 400,
           b"\xf1\x80\xc0\xff")
# The fields that a daemon reads as text, and where in them the text stands.
FIELDS = ("X-Model: %s", "X-Model: m0/%s", "X-Request-Id: %s", "Last-Event-Id: %s", "Resumes: %s")
# Other fields that may hold it, and do not make a request invalid.
OTHER_FIELDS = ("X-Prompt-Prefix: %s:60,5:40", "X-Token-Usage: %s", "X-Deadline-Ms: %s",
                "Authorization: Bearer %s", "X-Unknown: %s")


def send_raw(daemon: Daemon, line: str, value: bytes) -> int:
    """Sends a stream request with this header line, and returns the status of the answer."""
    names = {"X-Request-Id": uuid.uuid4().hex, "X-Model": "m0", "X-Token-Usage": "100,20",
             "X-Prompt-Prefix": "1:60,2:40", "X-Deadline-Ms": "6000"}
    name, text = line.split(": ")
    names.pop(name, None)
    head = "".join(f"{key}: {item}\r\n" for key, item in names.items())
    before, after = text.split("%s")
    odd = f"{name}: {before}".encode() + value + after.encode()
    with socket.create_connection(("127.0.0.1", daemon.front_port), timeout=8) as client:
        client.sendall(b"POST /chat/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n" +
                       head.encode() + odd + b"\r\n\r\nhi")
        answer = http.client.HTTPResponse(client)
        answer.begin()
        answer.read()
        return answer.status


def test_edge_refuses_text_that_is_not_valid() -> None:
    """Sends each bad value in each field to each daemon in turn, the dispatcher too."""
    with EdgeCluster(daemons=3, runners=2, models=2) as cluster:
        processes = [daemon.popen for daemon in cluster.daemons]
        for daemon in cluster.daemons:
            for line in FIELDS:
                statuses = [send_raw(daemon, line, value) for value in INVALID]
                assert statuses == [400] * len(INVALID), (daemon.name, line, statuses)
            for line in OTHER_FIELDS:
                for value in INVALID[:3]:
                    send_raw(daemon, line, value)
        time.sleep(1)  # Orders and messages that it may have caused are out.
        for daemon in cluster.daemons:
            assert daemon.send("chat").is_complete
            assert daemon.send("pay").is_complete
        assert [daemon.popen for daemon in cluster.daemons] == processes
        assert all(process.poll() is None for process in processes)
        orders = [order for endpoint in cluster.platform.endpoints.values()
                  for order in getattr(endpoint, "orders", [])]
        assert not [order for order in orders if order.get("adapter")], orders


def test_edge_describes_its_state_while_odd_requests_are_open() -> None:
    """Asks for the state, whose text may hold what clients sent, while such a request waits."""
    with EdgeCluster(daemons=1, runners=1, models=1) as cluster:
        daemon = cluster.daemons[0]
        cluster.platform.work_s = 1.5
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(send_raw, daemon, "X-Request-Id: %s", INVALID[0])
            time.sleep(0.5)
            connection = http.client.HTTPConnection("127.0.0.1", daemon.metrics_port, timeout=5)
            connection.request("GET", "/state")
            assert connection.getresponse().status == 200
            pending.result()
        cluster.platform.work_s = 0.05
        assert daemon.send("chat").is_complete
