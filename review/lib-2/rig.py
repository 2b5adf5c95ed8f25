"""Starts edge daemons with the command of the deploy file, beside stand-ins of the platform's store,
of runners and of plain endpoints, and keeps a record of what was sent, answered and run.

The stand-ins follow the users' pages. Figures are those of the deployment nhb-rhubarb, with fewer
runners, smaller models and shorter loads. All addresses are loopback addresses, one for each daemon.
"""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Callable, Optional

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tests" / "edge"))
from standin import HttpCall, HttpServer, Store, response_head, write_response  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds and limits of the deployment nhb-rhubarb.
CONTACT_S, DRAIN_S, HEARTBEAT_S, GRACE_S, LEASE_S = 3.0, 2.0, 1.2, 8.0, 3.0
MEMORY_MB, DESCRIPTORS, CPU_SHARE = 260, 4100, 0.25
MAX_HEADER_BYTES, MAX_BODY_BYTES = 16384, 4194304
WEIGHTS_MB, MODEL_MB, ADAPTER_MB, ADAPTER_SLOTS, ADAPTERS = 220000.0, 65100.0, 12.0, 8, 6
HOST = "nominas.example"


class Record:
    """What happened, in order, as lines of JSON with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, event: str, **fields: Any) -> None:
        line = json.dumps({"at": round(self.now(), 3), "event": event, **fields})
        with self.lock:
            self.file.write(line + "\n")

    def close(self) -> None:
        with self.lock:
            self.file.close()


class LoopThread:
    """An event loop in a thread, on which all stand-ins run."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def do(self, action: Callable[[], Any]) -> Any:
        async def run() -> Any:
            return action()

        return self.call(run())


@dataclass
class Run:
    """A request that a runner has begun to work on."""

    request: str
    runner: str
    at: float
    fields: dict[str, str]


class Runner:
    """A model runner, or a plain endpoint if it has no models. A subclass brings the trouble in."""

    def __init__(self, rig: "Rig", name: str, service: str, models: list[str]) -> None:
        self.rig, self.id, self.service = rig, name, service
        self.server = HttpServer(self._handle)
        self.models: dict[str, set[str]] = {model: set() for model in models}
        self.on_disk = set(rig.models) if models else set()
        self.version, self.state, self.seq, self.orders = "v1", "ready", 0, 0
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.busy_until = 0.0
        self.work_s = 0.01
        self.events = 6

    async def start(self) -> None:
        await self.server.start()
        self.announce()
        asyncio.ensure_future(self._beat())

    def entry(self) -> dict[str, Any]:
        self.seq += 1
        return {"backend": self.service, "address": f"127.0.0.1:{self.server.port}",
                "zone": "mxc-a", "version": self.version, "slots": 64 if self.on_disk else 6,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
                **self.loaded()}

    def loaded(self) -> dict[str, Any]:
        models = [{"name": name, "version": 1, "adapters": sorted(adapters)}
                  for name, adapters in self.models.items()]
        return {"stage": "combined", "models": models,
                "atHand": {"inMemory": [], "onDisk": sorted(self.on_disk)}}

    def announce(self) -> None:
        self.rig.store.put("servers", self.id, json.dumps(self.entry()).encode())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_down:
                self.announce()

    async def crash(self, back_after_s: float) -> None:
        """Resets all connections. The entry lapses after three heartbeats unless it is back before."""
        if self.is_down:
            return
        self.is_down = True
        self.rig.record.write("runner_crashed", runner=self.id)
        await self.server.stop()
        if back_after_s > 3 * HEARTBEAT_S:
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.rig.store.put("servers", self.id, None)
            back_after_s -= 3 * HEARTBEAT_S
        await asyncio.sleep(back_after_s)
        self.born, self.seq, self.orders, self.busy_until = int(time.time() * 1000), 0, 0, 0.0
        self.models = {}
        await self.server.start()
        self.is_down = False
        self.rig.record.write("runner_back", runner=self.id)
        self.announce()

    async def _handle(self, call: HttpCall) -> None:
        if call.fields.get("x-target-instance", self.id) != self.id:
            write_response(call, 421)
        elif call.path == "/rhubarbtrail/report":
            report = {**self.loaded(), "busy": self.busy_until > time.monotonic(),
                      "seq": self.orders, "waiting": 0, "running": 0, "born": self.born,
                      "state": self.state}
            write_response(call, 200, json.dumps(report).encode(), Content_Type="application/json")
        elif call.path == "/rhubarbtrail/order":
            status = self._take_order(json.loads(call.body))
            self.rig.record.write("order", runner=self.id, status=status, **json.loads(call.body))
            write_response(call, status)
        else:
            await self.handle_request(call)

    def _take_order(self, order: dict[str, Any]) -> int:
        model, adapter = order.get("model"), order.get("adapter")
        adapters = [f"a{number}" for number in range(1, ADAPTERS + 1)]
        if (not order.get("holder") or "fencingToken" not in order or model not in self.rig.models
                or (adapter and adapter not in adapters)
                or order.get("operation") not in ("model_load", "model_unload")):
            return 400
        if self.busy_until > time.monotonic() or order.get("expectedRev", self.orders) != self.orders:
            return 409
        is_load = order["operation"] == "model_load"
        is_held = adapter in self.models.get(model, set()) if adapter else model in self.models
        if is_load == is_held:
            self.orders += 0 if is_load else 1
            return 200
        self.orders += 1
        if adapter and is_load:
            self.models[model].add(adapter)
            if sum(len(held) for held in self.models.values()) > ADAPTER_SLOTS:
                asyncio.ensure_future(self.crash(2.0))
        elif adapter:
            self.models[model].discard(adapter)
            return 200
        elif is_load:
            self.busy_until = time.monotonic() + self.rig.load_s
            asyncio.get_running_loop().call_later(self.rig.load_s, self._loaded, model, self.born)
        else:
            self.models.pop(model)
        return 202

    def _loaded(self, model: str, born: int) -> None:
        if born != self.born or self.is_down:
            return
        self.models[model] = set()
        if len(self.models) * MODEL_MB > WEIGHTS_MB:
            asyncio.ensure_future(self.crash(2.0))
        self.announce()

    async def handle_request(self, call: HttpCall) -> None:
        request = call.fields.get("x-request-id", "")
        model, _, adapter = call.fields.get("x-model", "").partition("/")
        if model and (model not in self.models
                      or (adapter and adapter not in self.models[model])):
            write_response(call, 421, X_Not_Executed="1", X_Request_Id=request)
            return
        self.rig.add_run(Run(request, self.id, self.rig.record.now(), call.fields))
        await self.answer(call, request, bool(model))

    def signed(self, request: str) -> dict[str, str]:
        return {"X-Request-Id": request, "X-Response-Signature": f"{self.id}.{request}",
                "X-Server-Load": "1,0,64"}

    async def answer(self, call: HttpCall, request: str, is_stream: bool) -> None:
        await asyncio.sleep(self.work_s)
        if not is_stream:
            body = f"done {request}".encode()
            call.writer.write(response_head(
                200, {**self.signed(request), "Content-Length": str(len(body))}) + body)
            return
        self.write_stream_head(call, request)
        first = int(call.fields.get("last-event-id", "0") or "0") + 1
        for number in range(first, self.events + 1):
            await self.write_event(call, number)
            await asyncio.sleep(self.work_s)
        call.writer.write(b"0\r\n\r\n")

    def write_stream_head(self, call: HttpCall, request: str) -> None:
        call.writer.write(response_head(200, {
            **self.signed(request), "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))

    async def write_event(self, call: HttpCall, number: int) -> None:
        event = f"id: {number}\ndata: {self.version}\n\n".encode()
        call.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await call.writer.drain()


@dataclass
class Answer:
    """What a client got. The status is 0 if the answer is not complete."""

    id: str
    status: int = 0
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    sent_at: float = 0.0
    took_s: float = 0.0

    @property
    def event_ids(self) -> list[int]:
        return [int(number) for number in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", self.body)]

    @property
    def versions(self) -> set[bytes]:
        return set(re.findall(rb"data: (\S+)\n\n", self.body))


class Daemon:
    """An edge daemon: a process with the settings that the platform fills in."""

    def __init__(self, rig: "Rig", number: int, **limits: float) -> None:
        self.rig, self.name, self.ip = rig, f"edge-mxc-a-{number}", f"{rig.network}.{number}"
        self.settings, self.log = rig.folder / f"{self.name}.yaml", rig.folder / f"{self.name}.log"
        values = {
            "node": self.name, "zone": "mxc-a", "ip": self.ip,
            "listen": {"front": f"{self.ip}:8149", "ready": f"{self.ip}:8141",
                       "control": f"{self.ip}:8144"},
            "portRange": [7380, 7395],
            "platform": {"address": f"127.0.0.1:{rig.store.http_server.port}"},
            "limits": {"cpuShare": CPU_SHARE, "maxFds": DESCRIPTORS, "memoryMb": MEMORY_MB,
                       **limits},
            "bounds": {"graceS": 8, "drainMs": 2000, "leaseMs": 3000, "retryBudgetRatio": 0.2,
                       "budgetSlack": 54, "budgetWindowS": 10, "ceilingWindowS": 5,
                       "ceilingOverage": 1.1},
        }
        template = (ROOT / "deploy" / "settings.yaml.in").read_text()
        self.settings.write_text(fill_in(template, values))
        self.process: Optional[subprocess.Popen] = None
        self.started_at = 0.0

    def start(self) -> None:
        run = re.search(r'^run = "(.*)"$', (ROOT / "deploy" / "system.toml").read_text(), re.M)
        assert run is not None
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run[1].split(), cwd=ROOT, stdout=log, stderr=log,
                env={**environment, "RHUBARBTRAIL_CONFIG": str(self.settings)})
        self.started_at = self.rig.record.now()
        self.rig.record.write("daemon_started", daemon=self.name)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)

    def is_alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        connection = http.client.HTTPConnection(self.ip, 8141, timeout=timeout_s)
        try:
            connection.request("GET", "/rhubarbtrail/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def resident_mb(self) -> float:
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    def is_dispatcher(self) -> bool:
        connection = http.client.HTTPConnection(self.ip, 7381, timeout=2)
        try:
            connection.request("GET", "/metrics")
            return "rhubarbtrail_dispatcher 1" in connection.getresponse().read().decode().split("\n")
        except OSError:
            return False
        finally:
            connection.close()

    def send(self, path: str, model: str = "", body: bytes = b"", deadline_s: float = 15.0,
             method: str = "POST", label: str = "", **fields: str) -> Answer:
        """Sends a request on a new connection, as a client does, and reads its answer to the end."""
        answer = Answer(uuid.uuid4().hex[:16], sent_at=self.rig.record.now())
        headers = {"Host": HOST, "X-Request-Id": answer.id,
                   "X-Deadline-Ms": str(int(deadline_s * 1000))}
        if model:
            headers |= {"X-Model": model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "5c:60,9:40"}
        headers |= {name.replace("_", "-"): value for name, value in fields.items()}
        self.rig.record.write("sent", id=answer.id, to=self.name, path=path, model=model, label=label)
        connection = http.client.HTTPConnection(self.ip, 8149, timeout=deadline_s)
        started = time.monotonic()
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            answer.fields = {name.lower(): value for name, value in response.getheaders()}
            while part := response.read1(65536):
                answer.body += part
            answer.status = response.status
        except (OSError, http.client.HTTPException) as error:
            answer.fields["error"] = repr(error)
        finally:
            connection.close()
        answer.took_s = time.monotonic() - started
        self.rig.record.write("answered", id=answer.id, status=answer.status, label=label,
                              events=len(answer.event_ids), took_s=round(answer.took_s, 3),
                              error=answer.fields.get("error", ""))
        return answer


def fill_in(template: str, values: dict[str, Any]) -> str:
    """Fills a template in as the deploy page says, as far as deploy/settings.yaml.in uses it."""
    def look_up(name: str) -> Any:
        value: Any = values
        for key in name.split("."):
            if isinstance(value, list):
                value = value[int(key)] if key.isdigit() and int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
        return value

    def section(match: "re.Match[str]") -> str:
        return match[2] if look_up(match[1]) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: "" if look_up(match[1]) is None else str(look_up(match[1])), text)


class Rig:
    """The platform, the runners and the daemons of one case."""

    def __init__(self, folder: Path, models: int = 6,
                 store_class: Callable[[], Store] = Store) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.models = [f"m{number}" for number in range(models)]
        self.load_s = 0.3
        self.runs: dict[str, list[Run]] = {}
        self.thread = LoopThread()
        self.store = store_class()
        self.thread.call(self.store.http_server.start())
        self.runners: dict[str, Runner] = {}
        self.daemons: list[Daemon] = []
        self.version = 0

    def add_run(self, run: Run) -> None:
        self.runs.setdefault(run.request, []).append(run)
        self.record.write("run", id=run.request, runner=run.runner)

    def add_runner(self, runner: Runner) -> Runner:
        self.runners[runner.id] = runner
        self.thread.call(runner.start())
        return runner

    def configure(self) -> None:
        self.version += 3
        base = {"host": HOST, "maxAttempts": 2, "priority": 1}
        routes = [
            {**base, "name": "payslip-explain", "prefix": "/payslip/", "kind": "streaming",
             "backend": "asesor-llm", "targetLatencyMs": 600, "timeoutMs": 15000, "gapAimMs": 300,
             "sticky": True, "resumable": True},
            {**base, "name": "contract-draft", "prefix": "/draft/", "kind": "streaming",
             "backend": "asesor-llm", "targetLatencyMs": 3000, "timeoutMs": 20000, "gapAimMs": 300,
             "sticky": True, "resumable": False, "maxAttempts": 1},
            {**base, "name": "pay-order", "prefix": "/pay/", "kind": "non_idempotent",
             "backend": "nomina-core", "targetLatencyMs": 100, "timeoutMs": 1500, "maxAttempts": 1},
            {**base, "name": "balance-check", "prefix": "/balance/", "kind": "idempotent",
             "backend": "nomina-core", "targetLatencyMs": 100, "timeoutMs": 1500},
        ]
        models = [{"name": name, "weightsMb": MODEL_MB, "loadTimeS": self.load_s,
                   "warmS": self.load_s, "diskS": self.load_s, "adapters": ADAPTERS,
                   "adapterMb": ADAPTER_MB} for name in self.models]
        engine = {"slots": 64, "kvTokens": 121301, "weightsMb": WEIGHTS_MB,
                  "adapterSlots": ADAPTER_SLOTS, "loadsPerS": 3.8, "models": models}
        document = {"version": self.version, "routes": routes,
                    "services": [{"name": "asesor-llm", "healthPath": "/healthz", "maxConns": 360,
                                  "engine": engine},
                                 {"name": "nomina-core", "healthPath": "/healthz", "maxConns": 100}],
                    "limits": {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.thread.do(lambda: self.store.put("op", "config", json.dumps(document).encode()))

    def start_daemons(self, count: int, **limits: float) -> None:
        self.daemons = [Daemon(self, number, **limits) for number in range(1, count + 1)]
        for daemon in self.daemons:
            daemon.start()
        self.wait(lambda: all(daemon.is_ready() for daemon in self.daemons), "readiness")
        self.wait(lambda: any('"event":"orders_allowed"' in daemon.log.read_text()
                              for daemon in self.daemons), "a daemon that may send orders")

    @staticmethod
    def wait(condition: Callable[[], bool], what: str, timeout_s: float = 25.0) -> None:
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"waited {timeout_s} s for {what}")
            time.sleep(0.05)

    def close(self) -> None:
        for daemon in self.daemons:
            daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons:
                (Path(keep) / daemon.log.name).write_bytes(daemon.log.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def play(folder: Path, case: Callable[[Rig], bool], **options: Any) -> None:
    """Plays a case, which returns whether the rule held, and exits with the status for that."""
    status = COULD_NOT_RUN
    rig = Rig(folder, **options)
    try:
        held = case(rig)
        status = HELD if held else BROKEN
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        rig.record.write("could_not_run", error=traceback.format_exc().splitlines()[-1])
    finally:
        rig.record.write("end", status=status, trouble=HAS_TROUBLE)
        rig.close()
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status], flush=True)
    os._exit(status)
