"""Clients that keep requests incomplete, at an edge daemon as a process with small limits.

Guards against a daemon that takes all bytes and connections that such clients offer: the host's
memory or all descriptors are used up, and the process ends or serves nobody. Every test checks that
the process lives, that its memory and descriptors stay within its limits, and that an ordinary
request is answered while the crowd stays connected; no times and no share of served requests.

Memory is the resident memory as on a host, plus what the kernel holds unread of the crowd. For that
the daemon runs without MALLOC_PERTURB_, which makes memory resident that is only reserved.
"""

from __future__ import annotations

import json
import os
import re
import resource
import selectors
import signal
import socket
import threading
import time
import uuid
from pathlib import Path
from typing import Callable, Iterator, Optional, Sequence

from edge_cluster import Daemon, EdgeCluster

RUNS_ALONE = True  # Read by run.py: a crowd is no load for the tests beside it.

MEMORY_MB = 32
CONNECTIONS = 150
BODY_LIMIT = 1 << 20  # Of the configuration in standin.py.
SHORT_BODY = BODY_LIMIT - 2000
# The body's time limit is 30 s: an answer after it shows that the crowd had stopped the daemon.
ANSWER_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.01
Address = tuple[str, int]


def head(path: str = "/pay/x", **fields: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: h.example", f"X-Request-Id: {uuid.uuid4().hex[:16]}",
             "X-Deadline-Ms: 20000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunks(size: int, total: int) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    rest = total % size
    return chunk * (total // size) + (b"%x\r\n%s\r\n" % (rest, b"x" * rest) if rest else b"")


CHUNKED_HEAD = head(Transfer_Encoding="chunked")
# What each client sends at once before it stays connected, by kind.
KINDS: dict[str, bytes] = {
    "large chunks": CHUNKED_HEAD + chunks(65536, SHORT_BODY),
    "small chunks": CHUNKED_HEAD + chunks(64, SHORT_BODY),
    "chunks of a byte": CHUNKED_HEAD + b"1\r\nx\r\n" * 120_000,
    "chunks over the limit": CHUNKED_HEAD + chunks(65536, 2_600_000),
    "announced": head(Content_Length=str(BODY_LIMIT - 1)) + b"x" * SHORT_BODY,
    "announced over the limit": head(Content_Length="10000000000") + b"x" * 200_000,
    "complete": head(Content_Length=str(SHORT_BODY)) + b"x" * SHORT_BODY,
    "complete chunks": CHUNKED_HEAD + chunks(65536, SHORT_BODY) + b"0\r\n\r\n",
    "no body": CHUNKED_HEAD,
    "half a head": CHUNKED_HEAD[:-2] + b"X-Long: " + b"x" * 15_000,
    "long chunk line": CHUNKED_HEAD + b"1;x=" + b"x" * 15_000,
    "trailers": CHUNKED_HEAD + chunks(65536, SHORT_BODY) + b"0\r\nX-Long: " + b"x" * 15_000,
    "expects 100": head(Content_Length=str(BODY_LIMIT - 1), Expect="100-continue")
                   + b"x" * SHORT_BODY,
    "short fields": head(Content_Length="4000")[:-2] + b"a:1\r\n" * 3200 + b"\r\n",
    "sent ahead": b"".join(head(Content_Length="60000") + b"x" * 60_000 for _ in range(15)),
}


class Crowd:
    """Clients that each send some bytes as fast as they are taken and then stay connected.

    Answers are read and discarded, unless reads is false. drip, if given, is sent in turn to each
    client that has sent everything, at intervals.
    """

    def __init__(self, address: Address, payloads: Sequence[bytes], reads: bool = True,
                 drip: bytes = b"", drip_interval_s: float = 0.05) -> None:
        self.reads, self.drip, self.drip_interval_s = reads, drip, drip_interval_s
        self.selector = selectors.DefaultSelector()
        self.unsent: dict[socket.socket, memoryview] = {}
        self.stopped = threading.Event()
        self.closed = 0
        for payload in payloads:
            client = socket.socket()
            if not reads:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            client.connect_ex(address)
            self.selector.register(client, selectors.EVENT_WRITE |
                                   (selectors.EVENT_READ if reads else 0))
            # At once, since a daemon may close connections on which nothing has arrived.
            self.unsent[client] = memoryview(payload)
            self._serve(client, selectors.EVENT_WRITE)
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        dripped_at = time.monotonic()
        while not self.stopped.is_set():
            for key, events in self.selector.select(0.05):
                self._serve(key.fileobj, events)  # type: ignore[arg-type]
            if self.drip and time.monotonic() > dripped_at + self.drip_interval_s:
                dripped_at = time.monotonic()
                for client in [c for c, unsent in self.unsent.items() if not unsent]:
                    self._write(client, memoryview(self.drip))

    def _serve(self, client: socket.socket, events: int) -> None:
        if events & selectors.EVENT_READ:
            try:
                if not client.recv(65536):
                    self._close(client)
                    return
            except BlockingIOError:
                pass
            except OSError:
                self._close(client)
                return
        if events & selectors.EVENT_WRITE:
            unsent = self._write(client, self.unsent[client])
            if unsent is None:
                return
            self.unsent[client] = unsent
            if not unsent:
                if self.reads:
                    self.selector.modify(client, selectors.EVENT_READ)
                else:
                    self.selector.unregister(client)

    def _write(self, client: socket.socket, unsent: memoryview) -> Optional[memoryview]:
        """Returns what is still unsent, or nothing if the connection has ended."""
        try:
            return unsent[client.send(unsent[:262_144]):]
        except BlockingIOError:
            return unsent
        except OSError:
            self._close(client)
            return None

    def _close(self, client: socket.socket) -> None:
        self.closed += not self.stopped.is_set()
        if client in self.selector.get_map():
            self.selector.unregister(client)
        del self.unsent[client]
        client.close()

    def settled(self) -> bool:
        """Whether each client has sent everything, or its connection has ended."""
        return not any(self.unsent.copy().values())

    def close(self) -> None:
        self.stopped.set()
        self.thread.join()
        for client in list(self.unsent):
            self._close(client)


class Watch:
    """Samples the memory and the descriptors of a daemon until it is stopped."""

    def __init__(self, daemon: Daemon) -> None:
        assert daemon.popen is not None
        self.process = Path(f"/proc/{daemon.popen.pid}")
        self.ports = {daemon.front_port, daemon.ready_port, daemon.link_port, daemon.metrics_port}
        self.resident_mb = self.memory_mb = 0.0
        self.descriptors = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _unread_mb(self) -> float:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) in self.ports and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
        return total / 2**20

    def _run(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            try:
                status = (self.process / "status").read_text()
                self.descriptors = max(self.descriptors, len(os.listdir(self.process / "fd")))
            except OSError:
                return  # The process has ended; the test checks that.
            figures = dict(re.findall(r"(VmRSS|VmHWM):\s+(\d+)", status))
            if not figures:
                return
            self.resident_mb = int(figures["VmHWM"]) / 1024
            self.memory_mb = max(self.memory_mb, int(figures["VmRSS"]) / 1024 + self._unread_mb())

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()


def is_alive(daemon: Daemon) -> bool:
    return daemon.popen is not None and daemon.popen.poll() is None


def check_answered(cluster: EdgeCluster, daemon: Daemon) -> None:
    """Checks that an ordinary request, and one for the metrics, are answered."""
    result = daemon.send("pay", body=b"x" * 2000, timeout_s=ANSWER_TIMEOUT_S)
    assert result.is_complete, result
    assert cluster.find_violation(result) is None, result
    assert "rhubarbtrail_front_connections" in daemon.fetch("/metrics")
    assert daemon.is_ready()


def front(daemon: Daemon) -> Address:
    return "127.0.0.1", daemon.front_port


def start_cluster(memory_mb: int = MEMORY_MB, descriptors: int = 4096, daemons: int = 1,
                  **options: int) -> EdgeCluster:
    """Returns a cluster whose daemons have the limits that their settings state."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))  # For the sockets of the crowd.
    cluster = EdgeCluster(daemons=daemons, models=2, overwrites_freed_memory=False,
                          settings=f"memory_limit: {memory_mb}\ndescriptor_limit: {descriptors}\n",
                          **options)
    for daemon in cluster.daemons:
        assert daemon.popen is not None
        resource.prlimit(daemon.popen.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
    return cluster


def play(crowds: Callable[[EdgeCluster], Iterator[Crowd]], memory_mb: int = MEMORY_MB,
         descriptors: int = 4096, **options: int) -> None:
    """Lets crowds come one after the other and checks the daemon after each, and at the end."""
    with start_cluster(memory_mb, descriptors, **options) as cluster:
        daemon = cluster.daemons[0]
        assert daemon.send("pay").is_complete
        watch = Watch(daemon)
        open_crowds: list[Crowd] = []
        try:
            for crowd in crowds(cluster):
                open_crowds.append(crowd)
                end = time.monotonic() + 3  # Clients that are not read never send everything.
                while not crowd.settled() and time.monotonic() < end:
                    time.sleep(0.05)
                assert is_alive(daemon), "the process has ended"
                check_answered(cluster, daemon)
        finally:
            for crowd in open_crowds:
                crowd.close()
            watch.stop()
            state = json.loads(daemon.fetch("/state"))["readers"] if is_alive(daemon) else {}
            print(f"resident {watch.resident_mb:.1f} MB, with unread bytes {watch.memory_mb:.1f} "
                  f"of {memory_mb} MB; descriptors {watch.descriptors} of {descriptors}; "
                  f"counted at most {state.get('held_peak', 0) / 2**20:.1f} of "
                  f"{state.get('budget', 0) / 2**20:.1f} MB, ended {state.get('ended')}, "
                  f"connections ended {[crowd.closed for crowd in open_crowds]}", flush=True)
        assert is_alive(daemon), "the process has ended"
        assert watch.resident_mb < memory_mb, watch.resident_mb
        assert watch.memory_mb < memory_mb, watch.memory_mb
        assert watch.descriptors <= descriptors, watch.descriptors
        check_answered(cluster, daemon)


def play_kind(kind: str, count: int = CONNECTIONS, reads: bool = True, **options: int) -> None:
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        yield Crowd(front(cluster.daemons[0]), [KINDS[kind]] * count, reads)

    play(crowds, **options)


def test_crowd_of_large_chunks_stays_within_memory() -> None:
    play_kind("large chunks")


def test_crowd_of_small_chunks_stays_within_memory() -> None:
    play_kind("small chunks")


def test_crowd_of_chunks_of_a_byte_stays_within_memory() -> None:
    play_kind("chunks of a byte")


def test_crowd_over_the_body_limit_stays_within_memory() -> None:
    play_kind("chunks over the limit")


def test_crowd_of_announced_bodies_stays_within_memory() -> None:
    play_kind("announced")


def test_crowd_of_announcements_over_the_limit_stays_within_memory() -> None:
    play_kind("announced over the limit")


def test_crowd_of_complete_bodies_stays_within_memory() -> None:
    play_kind("complete")


def test_crowd_of_complete_chunked_bodies_stays_within_memory() -> None:
    play_kind("complete chunks")


def test_crowd_of_trailers_without_end_stays_within_memory() -> None:
    play_kind("trailers")


def test_crowd_that_expects_100_stays_within_memory() -> None:
    play_kind("expects 100")


def test_crowd_of_heads_with_short_fields_whose_bodies_do_not_come_stays_within_memory() -> None:
    """Guards against fields that take ten times their bytes in the parser while a body is awaited."""
    play_kind("short fields")


def chat(**fields: str) -> bytes:
    return head("/chat/x", X_Model="m0", X_Token_Usage="100,20", Content_Length="0", **fields)


def play_waiting(request: bytes) -> None:
    """Lets open requests wait for a place at the runners, which serve sixteen a second."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        cluster.platform.work_s = 1.0
        yield Crowd(front(cluster.daemons[0]), [request] * CONNECTIONS)

    play(crowds)


def test_crowd_of_open_requests_with_short_fields_stays_within_memory() -> None:
    """Guards against fields of requests that wait and are counted by their characters alone."""
    play_waiting(chat(X_Prompt_Prefix="5c:60,9:40")[:-2] + b"a:1\r\n" * 3150 + b"\r\n")


def test_crowd_of_open_requests_with_many_prompt_parts_stays_within_memory() -> None:
    """Guards against parts of prompts that are kept three times while a request waits, and not counted."""
    play_waiting(chat(X_Prompt_Prefix=",".join("a:1" for _ in range(3_900))))


def test_crowd_that_sends_requests_ahead_stays_within_memory() -> None:
    play_kind("sent ahead")


def test_crowd_of_heads_and_chunk_lines_stays_within_memory() -> None:
    """Lets 600 connections hold half a head, and 600 a chunk line: some 18 MB."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        yield Crowd(front(cluster.daemons[0]), [KINDS["half a head"]] * 600)
        yield Crowd(front(cluster.daemons[0]), [KINDS["long chunk line"]] * 600)

    play(crowds)


def test_crowd_that_never_reads_its_refusal_stays_within_memory() -> None:
    play_kind("chunks over the limit", reads=False)


def test_crowd_that_sends_a_byte_now_and_then_stays_within_memory() -> None:
    """Guards against taking for progress what keeps a stopped upload open."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        payload = CHUNKED_HEAD + chunks(65536, SHORT_BODY // 2)
        yield Crowd(front(cluster.daemons[0]), [payload] * CONNECTIONS, drip=b"1\r\nx\r\n")

    play(crowds)


def test_mixed_crowds_one_after_the_other_stay_within_memory() -> None:
    """Guards against freed memory that is kept beside what the next crowd takes."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        kinds = ["large chunks", "small chunks", "chunks over the limit", "announced", "complete"]
        for _ in range(4):
            crowd = Crowd(front(cluster.daemons[0]),
                          [KINDS[kinds[index % 5]] for index in range(CONNECTIONS)])
            yield crowd
            crowd.close()

    play(crowds)


def test_waves_of_different_sizes_stay_within_memory() -> None:
    """Guards against a heap whose free parts are too small for the next wave's bodies."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        for size in (20_000, 60_000, 120_000, 250_000, 500_000, 1_000_000):
            payload = CHUNKED_HEAD + chunks(10_000, size)
            crowd = Crowd(front(cluster.daemons[0]), [payload] * (24_000_000 // size))
            yield crowd
            crowd.close()

    play(crowds)


def test_large_crowd_stays_within_a_larger_memory() -> None:
    """Lets 600 connections offer 600 MB in large chunks and over the limit, at 64 MB."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        yield Crowd(front(cluster.daemons[0]), [KINDS["large chunks"]] * 300)
        yield Crowd(front(cluster.daemons[0]), [KINDS["chunks over the limit"]] * 300)

    play(crowds, memory_mb=64)


def test_complete_bodies_stay_within_memory_while_no_endpoint_reads() -> None:
    """Guards against leaving out of the account what waits, is queued or is being sent."""
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        server = cluster.platform.endpoints["p0"].http_server
        server.reads = False
        crowd = Crowd(front(cluster.daemons[0]),
                      [KINDS["complete"], KINDS["complete chunks"]] * (CONNECTIONS // 2))
        end = time.monotonic() + 3
        while not crowd.settled() and time.monotonic() < end:
            time.sleep(0.05)
        server.reads = True
        # Those sent before stay unread until their deadline, 2 s.
        time.sleep(2.5)
        yield crowd

    play(crowds, plain=1)


def test_crowd_during_a_reload_stays_within_memory() -> None:
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        crowd = Crowd(front(cluster.daemons[0]), [KINDS["large chunks"]] * CONNECTIONS)
        for _ in range(3):
            cluster.daemons[0].signal(signal.SIGHUP)
            time.sleep(0.1)
        yield crowd

    play(crowds)


def test_crowd_during_a_takeover_stays_within_memory() -> None:
    """Lets the daemon that gives the orders be killed while a crowd is at the other one."""
    with start_cluster(daemons=2) as cluster:
        holder = cluster.holder()
        daemon = next(item for item in cluster.daemons if item is not holder)
        watch = Watch(daemon)
        crowd = Crowd(front(daemon), [KINDS["large chunks"]] * CONNECTIONS)
        try:
            holder.kill()
            cluster.wait_until(lambda: '"event":"orders_allowed"' in daemon.log.read_text(),
                               "the takeover")
            check_answered(cluster, daemon)
            result = daemon.send("chat", timeout_s=ANSWER_TIMEOUT_S)
            assert result.is_complete, result
        finally:
            crowd.close()
            watch.stop()
            print(f"memory {watch.memory_mb:.1f} MB", flush=True)
        assert is_alive(daemon), "the process has ended"
        assert watch.memory_mb < MEMORY_MB and watch.resident_mb < MEMORY_MB, watch.memory_mb


def test_planned_stop_ends_in_time_beside_a_crowd() -> None:
    """Guards against incomplete requests that keep a stopping process until it is killed."""
    with start_cluster() as cluster:
        daemon = cluster.daemons[0]
        crowd = Crowd(front(daemon), [KINDS["large chunks"]] * CONNECTIONS)
        watch = Watch(daemon)
        try:
            time.sleep(0.5)
            daemon.signal(signal.SIGTERM)
            assert daemon.popen is not None
            assert daemon.popen.wait(10) == 0, "open requests were left"
        finally:
            crowd.close()
            watch.stop()
        assert watch.memory_mb < MEMORY_MB and watch.resident_mb < MEMORY_MB, watch.memory_mb


def play_descriptors(kind: str, connections: int, descriptors: int) -> None:
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        yield Crowd(front(cluster.daemons[0]), [KINDS[kind]] * connections)

    play(crowds, memory_mb=260, descriptors=descriptors)


def test_heads_without_bodies_leave_descriptors_at_256() -> None:
    play_descriptors("no body", 300, 256)


def test_heads_without_bodies_leave_descriptors_at_1100() -> None:
    play_descriptors("no body", 1_600, 1_100)


def test_heads_without_bodies_leave_descriptors_at_4100() -> None:
    play_descriptors("no body", 5_000, 4_100)


def test_half_heads_leave_descriptors_at_1100() -> None:
    play_descriptors("half a head", 1_600, 1_100)


def test_requests_that_wait_leave_descriptors() -> None:
    """Lets 1,600 complete requests wait at an endpoint that does not read, at 1,100 descriptors."""
    with start_cluster(260, 1_100, plain=1) as cluster:
        daemon = cluster.daemons[0]
        assert daemon.send("pay").is_complete
        server = cluster.platform.endpoints["p0"].http_server
        server.reads = False
        watch = Watch(daemon)
        crowd = Crowd(front(daemon), [head(Content_Length="0")] * 1_600)
        try:
            time.sleep(1)
            assert is_alive(daemon)
            assert "rhubarbtrail_front_connections" in daemon.fetch("/metrics")
            assert daemon.is_ready()
            server.reads = True
            time.sleep(2.5)  # Those sent before stay unread until their deadline, 2 s.
            check_answered(cluster, daemon)
        finally:
            crowd.close()
            watch.stop()
            print(f"descriptors {watch.descriptors}", flush=True)
        assert watch.descriptors <= 1_100, watch.descriptors
        state = json.loads(daemon.fetch("/state"))
        assert state["ready"], state


def play_listener(port_of: Callable[[Daemon], int], payload: bytes, count: int = 200) -> None:
    def crowds(cluster: EdgeCluster) -> Iterator[Crowd]:
        address = "127.0.0.1", port_of(cluster.daemons[0])
        yield Crowd(address, [payload] * count)

    play(crowds, descriptors=256)


def test_crowd_at_the_readiness_address_stays_within_memory() -> None:
    play_listener(lambda daemon: daemon.ready_port, KINDS["large chunks"])


def test_crowd_at_the_metrics_address_stays_within_memory() -> None:
    play_listener(lambda daemon: daemon.metrics_port, KINDS["large chunks"])


def test_half_heads_at_the_readiness_address_leave_descriptors() -> None:
    play_listener(lambda daemon: daemon.ready_port, KINDS["half a head"], 300)


def test_heads_without_bodies_at_the_metrics_address_leave_descriptors() -> None:
    play_listener(lambda daemon: daemon.metrics_port, KINDS["no body"], 300)


def test_crowd_at_the_link_address_stays_within_memory() -> None:
    play_listener(lambda daemon: daemon.link_port, KINDS["large chunks"])


def http2_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return (len(payload).to_bytes(3, "big") + bytes([kind, flags]) + stream.to_bytes(4, "big")
            + payload)


def http2_message(size: int) -> bytes:
    """Returns an HTTP/2 connection with the start of one POST whose body does not end."""
    # :method POST, :scheme http and :path / of the static table, and :authority x as a literal.
    fields = b"\x83\x86\x84" + b"\x01\x01x"
    data = b"".join(http2_frame(0, 0, 1, b"x" * 16_384) for _ in range(size // 16_384))
    return (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0, b"")
            + http2_frame(1, 4, 1, fields) + data)


def test_messages_without_end_at_the_link_address_stay_within_memory() -> None:
    """Lets 200 connections each begin a message of 2 MB."""
    play_listener(lambda daemon: daemon.link_port, http2_message(2 << 20))


def test_silent_connections_at_the_link_address_leave_descriptors() -> None:
    play_listener(lambda daemon: daemon.link_port, b"", 300)


def test_single_slow_upload_is_served_in_calm() -> None:
    """Guards against limits that meet a client inside the pages' limits: 1 MB over 6 s."""
    with start_cluster() as cluster:
        daemon = cluster.daemons[0]
        cluster.platform.configure(every_route={"timeoutMs": 20_000})
        cluster.wait_until(lambda: '"event":"configuration_applied"' in daemon.log.read_text()
                           and f'"version":{cluster.platform.version}' in daemon.log.read_text(),
                           "the configuration")
        with socket.create_connection(front(daemon), 10) as client:
            client.sendall(head(Content_Length=str(BODY_LIMIT)))
            for part in range(6):
                start, end = BODY_LIMIT * part // 6, BODY_LIMIT * (part + 1) // 6
                client.sendall(b"x" * (end - start))
                time.sleep(1)
            answer = client.recv(65536)
        assert answer.startswith(b"HTTP/1.1 200"), answer


def check_served_beside_slow_bodies(interval_s: float) -> None:
    """Sends bodies of 100 kB and 500 kB beside 150 clients that send 1.1 kB of a large one now and then."""
    with start_cluster() as cluster:
        daemon = cluster.daemons[0]
        crowd = Crowd(front(daemon), [CHUNKED_HEAD + chunks(20_000, 100_000)] * CONNECTIONS,
                      drip=chunks(1_100, 1_100), drip_interval_s=interval_s)
        try:
            time.sleep(2.0)
            for size in (100_000, 500_000, 100_000):
                started = time.monotonic()
                result = daemon.send("pay", body=b"x" * size, timeout_s=ANSWER_TIMEOUT_S)
                took_s = time.monotonic() - started
                print(f"{size} bytes: {result.status} in {took_s:.1f} s", flush=True)
                assert result.is_complete and took_s < 2.0, (size, took_s, result)
        finally:
            crowd.close()


def test_ordinary_bodies_are_served_beside_bodies_that_hardly_progress() -> None:
    """Guards against slow bodies that keep their turn: an ordinary one got no answer in 15 s."""
    check_served_beside_slow_bodies(0.08)


def test_ordinary_bodies_are_served_beside_bodies_that_pause() -> None:
    check_served_beside_slow_bodies(0.9)
