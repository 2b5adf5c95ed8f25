"""Runs edge daemons as processes with a platform stand-in.

Sends requests to the daemons and checks the answers.
"""

from __future__ import annotations

import http.client
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Optional

from standin import EVENT_COUNT, Platform

ROOT = Path(__file__).resolve().parent.parent.parent
BINARY = ROOT / os.environ.get("BUILD", "build") / "rhubarbtrail"
START_TIMEOUT_S = 20.0
# Makes the C library overwrite freed memory, so that a use after free is likely to crash the
# daemon.
OVERWRITE_FREED_MEMORY = {"MALLOC_PERTURB_": "165"}


class ReservedPorts:
    """Distinct free ports on loopback that stay reserved until close() is called.

    Each port is bound by a socket that never listens. The kernel gives such a port neither to a
    socket that binds port 0 nor to one that connects. A process that sets SO_REUSEADDR, as the
    daemons do, can still bind the port and listen on it, also after a restart.
    """

    def __init__(self, count: int) -> None:
        self.sockets = [socket.socket() for _ in range(count)]
        for item in self.sockets:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            item.bind(("127.0.0.1", 0))
        self.ports = [item.getsockname()[1] for item in self.sockets]

    def close(self) -> None:
        for item in self.sockets:
            item.close()


def keep_logs(folder: Path) -> None:
    """Copies the files of a failed cluster to the build folder, where the next run leaves them."""
    kept = BINARY.parent / "failed" / f"{folder.name}-{time.strftime('%H%M%S')}"
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    print(f"the logs of the failed test are in {kept.relative_to(ROOT)}", flush=True)


@dataclass
class Result:
    """The answer to one request as its client got it."""

    id: str
    kind: str
    status: int = 0  # 0 when the connection failed before the end of the answer.
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    duration_s: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        """Ids of the whole events."""
        return [int(number) for number in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.body)]

    @property
    def versions(self) -> set[bytes]:
        """Software versions of the runners whose events the client holds, also of a cut stream."""
        return set(re.findall(rb"data: \S+ \d+ (\S+)\n\n", self.body))

    @property
    def is_complete(self) -> bool:
        """Whether the answer is a success with all events in order, or with the expected body."""
        if self.status != 200:
            return False
        if self.kind in ("chat", "draft"):
            only_whole_events = re.fullmatch(
                rb"(id: \d+\ndata: [^\n]*\n\n)*(\r?\n|:[^\n]*\n)*", self.body)
            return bool(only_whole_events) and self.event_ids == list(range(1, EVENT_COUNT + 1))
        return self.body == f"done {self.id}".encode()


class Daemon:
    """An edge daemon with its settings, its log and its process."""

    def __init__(self, name: str, store_port: int, folder: Path, grace_s: float = 4.0,
                 retry_slack: int = 1000, retry_ratio: float = 0.2, retry_window_s: int = 1,
                 settings: str = "", overwrites_freed_memory: bool = True) -> None:
        self.name = name
        self.environment = os.environ | (OVERWRITE_FREED_MEMORY if overwrites_freed_memory else {})
        self.store_port = store_port
        self.reserved = ReservedPorts(4)
        self.front_port, self.ready_port, self.link_port, self.metrics_port = self.reserved.ports
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.yaml"
        self.settings.write_text(f"""daemon_id: {name}
zone: a
front_address: 127.0.0.1:{self.front_port}
ready_address: 127.0.0.1:{self.ready_port}
link_address: 127.0.0.1:{self.link_port}
metrics_address: 127.0.0.1:{self.metrics_port}
store_address: 127.0.0.1:{store_port}
shutdown_grace: {grace_s}
lease_spacing: 1000
retry_slack: {retry_slack}
retry_budget_ratio: {retry_ratio}
retry_window: {retry_window_s}
{settings}""")
        self.popen: Optional[subprocess.Popen] = None
        self.lock = threading.Lock()  # Held while a thread ends or stops the process.
        self.start()

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen([BINARY, "edge", "--settings", self.settings], stdout=log,
                                          stderr=log, env=self.environment)

    def signal(self, number: int) -> None:
        assert self.popen is not None
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.popen is not None
        self.popen.wait(10)

    def is_ready(self) -> bool:
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=1)
            connection.request("GET", "/rhubarbtrail/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def fetch(self, path: str) -> str:
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics_port, timeout=5)
        connection.request("GET", path)
        return connection.getresponse().read().decode()

    def send(self, kind: str, model: str = "m0", body: bytes = b"", timeout_s: float = 10.0,
             pause_before_body_s: float = 0.0, **fields: str) -> Result:
        """Sends one request on a new connection and reads its answer to the end.

        The body is not read before some time has passed since the head.
        """
        result = Result(uuid.uuid4().hex[:16], kind)
        headers = {"Host": "h.example", "X-Request-Id": result.id,
                   "X-Deadline-Ms": str(int(timeout_s * 1000))}
        if kind in ("chat", "draft"):
            headers |= {"X-Model": model, "X-Token-Usage": "100,20",
                        "X-Prompt-Prefix": "5c:60,9:40"}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        method = "GET" if kind == "check" else "POST"
        started = time.monotonic()
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.front_port, timeout=timeout_s)
            connection.request(method, f"/{kind}/x?y=1", body, headers)
            answer = connection.getresponse()
            result.fields = {name.lower(): value for name, value in answer.getheaders()}
            time.sleep(pause_before_body_s)
            while part := answer.read1(65536):
                result.body += part
            if answer.length:  # read1() reports no error when the body is shorter than announced.
                raise http.client.IncompleteRead(result.body, answer.length)
            result.status = answer.status
        except (OSError, http.client.HTTPException):
            result.status = 0
        result.duration_s = time.monotonic() - started
        return result


def resume(daemon: Daemon, broken: Result, begun_by: Optional[str] = None,
           model: str = "m0") -> Result:
    """Takes up a broken stream, as clients do, and returns the stream with all events so far.

    begun_by is the id of the request that brought the first event; that of the broken one if None.
    """
    result = daemon.send(broken.kind, model, Last_Event_Id=str(broken.event_ids[-1]),
                         Resumes=begun_by or broken.id)
    if result.status in (0, 200):
        result.body = broken.body[:broken.body.rfind(b"\n\n") + 2] + result.body
    return result


class EdgeCluster:
    """A platform stand-in and edge daemons.

    Entering a with block waits until all daemons are ready and one of them may send orders. Leaving
    the block stops the daemons and the platform.
    """

    def __init__(self, daemons: int = 2, grace_s: float = 4.0, retry_slack: int = 1000,
                 retry_ratio: float = 0.2, retry_window_s: int = 1, settings: str = "",
                 overwrites_freed_memory: bool = True, **platform_options: int) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(**platform_options)
        store = self.platform.store
        self.daemons = [Daemon(f"d{number}", self.platform.run_coroutine(store.add_port()),
                               Path(self.folder.name), grace_s, retry_slack, retry_ratio,
                               retry_window_s, settings, overwrites_freed_memory)
                        for number in range(daemons)]
        self.retries_known_at = time.monotonic() + 1.1 * retry_window_s + 0.1

    def __enter__(self) -> "EdgeCluster":
        try:
            self.wait_until(lambda: all(daemon.is_ready() for daemon in self.daemons), "readiness")
            self.wait_until(self.has_logged_orders_allowed, "a daemon that may send orders")
            # Until a window has passed, a daemon does not use its part of the slack.
            self.wait_until(lambda: time.monotonic() > self.retries_known_at, "retries")
        except BaseException as error:
            self.__exit__(type(error))
            raise
        return self

    def __exit__(self, error: Optional[type] = None, *_: object) -> None:
        if error is not None:
            keep_logs(Path(self.folder.name))
        for daemon in self.daemons:
            daemon.kill()
            daemon.reserved.close()
        self.platform.close()
        self.folder.cleanup()

    def has_logged_orders_allowed(self) -> bool:
        """Returns whether a daemon has ever logged that it may send orders to runners."""
        return any('"event":"orders_allowed"' in daemon.log.read_text()
                   for daemon in self.daemons)

    def holder(self) -> Daemon:
        """Returns the daemon that runs the dispatcher."""
        return next(daemon for daemon in self.daemons
                    if "rhubarbtrail_dispatcher 1" in daemon.fetch("/metrics").splitlines())

    @staticmethod
    def wait_until(condition, description: str, timeout_s: float = START_TIMEOUT_S) -> None:
        end = time.monotonic() + timeout_s
        while not condition():
            assert time.monotonic() < end, f"waited {timeout_s} s for {description}"
            time.sleep(0.05)

    def run_count(self, result: Result) -> int:
        return len(self.platform.runs.get(result.id, []))

    def find_violation(self, result: Result) -> Optional[str]:
        """Returns how an answer violates the guarantees of the daemon, or None.

        A payment or a draft runs at most once, a refused request does not run, a success is complete
        and signed, and a stream holds events of one software version. The requests of the tests are
        valid, so none is denied.
        """
        runs = self.platform.runs.get(result.id, [])
        if result.kind in ("pay", "draft") and len(runs) > 1:
            return f"{result.kind} {result.id} ran {len(runs)} times"
        if result.status in (408, 421, 429, 503) and runs:
            return f"{result.kind} {result.id} was refused with {result.status} and ran"
        if result.status == 200 and not result.is_complete:
            return f"{result.kind} {result.id} got an incomplete answer: {result.body!r}"
        if result.status == 200 and "x-response-signature" not in result.fields:
            return f"{result.kind} {result.id} got a success without X-Response-Signature"
        if result.status in (400, 401, 403, 404):
            return f"{result.kind} {result.id} was denied with {result.status}"
        if len(result.versions) > 1:
            return f"{result.kind} {result.id} has events of versions {sorted(result.versions)}"
        return None
