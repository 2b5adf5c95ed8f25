"""Clients ask for the head of an answer (HEAD) on kept connections, for a path whose route was removed.
What follows the refusal on the connection must be the answer to their next request."""

from __future__ import annotations

import base64
import json
import re
import socket
import sys
import time
import uuid
from pathlib import Path
from typing import Any, Optional

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import (BOUNDS, BROKEN, HELD, CaseError, Machine, Platform, Rig, has_trouble, run_case,
                 standin)

TRIES = 12
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(3)}


class KeptConnection:
    """A client's connection that is used for several requests, one after the other."""

    def __init__(self, rig: Rig, machine: Machine) -> None:
        self.rig = rig
        self.socket = socket.create_connection(machine.front, timeout=3.0)
        self.unread = b""

    def send(self, method: str, path: str, body: bytes = b"") -> str:
        request = uuid.uuid4().hex[:16]
        self.rig.record.write(f"client sends {method} {path} as {request}")
        self.socket.sendall(
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        return request

    def receive(self, method: str) -> Optional[tuple[int, bytes]]:
        """Reads an answer as RFC 9112 says: that to a HEAD ends with its head. Returns nothing if
        what comes is no answer."""
        while b"\r\n\r\n" not in self.unread:
            part = self.socket.recv(65536)
            if not part:
                break
            self.unread += part
        head, _, rest = self.unread.partition(b"\r\n\r\n")
        status = re.match(rb"HTTP/1\.1 (\d{3}) ", head)
        if status is None:
            self.rig.record.write(f"client reads what is no answer: {self.unread[:120]!r}")
            return None
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        size = int(length.group(1)) if length and method != "HEAD" else 0
        while len(rest) < size:
            rest += self.socket.recv(65536)
        self.unread = rest[size:]
        self.rig.record.write(f"client has {status.group(1).decode()} {rest[:size]!r}")
        return int(status.group(1)), rest[:size]


class HeadPlatform(Platform):
    """A platform with a route that can be removed, and endpoints that answer HEAD with a head."""

    def __init__(self) -> None:
        self.has_list = True
        super().__init__(HOLDINGS, models=6, plain=3)

    def _configure(self) -> None:
        super()._configure()
        row = self.store.rows["op", "config"]
        document = json.loads(base64.b64decode(row[0]))
        check = next(route for route in document["routes"] if route["name"] == "check")
        if self.has_list:
            document["routes"].append({**check, "name": "list", "prefix": "/list/"})
        self.store.put("op", "config", json.dumps(document).encode())

    async def _add(self, name: str, service: str, models: list[str]) -> None:
        await super()._add(name, service, models)
        endpoint = self.endpoints[name]
        answer_any = endpoint.http_server.handler

        async def answer(call: Any) -> None:
            if call.method != "HEAD":
                await answer_any(call)
                return
            request = call.fields.get("x-request-id", "")
            self.runs[request].append(standin.Run(
                request, endpoint.id, time.monotonic(), call.fields, call.target, call.body))
            call.writer.write(standin.response_head(200, {
                "X-Request-Id": request, "X-Response-Signature": f"{endpoint.id}.{request}",
                "X-Server-Load": "1,0,6", "Content-Length": str(len(f"done {request}"))}))

        endpoint.http_server.handler = answer

    def remove_route(self) -> None:
        def change() -> None:
            self.has_list = False
            self._configure()

        self.run_on_loop(change)


def main(folder: Path) -> int:
    platform = HeadPlatform()
    with Rig(folder, machines=4, platform=platform) as rig:
        time.sleep(3.5)  # All machines are in touch.
        kept = [KeptConnection(rig, rig.machines[number % 4]) for number in range(TRIES)]
        for connection in kept:
            connection.send("HEAD", "/list/x")
            answer = connection.receive("HEAD")
            if answer is None or answer[0] != 200:
                raise CaseError("a HEAD was not served")
        if has_trouble():
            rig.record.write("the operator removes the route of /list/")
            platform.remove_route()
        time.sleep(BOUNDS["configApplyMs"] / 1000 + 1.0)
        spoiled, statuses = [], []
        for connection in kept:
            connection.send("HEAD", "/list/x")
            answer = connection.receive("HEAD")
            if answer is None:
                raise CaseError("the HEAD itself got no answer")
            statuses.append(answer[0])
            request = connection.send("POST", "/pay/x", b"pay")
            answer = connection.receive("POST")
            if answer is None:
                runs = platform.runs.get(request, [])
                spoiled.append(request)
                rig.record.write(f"{request}: run {len(runs)} time(s), and the client got no answer "
                                 f"in the protocol")
            elif answer != (200, f"done {request}".encode()):
                raise CaseError(f"the payment got {answer}")
        print(f"answers to HEAD after the change: {sorted(set(statuses))}; {len(spoiled)} of {TRIES} "
              f"payments were followed by bytes that are no answer")
        return BROKEN if spoiled else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
