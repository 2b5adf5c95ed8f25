"""Starts the project's daemons as on a small deployment, for the cases of the review.

Each daemon is a process of its own, started with the command and the settings template of
deploy/system.toml, at an own loopback address. The store, the runners and the plain endpoints are
the stand-in of tests/edge; what the pages say about crashes and heartbeats is added here.
"""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import uuid
from pathlib import Path
from typing import Any, Callable, Optional

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "edge"))

import standin  # noqa: E402

# Exit codes of a case.
BROKEN, HELD, NOT_RUN = 1, 0, 2
# A case may take 120 s; what is left is for the start and the end of the processes.
TIME_LIMIT_S = 110.0
HEARTBEAT_S = 1.2
# The store removes the entry of a runner that has been silent for three heartbeat intervals.
SILENCE_UNTIL_REMOVED_S = 3 * HEARTBEAT_S
SLOTS = 64  # Of a model runner.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 8, "lostSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "outerMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "budgetSlack": 56, "recoverS": 12, "passMs": 120, "againS": 0, "fencingEnforced": False,
          "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1}


# All processes that the case has started.
processes: list[subprocess.Popen[bytes]] = []


class CaseError(Exception):
    """The case could not run."""


def free_port() -> int:
    """Returns a free port below those that the kernel gives to outgoing connections, so that a
    runner that has crashed can start at it again."""
    for _ in range(200):
        port = random.randrange(10000, 20000)
        with socket.socket() as item:
            try:
                item.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CaseError("no ports are free")


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text: str, at: Optional[float] = None) -> None:
        moment = (time.monotonic() if at is None else at) - self.started
        with self.lock:
            self.file.write(f"{moment:9.3f} s  {text}\n")
            self.file.flush()


# The settings template.

def lookup(scopes: list[Any], name: str) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value, is_found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                is_found = False
                break
        if is_found:
            return value
    return None


def to_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(to_text(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template: str, scopes: list[Any]) -> str:
    """Fills in a template as DEPLOY.md describes, as far as the project's template uses it."""
    def section(found: re.Match[str]) -> str:
        value = lookup(scopes, found.group(2))
        if found.group(1) == "^":
            return render(found.group(3), scopes) if value in (None, False) else ""
        if value in (None, False):
            return ""
        entries = value if isinstance(value, list) else [value]
        return "".join(render(found.group(3), scopes + [entry]) for entry in entries)

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: to_text(lookup(scopes, found.group(1))),
                  template)


class Machine:
    """A machine with one daemon. Its address is its own, its name need not be."""

    def __init__(self, rig: "Rig", name: str) -> None:
        self.rig, self.name = rig, name
        self.ip = rig.next_ip()
        self.folder = Path(rig.temporary.name) / f"{name}-{self.ip}"
        self.folder.mkdir()
        self.front, self.ready = (self.ip, rig.ports[0]), (self.ip, rig.ports[1])
        self.settings = self.folder / "settings.yaml"
        self.log = self.folder / "log"
        self.popen: Optional[subprocess.Popen[bytes]] = None
        self.store_port = rig.store_port
        if rig.has_own_store_ports:
            self.store_port = rig.platform.run_coroutine(rig.platform.store.add_port())
        self.write_settings()

    def write_settings(self) -> None:
        rig = self.rig
        fields = {
            "node": self.name, "role": "daemon", "machineClass": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": "a", "region": "r", "portRange": [rig.ports[2], rig.ports[3]],
            "seeds": [], "bootstrap": True, "lossCounts": False, "discovery": "platform",
            "entry": "vip", "heartbeatMs": int(HEARTBEAT_S * 1000), "zones": {"a": "r"},
            "listen": {"front": f"{self.ip}:{rig.ports[0]}", "ready": f"{self.ip}:{rig.ports[1]}"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": rig.memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "table",
                         "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0}}
        template = (ROOT / rig.role["template"]).read_text()
        self.settings.write_text(render(template, [fields]))

    def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.rig.role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={**environment, "RHUBARBTRAIL_CONFIG": str(self.settings)})
        processes.append(self.popen)
        self.rig.record.write(f"{self} starts")

    def signal(self, number: int) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.rig.record.write(f"{self} gets {signal.Signals(number).name}")
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)

    def has_ended(self) -> Optional[int]:
        return None if self.popen is None else self.popen.poll()

    def is_ready(self) -> bool:
        try:
            connection = http.client.HTTPConnection(*self.ready, timeout=1)
            connection.request("GET", "/rhubarbtrail/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the daemon's own log lines of an event."""
        events = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"event":"{name}"' in line and line.endswith("}"):
                events.append(json.loads(line))
        return events

    def __str__(self) -> str:
        return f"{self.name} at {self.ip}"


class Runner(standin.Endpoint):
    """A runner or plain endpoint that crashes and keeps its entry as the pages say."""

    EVENTS = 60          # Of each stream.
    EVENT_PAUSE_S = 0.05
    ADAPTER_SLOTS = 8
    ADAPTER_LOAD_S = 0.0063
    MAX_COMING = 4           # Adapters in transit at once.
    MEMORY_MODELS = 2        # Models that fit.
    REPORT_LAG_S = 0.2       # Age of what a report states.
    ANSWER_S = 0.0           # From an order or a request to the answer, or to the refusal.
    overload: Optional[str] = None  # The order that was beyond what the runner holds.

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.http_server.port = free_port()
        self.coming: list[tuple[str, str]] = []
        self.in_use: dict[tuple[str, str], int] = {}
        self.leaving: set[tuple[str, str]] = set()  # Adapters that are unloaded after their runs.
        self.past: list[tuple[float, dict[str, Any]]] = []  # What reports state, by time.
        self.announced = ""

    def snapshot(self) -> None:
        """Keeps the present state for later reports."""
        report = {**self._loaded_state(), "busy": self.busy_until > time.monotonic(),
                  "seq": self.order_count, "born": self.born, "waiting": 0,
                  "running": sum(self.in_use.values()),
                  "coming": [f"{model}/{name}@1" for model, name in self.coming]}
        self.past.append((time.monotonic(), json.loads(json.dumps(report))))
        del self.past[:-400]

    def report(self) -> dict[str, Any]:
        moment = time.monotonic() - self.REPORT_LAG_S
        known = [state for at, state in self.past if at <= moment]
        return known[-1] if known else self.past[0][1]

    async def beat(self) -> None:
        """Writes the entry at intervals, if more than its count has changed."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))
            if not self.is_down and json.dumps(self._loaded_state()) != self.announced:
                self.announce()

    async def _handle(self, call: Any) -> None:
        own = call.fields.get("x-target-instance", self.id) == self.id
        if own and call.path.endswith("/report"):
            if self.faults.leaving_value:
                call.answer_fields["Server-Leaving"] = self.faults.leaving_value
            standin.write_response(call, 200, json.dumps(self.report()).encode())
            return
        await super()._handle(call)

    async def _handle_order(self, call: Any) -> None:
        order = json.loads(call.body)
        self.order_log.append({**order, "at": time.monotonic(), "runner": self.id})
        status = self._take_order(order)
        self.platform.on_order(self, order, status)
        if status == 0:
            asyncio.ensure_future(self.crash(3.0))
            return
        await asyncio.sleep(self.ANSWER_S)
        standin.write_response(call, status)

    async def _handle_request(self, call: Any) -> None:
        model, _, adapter = call.fields.get("x-model", "").partition("/")
        if model and (model not in self.models or (adapter and adapter not in self.models[model])):
            await asyncio.sleep(self.ANSWER_S)
            standin.write_response(call, 421, X_Not_Executed="1",
                                   X_Request_Id=call.fields.get("x-request-id", ""))
            return
        if (model, adapter) in self.leaving:
            await asyncio.sleep(self.ANSWER_S)
            standin.write_response(call, 503, X_Not_Executed="1",
                                   X_Request_Id=call.fields.get("x-request-id", ""))
            return
        await super()._handle_request(call)

    def _take_order(self, order: dict[str, Any]) -> int:
        """Carries an order out and returns the status of the answer, 0 if the runner crashes."""
        model, adapter = order["model"], order.get("adapter", "")
        is_load = order["operation"] == "model_load"
        if self.busy_until > time.monotonic() or order.get("expectedRev", 0) != self.order_count:
            return 409
        if adapter and model not in self.models:
            return 409
        if adapter and is_load:
            if adapter in self.models[model] or (model, adapter) in self.coming:
                return 200
            if len(self.coming) >= self.MAX_COMING:
                return 409
            taken = sum(len(held) for held in self.models.values()) + len(self.coming)
            if taken >= self.ADAPTER_SLOTS:
                self.overload = f"adapter {adapter} of {model} beside {taken} others"
                return 0
            self.order_count += 1
            self.coming.append((model, adapter))
            self.snapshot()
            asyncio.get_running_loop().call_later(
                self.ADAPTER_LOAD_S, self._adapter_loaded, model, adapter, self.born)
            return 202
        if adapter:
            if adapter not in self.models[model]:
                return 200
            self.order_count += 1
            if self.in_use.get((model, adapter), 0) > 0:
                self.leaving.add((model, adapter))  # The unload waits for its runs to finish.
                return 202
            self.models[model].remove(adapter)
            self.snapshot()
            return 200
        if is_load == (model in self.models):
            return 200
        if is_load:
            if len(self.models) >= self.MEMORY_MODELS:
                self.overload = f"model {model} beside {sorted(self.models)}"
                return 0
            self.order_count += 1
            load_s = self.platform.load_s
            self.busy_until = time.monotonic() + load_s
            self.snapshot()
            asyncio.get_running_loop().call_later(load_s, self._loaded, model, self.born)
            return 202
        self.order_count += 1
        del self.models[model]
        self.snapshot()
        return 202

    def _loaded(self, model: str, born: int = 0) -> None:
        if not self.is_down and born == self.born:
            self.busy_until = 0.0
            self.models[model] = []
            self.snapshot()
            self.announce()

    def _adapter_loaded(self, model: str, adapter: str, born: int) -> None:
        if not self.is_down and born == self.born and (model, adapter) in self.coming:
            self.coming.remove((model, adapter))
            self.models[model].append(adapter)
            self.snapshot()

    def announce(self) -> None:
        """Writes the entry to the store."""
        entry = {"backend": self.service, "address": f"127.0.0.1:{self.http_server.port}",
                 "zone": "a", "version": self.version,
                 "slots": SLOTS if self.service == "llm" else 6, "state": self.state,
                 "coldLeftMs": 0, "born": self.born, "seq": int(time.time()),
                 **self._loaded_state()}
        self.announced = json.dumps(self._loaded_state())
        if not self.past:
            self.snapshot()
        self.platform.store.put("servers", self.id, json.dumps(entry).encode())

    async def crash(self, back_after_s: Optional[float], version: Optional[str] = None) -> None:
        """Resets all connections. The entry stays until the runner has been silent for three
        heartbeat intervals, or starts again."""
        if self.is_down:
            return
        self.is_down = True
        crashed_at = time.monotonic()
        await self.http_server.stop()
        if back_after_s is None or back_after_s > SILENCE_UNTIL_REMOVED_S:
            await asyncio.sleep(SILENCE_UNTIL_REMOVED_S)
            self.platform.store.put("servers", self.id, None)
        if back_after_s is None:
            return
        await asyncio.sleep(max(0.0, crashed_at + back_after_s - time.monotonic()))
        self.born, self.order_count, self.busy_until = int(time.time() * 1000), 0, 0.0
        self.models, self.version = {}, version or self.next_version
        self.coming, self.past, self.leaving = [], [], set()
        await self.http_server.start()
        self.is_down = False
        self.announce()

    async def renew(self, serves_on_s: float, back_after_s: float, version: str) -> None:
        """Leaves as planned and starts again under its id, with another software version: states
        that it is draining, serves on for that time, exits, and is back after the other."""
        self.state, self.faults.leaving_value = "draining", "1"
        self.announce()
        await asyncio.sleep(serves_on_s)
        self.is_down = True
        await self.http_server.stop()
        self.platform.store.put("servers", self.id, None)
        await asyncio.sleep(back_after_s)
        self.born, self.order_count, self.busy_until = int(time.time() * 1000), 0, 0.0
        self.models, self.version, self.next_version = {}, version, version
        self.coming, self.past, self.leaving = [], [], set()
        self.state, self.faults.leaving_value = "ready", ""
        await self.http_server.start()
        self.is_down = False
        self.announce()

    async def _stream(self, call: Any, run: Any, signed_headers: dict[str, str],
                      silence: Any) -> None:
        first = int(call.fields.get("last-event-id", "0") or "0") + 1
        version = self.version
        model, _, adapter = call.fields["x-model"].partition("/")
        self.in_use[model, adapter] = self.in_use.get((model, adapter), 0) + 1
        try:
            await self._send_events(call, run, signed_headers, first, version)
        finally:
            self.in_use[model, adapter] -= 1
            if (model, adapter) in self.leaving and self.in_use[model, adapter] == 0:
                self.leaving.discard((model, adapter))
                if adapter in self.models.get(model, []):
                    self.models[model].remove(adapter)
                self.snapshot()

    async def _send_events(self, call: Any, run: Any, signed_headers: dict[str, str], first: int,
                           version: str) -> None:
        call.writer.write(standin.response_head(200, {
            **signed_headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(first, self.EVENTS + 1):
            event = f"id: {number}\ndata: {run.request} {number} {version}\n\n".encode()
            call.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await call.writer.drain()
            await asyncio.sleep(self.EVENT_PAUSE_S)
            if call.writer.is_closing():
                run.is_cut = True
                return
        call.writer.write(b"0\r\n\r\n")


class Platform(standin.Platform):
    """The platform with runners that hold given models at given versions."""

    def __init__(self, holdings: dict[str, tuple[str, list[str]]], models: int,
                 plain: int = 2, disk_s: float = 1.6) -> None:
        self.holdings = holdings
        self.disk_s = disk_s
        super().__init__(models=models, runners=0, plain=plain, models_per_runner=2)

    async def _start(self, runners: int, plain: int) -> None:
        self.load_s = self.disk_s  # All weights lie on the runners' disks.
        await super()._start(0, plain)
        for name, (version, held) in self.holdings.items():
            await self._add(name, "llm", held)
            runner = self.endpoints[name]
            runner.version = runner.next_version = version
            runner.announce()

    async def _add(self, name: str, service: str, models: list[str]) -> None:
        endpoint = Runner(self, name, service, models)
        endpoint.born = int(time.time() * 1000)
        await endpoint.http_server.start()
        self.endpoints[name] = endpoint
        endpoint.announce()
        if service == "llm":
            asyncio.ensure_future(endpoint.beat())

    def on_order(self, runner: Runner, order: dict[str, Any], status: int) -> None:
        """Called for each order that a runner has got, with the status of its answer."""

    def _configure(self) -> None:
        """Writes the configuration, with figures like those of the small deployments."""
        self.version += 3
        stream = {"host": "h.example", "kind": "streaming", "backend": "llm", "sticky": True,
                  "targetLatencyMs": 1500, "gapAimMs": 300, "timeoutMs": 8000, "priority": 0,
                  "maxAttempts": 2}
        plain = {"host": "h.example", "backend": "plain", "targetLatencyMs": 100,
                 "timeoutMs": 1500, "priority": 2}
        engine = {"slots": SLOTS, "kvTokens": 120000, "weightsMb": 2100.0, "adapterSlots": 8,
                  "loadsPerS": 3.8, "models": [
                      {"name": name, "weightsMb": 1000.0, "loadTimeS": 6.2, "diskS": self.disk_s,
                       "warmS": 0.8, "adapters": 28, "adapterMb": 10.0} for name in self.models]}
        document = {
            "version": self.version,
            "routes": [
                {**stream, "name": "chat", "prefix": "/chat/", "resumable": True},
                {**stream, "name": "draft", "prefix": "/draft/", "resumable": False},
                {**plain, "name": "pay", "prefix": "/pay/", "kind": "non_idempotent",
                 "maxAttempts": 1},
                {**plain, "name": "check", "prefix": "/check/", "kind": "idempotent",
                 "maxAttempts": 2}],
            "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 370,
                          "engine": engine},
                         {"name": "plain", "healthPath": "/healthz", "maxConns": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 2000,
                       "idleTimeoutMs": 15000}}
        self.store.put("op", "config", json.dumps(document).encode())

    def crash(self, name: str, back_after_s: Optional[float],
              version: Optional[str] = None) -> None:
        runner = self.endpoints[name]
        self.loop.call_soon_threadsafe(
            lambda: asyncio.ensure_future(runner.crash(back_after_s, version)))


class Rig:
    """The platform and the machines. All processes and threads end with the with block."""

    def __init__(self, folder: Path, machines: int, platform: Platform,
                 memory_mb: int = 260, has_own_store_ports: bool = False) -> None:
        self.memory_mb = memory_mb  # Of a process.
        # Each machine reaches the store at a port of its own, which may turn it away.
        self.has_own_store_ports = has_own_store_ports
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["daemon"]
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CaseError("the build of the deploy file is missing")
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.platform = platform
        self.store_port = platform.store.http_server.port
        self.network = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.last_host = 10
        self.ports = self.free_ports()
        self.machines = [Machine(self, f"edge-a-{number}") for number in range(1, machines + 1)]

    def free_ports(self) -> list[int]:
        """Returns two free ports and the first and last port of a free range of 16."""
        for _ in range(50):
            first = random.randrange(20000, 30000)
            sockets = []
            try:
                for port in (*range(first, first + 18), 7381):
                    item = socket.socket()
                    sockets.append(item)
                    item.bind((f"{self.network}.11", port))
                return [first, first + 1, first + 2, first + 17]
            except OSError:
                continue
            finally:
                for item in sockets:
                    item.close()
        raise CaseError("no ports are free")

    def next_ip(self) -> str:
        self.last_host += 1
        return f"{self.network}.{self.last_host}"

    def __enter__(self) -> "Rig":
        try:
            for machine in self.machines:
                machine.start()
            self.wait_until(lambda: all(m.is_ready() for m in self.machines), "readiness", 20)
            self.wait_until(lambda: self.holder(must_order=True) is not None, "a holder", 20)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        self.close()

    def close(self) -> None:
        for machine in self.machines:
            if machine.popen is not None and machine.popen.poll() is None:
                os.kill(machine.popen.pid, signal.SIGCONT)
                machine.kill()
        runs = [run for item in list(self.platform.runs.values()) for run in item]
        for run in sorted(runs, key=lambda item: item.at):
            self.record.write(f"{run.endpoint} ran request {run.request}", run.at)
        self.platform.close()
        if "KEEP_LOGS" in os.environ:
            for machine in self.machines:
                Path(os.environ["KEEP_LOGS"], f"{machine.name}-{machine.ip}.log").write_bytes(
                    machine.log.read_bytes())
        self.temporary.cleanup()

    def holder(self, must_order: bool = False) -> Optional[Machine]:
        """Returns the machine that the lease row in the store names, if it runs."""
        row = self.platform.store.rows.get(("rhubarbtrail", "lease"))
        if row is None:
            return None
        for machine in self.machines:
            is_running = machine.popen is not None and machine.popen.poll() is None
            if is_running and machine.ip in base64.b64decode(row[0]).decode():
                return machine if not must_order or machine.events("orders_allowed") else None
        return None

    @staticmethod
    def wait_until(condition: Callable[[], Any], what: str, timeout_s: float) -> None:
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise CaseError(f"waited {timeout_s} s for {what}")
            time.sleep(0.05)


class Try:
    """One try of a client: a request with an id of its own."""

    body_sent = b""  # If empty, the id is the body.

    def __init__(self, machine: Machine, kind: str, model: str = "m0",
                 deadline_s: float = 8.0, gap_s: float = 6.0, tokens: str = "100,180",
                 **fields: str) -> None:
        self.machine, self.kind, self.model = machine, kind, model
        self.id = uuid.uuid4().hex[:16]
        self.deadline_s, self.gap_s, self.tokens = deadline_s, gap_s, tokens
        self.fields = {name.replace("_", "-"): value for name, value in fields.items()}
        self.status = 0
        self.headers: dict[str, str] = {}
        self.events: list[tuple[int, str, float]] = []  # Id, software version, time of arrival.
        self.body = b""
        self.is_whole = False
        self.sent_at = self.ended_at = 0.0
        self.error = ""

    def run(self) -> "Try":
        """Sends the request on a new connection and reads its answer."""
        record = self.machine.rig.record
        self.sent_at = time.monotonic()
        headers = {"Host": "h.example", "X-Request-Id": self.id,
                   "X-Deadline-Ms": str(int(self.deadline_s * 1000))}
        if self.kind in ("chat", "draft", "brief"):
            headers |= {"X-Model": self.model, "X-Token-Usage": self.tokens,
                        "X-Prompt-Prefix": f"{random.getrandbits(32):x}:60,{random.getrandbits(32):x}:40"}
        headers |= self.fields
        record.write(f"client sends {self.kind} {self.id} to {self.machine} {self.fields}")
        try:
            connection = http.client.HTTPConnection(*self.machine.front, timeout=1.0)
            connection.connect()
            connection.sock.settimeout(min(self.gap_s, self.deadline_s))
            connection.request("GET" if self.kind == "check" else "POST", f"/{self.kind}/x",
                               b"" if self.kind == "check" else self.body_sent or self.id.encode(), headers)
            answer = connection.getresponse()
            self.status = answer.status
            self.headers = {name.lower(): value for name, value in answer.getheaders()}
            self.read(answer)
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            self.error = type(error).__name__
        self.ended_at = time.monotonic()
        record.write(f"client has {self.id}: status {self.status}, events "
                     f"{[e[0] for e in self.events][:1]}..{[e[0] for e in self.events][-1:]}, "
                     f"versions {sorted({e[1] for e in self.events})}, "
                     f"{'whole' if self.is_whole else 'not whole'} {self.error}")
        return self

    def read(self, answer: http.client.HTTPResponse) -> None:
        parsed = 0
        deadline = self.sent_at + self.deadline_s
        while part := answer.read1(65536):
            self.body += part
            end = self.body.rfind(b"\n\n") + 2
            if end > 1:
                for number, version in re.findall(rb"id: (\d+)\ndata: \S+ \d+ (\S+)\n\n",
                                                  self.body[parsed:end]):
                    self.events.append((int(number), version.decode(), time.monotonic()))
                parsed = max(parsed, end)
            if time.monotonic() > deadline:
                raise TimeoutError("deadline")
        if answer.length:
            raise http.client.IncompleteRead(self.body, answer.length)
        self.is_whole = True


class BreakableTry(Try):
    """A try whose client closes the connection once an event is set."""

    def __init__(self, is_broken: threading.Event, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.is_broken = is_broken

    def read(self, answer: http.client.HTTPResponse) -> None:
        read1 = answer.read1

        def read_part(size: int) -> bytes:
            if self.is_broken.is_set():
                raise ConnectionResetError("the client closes the connection")
            return read1(size)

        answer.read1 = read_part  # type: ignore[method-assign]
        super().read(answer)


def run_case(main: Callable[[Path], int], folder: Path) -> int:
    """Runs a case and returns its exit code; it can't run longer than the limit."""
    def stop() -> None:
        for process in processes:
            if process.poll() is None:
                process.kill()
        os._exit(NOT_RUN)

    timer = threading.Timer(TIME_LIMIT_S, stop)
    timer.daemon = True
    timer.start()
    try:
        return main(folder)
    except CaseError as error:
        print(f"the case could not run: {error}")
        return NOT_RUN
    except Exception:  # Python would exit with 1, which means that the rule was broken.
        traceback.print_exc()
        return NOT_RUN
