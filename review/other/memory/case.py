"""A runner in trouble sends bytes without end in the answers to streams. No machine may exceed its
memory, and no request of others on kept connections may stay without an answer."""

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
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import (BROKEN, HELD, Machine, Platform, Rig, Runner, Try, has_trouble, run_case,
                 standin)

MEMORY_MB = 260          # Of a process.
STREAM_CLIENTS = 40      # Of the models of the runner, one stream at a time each, at one machine.
GAP_S = 16.0             # Four times the objective, after which clients abandon a stream.
DEADLINE_S = 30.0
PART_BYTES = 32768       # The runner sends such a part to each stream
PART_PAUSE_S = 0.016     # at these intervals: 2 MB/s a stream, 80 MB/s in all.
TROUBLED = "r0"          # One of nine runners.
TROUBLE_S = 6.5          # As long as the longest trouble of runners in the site file (srv_grey).
WATCHED_S = 16.0         # From the end of the trouble.
KEPT_CONNECTIONS = 10    # At each machine.
ALLOWED = 3              # Requests that may be closed without an answer.
RESTART_S = 0.5          # From the end of a process to its restart by the platform.
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}


class TroubledRunner(Runner):
    """While it is in trouble, it begins answers and then sends bytes that are no events."""

    is_in_trouble = False

    async def _send_events(self, call: Any, run: Any, signed_headers: dict[str, str], first: int,
                           version: str) -> None:
        if not self.is_in_trouble:
            await super()._send_events(call, run, signed_headers, first, version)
            return
        call.writer.write(standin.response_head(200, {
            **signed_headers, "Content-Type": "text/event-stream"}))
        while not (call.reader.at_eof() or call.writer.is_closing()):
            call.writer.write(b"x" * PART_BYTES)
            await call.writer.drain()
            await asyncio.sleep(PART_PAUSE_S)
        call.writer.transport.abort()


class TroubledPlatform(Platform):
    async def _add(self, name: str, service: str, models: list[str]) -> None:
        await super()._add(name, service, models)
        self.endpoints[name].__class__ = TroubledRunner

    def _configure(self) -> None:
        """Adds a route with the figures of lease-brief in the sheet."""
        super()._configure()
        document = json.loads(base64.b64decode(self.store.rows["op", "config"][0]))
        self.version = document["version"] = document["version"] + 3
        document["routes"].append(
            {"name": "brief", "host": "h.example", "prefix": "/brief/", "kind": "streaming",
             "backend": "llm", "sticky": True, "resumable": False, "targetLatencyMs": 4000,
             "gapAimMs": 300, "timeoutMs": 30000, "priority": 1, "maxAttempts": 1})
        self.store.put("op", "config", json.dumps(document).encode())


def resident_mb(pid: int) -> float:
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def main(folder: Path) -> int:
    platform = TroubledPlatform(HOLDINGS, models=18, plain=3)
    platform.work_s = 0.05
    Runner.EVENTS, Runner.EVENT_PAUSE_S = 40, 0.05
    with Rig(folder, machines=4, platform=platform, memory_mb=MEMORY_MB) as rig:
        stop = threading.Event()
        unanswered: list[str] = []
        killed: list[str] = []
        streams: list[Try] = []
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

        def keep_streaming(number: int) -> None:
            while not stop.is_set():
                streams.append(Try(rig.machines[0], "brief", f"m{number % 2}",
                                   deadline_s=DEADLINE_S, gap_s=GAP_S).run())
                time.sleep(0.5)

        def limit_memory() -> None:
            """Ends a process that exceeds its memory and starts it again, as the platform does."""
            noted = 0.0
            while not stop.is_set():
                for machine in rig.machines:
                    used = resident_mb(machine.popen.pid) if machine.popen else 0.0
                    peak[0] = max(peak[0], used)
                    if machine is rig.machines[0] and time.monotonic() - noted > 0.5:
                        noted = time.monotonic()
                        rig.record.write(f"{machine} has {used:.0f} MB")
                    if used > MEMORY_MB:
                        rig.record.write(f"{machine} exceeds its memory: {used:.0f} MB")
                        killed.append(machine.name)
                        machine.signal(signal.SIGKILL)
                        time.sleep(RESTART_S)
                        machine.start()
                time.sleep(0.02)

        def set_trouble(is_in_trouble: bool) -> None:
            rig.record.write(f"{TROUBLED} sends bytes without end: {is_in_trouble}")
            platform.endpoints[TROUBLED].is_in_trouble = is_in_trouble

        with ThreadPoolExecutor(KEPT_CONNECTIONS * 4 + STREAM_CLIENTS + 1) as pool:
            clients = [pool.submit(keep_sending, machine)
                       for machine in rig.machines for _ in range(KEPT_CONNECTIONS)]
            pool.submit(limit_memory)
            time.sleep(4.0)  # All machines are in touch.
            if has_trouble():
                set_trouble(True)
            for number in range(STREAM_CLIENTS):
                clients.append(pool.submit(keep_streaming, number))
            time.sleep(TROUBLE_S)
            set_trouble(False)
            time.sleep(WATCHED_S)
            stop.set()
            for client in clients:
                client.result()
            for machine in rig.machines:
                if machine.popen is not None and machine.popen.poll() is None:
                    os.kill(machine.popen.pid, signal.SIGKILL)
        whole = sum(stream.is_whole for stream in streams)
        print(f"peak {peak[0]:.0f} MB; {len(killed)} processes exceeded their memory; "
              f"{len(unanswered)} checks on kept connections were run and got no answer; "
              f"{whole} of {len(streams)} streams were whole")
        return BROKEN if len(unanswered) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
