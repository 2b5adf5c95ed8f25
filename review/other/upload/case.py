"""Runners of one service read slowly while clients send requests with long bodies. No machine may
exceed its memory, and no request of others on kept connections may stay without an answer."""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import (BROKEN, HELD, Machine, Platform, Rig, Runner, Try, has_trouble, run_case,
                 standin)

MEMORY_MB = 160         # Of a process, as of the smallest machines of the sheet.
BODY_BYTES = 4 << 20    # maxBodyBytes in the limits of the configuration.
UPLOADS = 90            # Requests with long bodies in all,
UPLOADS_PER_S = 3.0     # so many a second, all at one machine.
DEADLINE_S = 35.0
SLOW_BYTES_PER_S = 131072  # What a slow runner reads of a request: 4 MB in 32 s.
WINDOW_BYTES = 65536       # Receive buffer of a runner.
KEPT_CONNECTIONS = 10   # At each machine.
ALLOWED = 3             # Requests that may be closed without an answer.
RESTART_S = 0.5         # From the end of a process to its restart by the platform.
HOLDINGS = {f"r{number}": ("v1", [f"m{number}"]) for number in range(3)}


class SlowServer(standin.HttpServer):
    """Reads the bodies of requests slowly."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        try:
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                lines = raw.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {}
                for line in filter(None, lines[1:]):
                    name, value = line.split(":", 1)
                    fields[name.strip().lower()] = value.strip()
                body, length = b"", int(fields.get("content-length", "0"))
                while len(body) < length:
                    part = await reader.read(min(length - len(body), 16384))
                    if not part:
                        return
                    body += part
                    if has_trouble():
                        await asyncio.sleep(len(part) / SLOW_BYTES_PER_S)
                await self.handler(standin.HttpCall(method, target, fields, body, reader, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class UploadPlatform(Platform):
    """The platform with a service that takes requests with long bodies."""

    async def _start(self, runners: int, plain: int) -> None:
        await super()._start(runners, plain)
        for number in range(3):
            server = Runner(self, f"u{number}", "uploads", [])
            server.born = int(time.time() * 1000)
            server.http_server = SlowServer(server._handle)
            await server.http_server.start()
            self.endpoints[server.id] = server
            server.announce()

    def _configure(self) -> None:
        super()._configure()
        document = json.loads(base64.b64decode(self.store.rows["op", "config"][0]))
        self.version = document["version"] = document["version"] + 3
        document["routes"].append(
            {"name": "upload", "host": "h.example", "prefix": "/upload/", "backend": "uploads",
             "kind": "idempotent", "maxAttempts": 2, "priority": 1, "targetLatencyMs": 4000,
             "timeoutMs": 35000})
        document["services"].append(
            {"name": "uploads", "healthPath": "/healthz", "maxConns": 590})
        self.store.put("op", "config", json.dumps(document).encode())


class Upload(Try):
    body_sent = b"x" * BODY_BYTES


def resident_mb(pid: int) -> float:
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def main(folder: Path) -> int:
    platform = UploadPlatform(HOLDINGS, models=3, plain=3)
    platform.work_s = 0.05
    with Rig(folder, machines=4, platform=platform, memory_mb=MEMORY_MB) as rig:
        stop = threading.Event()
        unanswered: list[str] = []
        killed: list[str] = []
        peak = [0.0]

        def keep_sending(machine: Machine) -> None:
            """Sends checks on a kept connection, one after the other."""
            connection = None
            while not stop.is_set():
                request, was_kept = uuid.uuid4().hex[:16], connection is not None
                try:
                    if connection is None:
                        connection = http.client.HTTPConnection(*machine.front, timeout=2.0)
                    connection.request("GET", "/check/x", headers={
                        "Host": "h.example", "X-Request-Id": request, "X-Deadline-Ms": "1500"})
                    answer = connection.getresponse()
                    answer.read()
                    if answer.will_close:
                        connection.close()
                        connection = None
                except (http.client.HTTPException, ConnectionError, socket.timeout) as error:
                    connection = None
                    runs = platform.runs.get(request, [])
                    was_closed = not isinstance(error, (ConnectionRefusedError, socket.timeout))
                    if was_kept and runs and was_closed:
                        unanswered.append(request)
                        rig.record.write(f"check {request} on a kept connection to {machine}: run "
                                         f"by {runs[0].endpoint}, closed without an answer")
                    time.sleep(0.1)

        def limit_memory() -> None:
            """Ends a process that exceeds its memory and starts it again, as the platform does."""
            noted = 0.0
            while not stop.is_set():
                for machine in rig.machines:
                    used = resident_mb(machine.popen.pid) if machine.popen else 0.0
                    peak[0] = max(peak[0], used)
                    if machine is rig.machines[0] and time.monotonic() - noted > 1.0:
                        noted = time.monotonic()
                        rig.record.write(f"{machine} has {used:.0f} MB")
                    if used > MEMORY_MB:
                        rig.record.write(f"{machine} exceeds its memory: {used:.0f} MB")
                        killed.append(machine.name)
                        machine.signal(signal.SIGKILL)
                        time.sleep(RESTART_S)
                        machine.start()
                time.sleep(0.02)

        with ThreadPoolExecutor(KEPT_CONNECTIONS * 4 + UPLOADS + 1) as pool:
            clients = [pool.submit(keep_sending, machine)
                       for machine in rig.machines for _ in range(KEPT_CONNECTIONS)]
            pool.submit(limit_memory)
            time.sleep(4.5)  # All machines are in touch.
            uploads = []
            for _ in range(UPLOADS):
                uploads.append(pool.submit(Upload(
                    rig.machines[0], "upload", deadline_s=DEADLINE_S, gap_s=DEADLINE_S).run))
                time.sleep(1.0 / UPLOADS_PER_S)
            time.sleep(5.0)
            stop.set()
            for client in clients:
                client.result()
            for machine in rig.machines:  # Ends the uploads that are still open.
                if machine.popen is not None and machine.popen.poll() is None:
                    os.kill(machine.popen.pid, signal.SIGKILL)
        statuses = sorted(upload.result().status for upload in uploads)
        counts = {status: statuses.count(status) for status in set(statuses)}
        print(f"peak {peak[0]:.0f} MB; {len(killed)} processes exceeded their memory; "
              f"{len(unanswered)} checks on kept connections were run and got no answer; "
              f"uploads by status (0: none): {counts}")
        return BROKEN if len(unanswered) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
