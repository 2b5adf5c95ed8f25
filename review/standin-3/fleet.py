"""Stand-ins for the cases of the third review: the platform's store, runners, and daemons.

The store and the runners run on one event loop in a thread. The daemons are processes that are
started with the command and the settings template of the deploy file. Each machine has a loopback
address of its own. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any, Awaitable, Callable, Optional
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
LOAD_S = 1.0  # From the disk of a runner.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The record of a run, with the time since its start before each line."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


class Call:
    """A received request, with header names in lower case."""

    def __init__(self, method: str, target: str, fields: dict[str, str], body: bytes,
                 writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.writer, self.reader = writer, reader

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    def query(self, name: str) -> str:
        return parse_qs(urlsplit(self.target).query, keep_blank_values=True).get(name, [""])[0]

    def head(self, status: int, fields: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def answer(self, status: int, body: bytes = b"", fields: Optional[dict[str, str]] = None
               ) -> None:
        self.head(status, {**(fields or {}), "Content-Length": str(len(body))})
        if self.method != "HEAD":
            self.writer.write(body)


class HttpServer:
    """An HTTP/1.1 server with keep-alive."""

    def __init__(self, ip: str, handler: Callable[[Call], Awaitable[None]]) -> None:
        self.ip, self.port, self.handler = ip, 0, handler
        self.server: Optional[asyncio.base_events.Server] = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=2048)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            connection = writer.transport.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.handler(Call(method, target, fields, body, writer, reader))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError,
                OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store."""

    def __init__(self, ip: str) -> None:
        self.http = HttpServer(ip, self._handle)
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, str, str, Optional[str]]] = []
        self.version = 0
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: Optional[bytes]) -> None:
        self.version += 1
        text = None if value is None else base64.b64encode(value).decode()
        if text is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (text, self.version)
        self.changes.append((self.version, table, key, text))
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    @staticmethod
    def _page(rows: list[dict[str, Any]]) -> tuple[list[dict[str, Any]], bool]:
        """Returns the rows of one answer, 500 or 1 MB at most, and whether there are more."""
        size = 0
        for count, row in enumerate(rows):
            size += len(row.get("value", ""))
            if count and (count >= 500 or size > 1_000_000):
                return rows[:count], True
        return rows, False

    def _send(self, call: Call, rows: list[dict[str, Any]], status: int = 200,
              version: Optional[int] = None, truncated: bool = False) -> None:
        body = {"rows": rows, "truncated": truncated, "ver": version or self.version,
                "nowMs": int(time.monotonic() * 1000)}
        call.answer(status, json.dumps(body).encode(),
                    {"Content-Type": "application/json", "Store-Era": "1"})

    async def _handle(self, call: Call) -> None:
        await asyncio.sleep(0.004)
        if call.path.endswith("/rows-tx"):
            self._transact(call)
        elif call.path.endswith("/rows-get"):
            table = call.query("table")
            first = call.query("from")
            rows, truncated = self._page([self._row(t, k) for t, k in sorted(self.rows)
                                          if t == table and k >= first])
            self._send(call, rows, truncated=truncated)
        elif call.path.endswith("/rows-feed"):
            await self._feed(call)
        else:
            call.answer(404, b"", {"Store-Era": "1"})

    def _transact(self, call: Call) -> None:
        body = json.loads(call.body)
        if any(entry["table"] in ("op", "servers") for entry in body["setKeys"]):
            call.answer(403, b"", {"Store-Era": "1"})
            return
        for condition in body["expectedRev"]:
            found = self.rows.get((condition["table"], condition["key"]))
            if (found[1] if found else 0) != condition["ver"]:
                self._send(call, [self._row(c["table"], c["key"]) for c in body["expectedRev"]
                                  if (c["table"], c["key"]) in self.rows], 412)
                return
        for entry in body["setKeys"]:
            self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self.put(entry["table"], entry["key"], None)
        self._send(call, [])

    async def _feed(self, call: Call) -> None:
        table, after = call.query("table"), int(call.query("after"))
        end = time.monotonic() + int(call.query("waitMs")) / 1000
        while True:
            rows = []
            for version, changed_table, key, text in self.changes:
                if version > after and changed_table == table:
                    row = {"table": table, "part": "", "key": key, "ver": version}
                    rows.append({**row, "removed": True} if text is None
                                else {**row, "value": text})
            left = end - time.monotonic()
            if rows or left <= 0:
                page, truncated = self._page(rows)
                self._send(call, page, version=page[-1]["ver"] if truncated else None)
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner:
    """A runner. A subclass answers the clients' requests in run()."""

    def __init__(self, platform: "Platform", name: str, service: str, slots: int,
                 models: tuple[str, ...] = (), version: str = "1.0") -> None:
        self.version = version  # Of its software.
        self.platform, self.name, self.service, self.slots = platform, name, service, slots
        self.first_models = models
        self.http = HttpServer(platform.ip, self._handle)
        self.starts = 0
        self.is_up = False
        self.id = ""

    async def start(self) -> None:
        """Starts a new incarnation, with a new id at the same address."""
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        # Runners restart empty, with the copies of weights on their disks.
        self.models = {model: [] for model in self.first_models} if self.starts == 1 else {}
        self.order_count, self.seq, self.running, self.busy_until = 0, 0, 0, 0.0
        await self.http.start()
        self.is_up = True
        self.beats = asyncio.ensure_future(self._beat(self.id))  # Keeps the task.

    async def crash(self, back_after_s: float) -> None:
        """Resets all connections and says nothing; the entry goes after three heartbeats."""
        if not self.is_up:
            return
        self.is_up = False
        self.platform.record.write(f"runner {self.id} crashes")
        self.platform.crashes.append((time.monotonic(), self.id))
        former = self.id
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.platform.store.put, "servers", former, None)
        await self.http.crash()
        await asyncio.sleep(back_after_s)
        await self.start()
        self.platform.record.write(f"runner {self.id} is back at the address of {former}")

    def _entry(self) -> bytes:
        self.seq += 1
        return json.dumps({
            "backend": self.service, "address": f"{self.platform.ip}:{self.http.port}",
            "zone": "zone-a", "version": self.version, "slots": self.slots, "state": "ready",
            "coldLeftMs": 0, "seq": self.seq, "born": self.born, "models": self._holds(),
            "atHand": {"inMemory": list(self.models),
                                            "onDisk": list(self.first_models)}}).encode()

    def _holds(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": adapters}
                for name, adapters in self.models.items()]

    async def _beat(self, own_id: str) -> None:
        while self.is_up and self.id == own_id:
            self.platform.store.put("servers", self.id, self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, call: Call) -> None:
        if call.fields.get("x-target-instance", self.id) != self.id:
            call.answer(421, b"", {"X-Not-Executed": "1",
                                   "X-Request-Id": call.fields.get("x-request-id", "")})
        elif call.path == "/rhubarbtrail/report":
            call.answer(200, json.dumps({
                "stage": "combined", "models": self._holds(),
                "busy": time.monotonic() < self.busy_until,
                "seq": self.order_count, "born": self.born, "waiting": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 120000, "handles": 0,
                "atHand": {"inMemory": list(self.models), "onDisk": list(self.first_models)},
            }).encode(), {"Content-Type": "application/json"})
        elif call.path == "/rhubarbtrail/order":
            self._order(call)
        elif call.fields.get("x-model", "").split("/")[0] not in ("", *self.models):
            call.answer(421, b"", {"X-Not-Executed": "1",
                                   "X-Request-Id": call.fields.get("x-request-id", "")})
        elif self.running >= self.slots:
            call.answer(503, b"", {"X-Not-Executed": "1",
                                   "X-Request-Id": call.fields.get("x-request-id", "")})
        else:
            self.running += 1
            try:
                await self.run(call, {
                    "X-Request-Id": call.fields.get("x-request-id", ""),
                    "X-Response-Signature": f"{self.id}.{call.fields.get('x-request-id', '')}",
                    "X-Server-Load": f"{self.running},0,{self.slots}"})
            finally:
                self.running -= 1

    def _order(self, call: Call) -> None:
        order = json.loads(call.body)
        self.platform.record.write(f"order at {self.id}: {json.dumps(order)}")
        model = order["model"]
        is_busy = time.monotonic() < self.busy_until
        if is_busy or order.get("expectedRev", self.order_count) != self.order_count:
            call.answer(409)
            return
        if (model in self.models) == (order["operation"] == "model_load"):
            call.answer(200)
            return
        self.order_count += 1
        if order["operation"] == "model_load":
            self.busy_until = time.monotonic() + LOAD_S
            own_id = self.id

            def finish() -> None:
                if self.is_up and self.id == own_id:
                    self.models[model] = []
                    self.platform.store.put("servers", self.id, self._entry())

            asyncio.get_running_loop().call_later(LOAD_S, finish)
        else:
            self.models.pop(model, None)
        call.answer(202)

    async def run(self, call: Call, fields: dict[str, str]) -> None:
        """Runs a request; answers at once unless a subclass does otherwise."""
        self.platform.record_run(self, call)
        call.answer(200, b"done", fields)


class Platform:
    """The store, the operator and the runners, on an event loop in a thread."""

    def __init__(self, record: Record, ip: str = "127.0.40.1") -> None:
        self.record, self.ip = record, ip
        self.crashes: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, str]] = []  # Time, id of the request, id of the runner.
        self.runners: list[Runner] = []
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store = Store(ip)
        self.do(self.store.http.start())

    def do(self, work: Awaitable[Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def record_run(self, runner: Runner, call: Call) -> None:
        request = call.fields.get("x-request-id", "")
        self.runs.append((time.monotonic(), request, runner.id))
        self.record.write(f"runner {runner.id} begins to run {request}")

    def add(self, runner: Runner) -> Runner:
        self.runners.append(runner)
        self.do(runner.start())
        return runner

    def configure(self, version: int, routes: list[dict[str, Any]],
                  services: list[dict[str, Any]]) -> None:
        document = {"version": version, "routes": routes, "services": services,
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

        async def put() -> None:
            self.store.put("op", "config", json.dumps(document).encode())

        self.do(put())
        self.record.write(f"the store acknowledges configuration {version} with the routes "
                          f"{[route['prefix'] for route in routes]}")

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def render(template: str, values: dict[str, Any]) -> str:
    """Fills in a settings template: sections that are not lists, and values."""
    def find(name: str) -> Any:
        value: Any = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
                      lambda m: m[2] if find(m[1]) not in (None, False) else "",
                      template, flags=re.DOTALL)

    def text(match: re.Match[str]) -> str:
        value = find(match[1])
        return "" if value is None else str(value).lower() if isinstance(value, bool) \
            else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", text, template)


class Daemon:
    """A machine with its daemon."""

    def __init__(self, platform: Platform, number: int, folder: Path) -> None:
        self.platform, self.name = platform, f"edge-zone-a-{number}"
        self.ip = f"127.0.41.{number}"
        self.popen: Optional[subprocess.Popen[bytes]] = None
        held = [socket.socket() for _ in range(3)]  # Finds free ports.
        for item in held:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            item.bind((self.ip, 0))
        self.front, self.ready, link = [item.getsockname()[1] for item in held]
        self.held = held  # A bound socket that never listens keeps the port for the daemon.
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.command = role["run"].split(" ")
        values = {
            "node": self.name, "zone": "zone-a", "ip": self.ip, "portRange": [link, link],
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"},
            "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
            "platform": {"address": f"{platform.ip}:{platform.store.http.port}"},
            "bounds": {"graceS": 8, "drainMs": 2000, "leaseMs": 3000, "retryBudgetRatio": 0.2,
                       "budgetSlack": 54, "budgetWindowS": 10, "ceilingWindowS": 5,
                       "ceilingOverage": 1.1}}
        self.settings = folder / f"{self.name}.yaml"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self.log = folder / f"{self.name}.log"
        self.starts = 0

    def start(self) -> None:
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["RHUBARBTRAIL_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, env=environment,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.starts += 1
        self.platform.record.write(f"{self.name} starts")

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)

    def is_ready(self) -> bool:
        try:
            with socket.create_connection((self.ip, self.ready), 1) as connection:
                connection.sendall(b"GET /rhubarbtrail/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                connection.settimeout(1)
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Fleet:
    """A platform with daemons. Leaving the with block ends all processes."""

    def __init__(self, record: Record, daemons: int) -> None:
        if not (ROOT / "target" / "rhubarbtrail").exists():
            raise CannotRun("the program of the deploy file is not built")
        self.folder = tempfile.TemporaryDirectory()
        self.record = record
        self.platform = Platform(record)
        self.daemons = [Daemon(self.platform, number + 1, Path(self.folder.name))
                        for number in range(daemons)]

    def __enter__(self) -> "Fleet":
        return self

    def start(self) -> None:
        for daemon in self.daemons:
            daemon.start()
        self.wait_until_ready()

    def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        end = time.monotonic() + timeout_s
        while not all(daemon.is_ready() for daemon in self.daemons):
            if time.monotonic() > end:
                raise CannotRun("the daemons are not ready")
            time.sleep(0.05)
        self.record.write("all daemons are ready")

    def __exit__(self, *_: object) -> None:
        for daemon in self.daemons:
            daemon.kill()
            for item in daemon.held:
                item.close()
        if keep := os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                (Path(keep) / daemon.log.name).write_bytes(daemon.log.read_bytes())
        self.platform.close()
        self.folder.cleanup()


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder: Path, case: Callable[[Record], Optional[str]]) -> None:
    """Plays a case, which returns how the rule was broken, or nothing, and exits."""
    record = Record(folder / "record.txt")
    record.write(f"TROUBLE={1 if has_trouble() else 0}")
    try:
        broken = case(record)
    except (CannotRun, OSError) as error:
        record.write(f"the case could not run: {error}")
        print(f"could not run: {error}", flush=True)
        os._exit(CANNOT_RUN)
    record.write(f"the rule is broken: {broken}" if broken else "the rule is kept")
    print(f"broken: {broken}" if broken else "kept", flush=True)
    os._exit(1 if broken else 0)  # The tasks of the stand-ins need no orderly end.
