"""Clients and endpoints that read slowly, at edge daemons as processes.

Guards against a daemon whose memory grows with what slow readers leave unread until the kernel ends
it, and against one that cuts off readers while it has room, blames endpoints for them or makes an
answer that it has cut off look complete.

As a program, it runs the large version: 2,000 callers at a daemon of 160 MB for some time.
"""

from __future__ import annotations

import json
import resource
import socket
import statistics
import sys
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Optional

from edge_cluster import Daemon, EdgeCluster, Result
from test_endless_answers import limit_lines, peak_memory_mb

TOKEN_ROUTE = {"host": "h.example", "priority": 1, "maxAttempts": 2, "timeoutMs": 120_000,
               "name": "tokens", "prefix": "/tokens/", "kind": "streaming", "backend": "plain",
               "targetLatencyMs": 30_000, "resumable": False, "gapAimMs": 30_000}
DESCRIPTORS = 12_000
LAST_CHUNK = b"0\r\n\r\n"


class SlowCallers:
    """Callers that each ask for a stream and read some bytes of it in each second."""

    def __init__(self, daemon: Daemon, count: int, bytes_per_s: int = 1024,
                 spacing_s: float = 0.0) -> None:
        self.daemon, self.bytes_per_s = daemon, bytes_per_s
        self.sockets: dict[socket.socket, bytes] = {}  # With the last bytes read.
        self.received = 0
        self.whole, self.cut, self.failed = 0, 0, 0  # Callers whose answer has ended, by its end.
        self.stopped = threading.Event()
        for _ in range(count):
            self._open()
            time.sleep(spacing_s)
        self.thread = threading.Thread(target=self._read)
        self.thread.start()

    def _open(self) -> None:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(10)
        caller.connect(("127.0.0.1", self.daemon.front_port))
        caller.sendall(f"GET /tokens/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
                       f"{uuid.uuid4().hex[:16]}\r\nX-Deadline-Ms: 120000\r\n\r\n".encode())
        caller.setblocking(False)
        self.sockets[caller] = b""

    def _read(self) -> None:
        while not self.stopped.wait(1.0):
            for caller in list(self.sockets):
                try:
                    data = caller.recv(self.bytes_per_s)
                except BlockingIOError:
                    continue
                except OSError:
                    data = b""
                self.received += len(data)
                if data.startswith(b"HTTP/1.1 502"):
                    self.failed += 1
                    self.sockets.pop(caller)
                    caller.close()
                elif not data:
                    tail = self.sockets.pop(caller)
                    self.whole += tail.endswith(LAST_CHUNK)
                    self.cut += not tail.endswith(LAST_CHUNK)
                    caller.close()
                else:
                    self.sockets[caller] = (self.sockets[caller] + data)[-len(LAST_CHUNK):]

    def close(self) -> None:
        self.stopped.set()
        self.thread.join()
        for caller in self.sockets:
            caller.close()


def unread_bytes(port: int) -> int:
    """Returns the bytes that the kernel holds unread of the connections of a daemon to a port."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[2].split(":")[1], 16) == port:
            total += int(fields[4].split(":")[1], 16)
    return total


def readers_state(daemon: Daemon) -> dict:
    return json.loads(daemon.fetch("/state"))["readers"]


def check_no_blame(daemon: Daemon) -> None:
    """Checks that no endpoint is blamed, neither in its health nor in crash reports."""
    for endpoint in json.loads(daemon.fetch("/state"))["runners"]:
        assert endpoint["failure_share"] == 0, endpoint
    log = daemon.log.read_text()
    assert '"event":"request_suspected"' not in log
    assert '"event":"attempt_failed"' not in log


def fast_call_times_s(daemon: Daemon, seconds: float) -> list[float]:
    """Returns the times of small requests that are sent one after the other."""
    times, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        result = daemon.send("check")
        assert result.is_complete, result
        times.append(result.duration_s)
        time.sleep(0.01)
    return times


def token_stream(daemon: Daemon) -> Result:
    return daemon.send("tokens", timeout_s=20)


def set_tokens(cluster: EdgeCluster, events: int, size: int) -> None:
    def apply() -> None:
        for endpoint in cluster.platform.endpoints.values():
            endpoint.faults.token_events, endpoint.faults.token_bytes = events, size

    cluster.platform.run_on_loop(apply)
    cluster.platform.configure(routes=[TOKEN_ROUTE])


def measure_slow_callers(count: int, memory_mb: Optional[int], seconds: float,
                         stream_bytes: int = 4_000_000) -> dict:
    """Lets callers read slowly for some time and returns what was measured."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(DESCRIPTORS, hard), hard))
    settings = "descriptor_limit: 8192\n"
    settings += f"memory_limit: {memory_mb}\n" if memory_mb else ""
    with EdgeCluster(daemons=1, models=2, settings=settings) as cluster:
        daemon = cluster.daemons[0]
        set_tokens(cluster, stream_bytes // 1000, 1000)
        cluster.wait_until(lambda: token_stream(daemon).status == 200, "the route")
        before_s = statistics.median(fast_call_times_s(daemon, min(seconds, 3)))
        idle_mb = peak_memory_mb(daemon)
        # The stand-in serves all streams in one thread, so they are begun one after the other.
        callers = SlowCallers(daemon, count, spacing_s=0.004)
        unread = [0]

        def watch() -> None:
            port_of = [e.http_server.port for e in cluster.platform.endpoints.values()]
            while not callers.stopped.wait(0.2):
                unread[0] = max(unread[0], sum(unread_bytes(port) for port in port_of))

        watcher = threading.Thread(target=watch)
        watcher.start()
        try:
            time.sleep(count / 500)
            during_s = statistics.median(fast_call_times_s(daemon, seconds))
            stream = token_stream(daemon)
            state = readers_state(daemon)
            del state["largest"]
            check_no_blame(daemon)
            open_callers = len(callers.sockets)
        finally:
            callers.close()
            watcher.join()
        time.sleep(0.3)
        return {"peak_mb": peak_memory_mb(daemon), "idle_mb": idle_mb,
                "kernel_unread_peak_mb": unread[0] / 2**20, "before_s": before_s,
                "during_s": during_s, "open": open_callers, "cut": callers.cut,
                "whole": callers.whole, "received": callers.received,
                "stream_ok": stream.status == 200 and len(stream.body) > stream_bytes * 0.9,
                "stream_s": stream.duration_s, "state": state,
                "lines": limit_lines(daemon, "reader_ended")}


def test_edge_keeps_slow_callers_within_its_memory() -> None:
    """Lets 250 callers leave streams of 4 MB unread at a daemon of 48 MB, whose budget is 19 MB.

    Backpressure has to keep all of them connected, and fast callers must not notice them.
    """
    measured = measure_slow_callers(250, 48, 3.0)
    figures = {name: value for name, value in measured.items() if name != "lines"}
    print(figures, flush=True)
    assert measured["peak_mb"] < 48, figures
    assert measured["cut"] == 0 and measured["open"] == 250 and not measured["lines"], figures
    assert 0 < measured["state"]["held_peak"] <= measured["state"]["budget"], figures
    assert measured["stream_ok"], figures
    assert measured["during_s"] < 2 * measured["before_s"] + 0.02, figures


def test_edge_ends_the_readers_that_hold_most_over_its_budget() -> None:
    """Lets 80 callers leave events of 400 kB each unread: over 32 MB at a budget of 13 MB.

    A pause cannot help there. Enough callers must be cut off, their answers must not look complete,
    and endpoints must not be blamed.
    """
    with EdgeCluster(daemons=1, models=2, settings="memory_limit: 32\n") as cluster:
        daemon = cluster.daemons[0]
        set_tokens(cluster, 2, 400_000)
        cluster.wait_until(lambda: token_stream(daemon).status == 200, "the route")
        callers = SlowCallers(daemon, 80, 4096, 0.02)
        try:
            cluster.wait_until(lambda: 10 < readers_state(daemon)["ended"] ==
                               callers.cut + callers.failed, "callers that are cut off", 15)
            state = readers_state(daemon)
            assert state["held"] <= state["budget"], state
            lines = limit_lines(daemon, "reader_ended")
            counts = (len(lines), state["ended"], callers.cut, callers.failed)
            print(f"log lines, readers ended, cut off, answered with 502: {counts}", flush=True)
            assert len(lines) == state["ended"] and callers.cut > 10, counts
            assert callers.whole == 0 and len(callers.sockets) > 10, len(callers.sockets)
            for line in lines:
                assert line["id"] and line["bytes"] > line["share"] > 0, line
                assert line["side"] in ("client", "none"), line
                assert line["budget"] == state["budget"], line
            assert token_stream(daemon).status == 200
            check_no_blame(daemon)
            assert "rhubarbtrail_readers_ended " in daemon.fetch("/metrics")
        finally:
            callers.close()
        assert peak_memory_mb(daemon) < 48
        cluster.wait_until(lambda: readers_state(daemon)["held"] < 200_000, "the release", 5)


def post_at_once(daemon: Daemon, count: int, body_bytes: int) -> list[Result]:
    body = b"x" * body_bytes
    with ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda _: daemon.send("pay", body=body, timeout_s=4.0),
                             range(count)))


def test_edge_turns_from_an_endpoint_that_does_not_read() -> None:
    """Lets one of two endpoints read nothing while 16 requests of 900 kB come at once.

    Only as many may go there as the bound of bytes in flight allows, three; the others must be
    answered by the other endpoint.
    """
    with EdgeCluster(daemons=1, models=2, settings="memory_limit: 64\n") as cluster:
        daemon = cluster.daemons[0]
        assert daemon.send("pay").is_complete
        cluster.platform.endpoints["p0"].http_server.reads = False
        results = post_at_once(daemon, 16, 900_000)
        complete = sum(result.is_complete for result in results)
        violations = [v for v in map(cluster.find_violation, results) if v]
        assert not violations, violations
        assert complete >= 13, [result.status for result in results]
        assert '"event":"request_suspected"' not in daemon.log.read_text()


def test_edge_survives_when_no_endpoint_reads() -> None:
    """Lets the only endpoint read nothing while 40 requests of 900 kB come at once: 36 MB.

    The daemon must stay within its memory, tell the truth about requests that it ends, not blame
    the endpoint, and go on when the endpoint reads again.
    """
    with EdgeCluster(daemons=1, models=2, plain=1, settings="memory_limit: 32\n") as cluster:
        daemon = cluster.daemons[0]
        assert daemon.send("pay").is_complete
        server = cluster.platform.endpoints["p0"].http_server
        server.reads = False
        results = post_at_once(daemon, 40, 900_000)
        assert all(result.status in (502, 503) for result in results), [
            result.status for result in results]
        assert not cluster.platform.runs.get(results[0].id)
        state = readers_state(daemon)
        lines = limit_lines(daemon, "reader_ended")
        assert state["ended"] == len(lines) > 0, (state["ended"], len(lines))
        assert {line["side"] for line in lines} <= {"endpoint", "waiting", "upload"}, lines
        assert '"event":"request_suspected"' not in daemon.log.read_text()
        assert peak_memory_mb(daemon) < 64, peak_memory_mb(daemon)
        server.reads = True
        cluster.wait_until(lambda: daemon.send("pay").is_complete, "an answer", 5)


if __name__ == "__main__":
    for memory in [int(item) for item in sys.argv[2:]] or [160]:
        print(f"memory_limit {memory or 'not set'}:", flush=True)
        figures = measure_slow_callers(int(sys.argv[1]) if len(sys.argv) > 1 else 2000,
                                       memory or None, 20.0)
        print({name: value for name, value in figures.items() if name != "lines"}, flush=True)
        print(f"readers ended: {len(figures['lines'])}", flush=True)
