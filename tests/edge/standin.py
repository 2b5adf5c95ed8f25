"""Stand-in of the platform: a store, runners that load models, and plain endpoints.

Everything runs on one event loop in a thread of the test process. Tests inject faults by setting
attributes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Awaitable, Callable, Optional, Sequence
from urllib.parse import parse_qs, urlsplit

EVENT_COUNT = 6
MAX_FEED_ROWS = 500  # In one answer to a watch of a table.
MAX_READ_BYTES = 1_000_000  # Of the values in one answer to a read of a table.
MAX_KEY_BYTES = 200
# Value of SO_LINGER (on, 0 s) with which the close of a connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class HttpCall:
    """A received HTTP request with its connection. Header names are in lower case."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answer_fields: dict[str, str] = field(default_factory=dict)  # Added to each answer.

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    def query(self, name: str) -> str:
        return parse_qs(urlsplit(self.target).query, keep_blank_values=True).get(name, [""])[0]


def response_head(status: int, fields: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def write_response(call: HttpCall, status: int, body: bytes = b"", **fields: str) -> None:
    names = {name.replace("_", "-"): value for name, value in fields.items()}
    call.writer.write(response_head(
        status, {**call.answer_fields, **names, "Content-Length": str(len(body))}) + body)


class EndlessPart(Enum):
    """The part of an answer that goes on without end."""

    HEAD = "head"                        # The value of a field.
    INTERIM_HEADS = "interim heads"      # Interim answers (103), and never a final one.
    BODY = "body"                        # A signed answer without a length.
    ANNOUNCED_BODY = "announced body"    # The same with a length beyond any memory.
    UNSIGNED_BODY = "unsigned body"      # An answer that the daemon must not forward.
    REFUSAL_BODY = "refusal body"        # An answer that states that the request has not run.
    FOREIGN_BODY = "foreign body"        # An answer to another request.
    EVENT = "event"                      # The only event of a stream.
    COMMENTS = "comments"                # Comment lines, and never an event.
    CHUNK_EXTENSION = "chunk extension"  # The extension of the first chunk.
    TRAILER = "trailer"                  # The value of a field after the last chunk.


class CallKind(Enum):
    """The kinds of calls that daemons make."""

    REQUEST = "request"
    ORDER = "order"
    REPORT = "report"
    STORE = "store"


@dataclass
class Endless:
    """An answer that goes on until its caller closes the connection."""

    part: EndlessPart
    calls: frozenset[CallKind] = frozenset({CallKind.REQUEST})
    is_slow: bool = False  # A few bytes every 20 ms. Otherwise as fast as the caller reads.
    answer_times_s: list[float] = field(default_factory=list)  # Until the caller closed, for each.
    open_answers: int = 0

    async def answer(self, call: HttpCall, signed_headers: dict[str, str]) -> None:
        """Sends the answer until the caller closes its connection."""
        started = time.monotonic()
        self.open_answers += 1
        try:
            unit = self._unit(8 if self.is_slow else 32 << 10)
            call.writer.write(self._start(signed_headers) + unit)
            while not (call.reader.at_eof() or call.writer.is_closing()):
                call.writer.write(unit)
                await call.writer.drain()
                await asyncio.sleep(0.02 if self.is_slow else 0)
        finally:
            self.open_answers -= 1
            self.answer_times_s.append(time.monotonic() - started)
            call.writer.transport.abort()

    def _start(self, signed_headers: dict[str, str]) -> bytes:
        chunked = {**signed_headers, "Transfer-Encoding": "chunked"}
        return {
            EndlessPart.HEAD: b"HTTP/1.1 200 X\r\nX-Long: ",
            EndlessPart.INTERIM_HEADS: b"",
            EndlessPart.BODY: response_head(
                202 if CallKind.ORDER in self.calls else 200, signed_headers),
            EndlessPart.ANNOUNCED_BODY: response_head(
                200, {**signed_headers, "Content-Length": str(1 << 50)}),
            EndlessPart.UNSIGNED_BODY: response_head(200, {}),
            EndlessPart.REFUSAL_BODY: response_head(503, {**signed_headers, "X-Not-Executed": "1"}),
            EndlessPart.FOREIGN_BODY: response_head(200, {
                **signed_headers, "X-Request-Id": "nobody"}),
            EndlessPart.EVENT: response_head(200, signed_headers) + b"id: 1\ndata: ",
            EndlessPart.COMMENTS: response_head(200, signed_headers),
            EndlessPart.CHUNK_EXTENSION: response_head(200, chunked) + b"5;x=",
            EndlessPart.TRAILER: response_head(200, chunked) + b"0\r\nX-Long: ",
        }[self.part]

    def _unit(self, size: int) -> bytes:
        if self.part is EndlessPart.INTERIM_HEADS:
            return response_head(103, {"X-Long": "x" * size})
        if self.part is EndlessPart.COMMENTS:
            return b": xxxxx\n" * (size // 8)
        return b"x" * size


class HttpServer:
    """An HTTP/1.1 server on loopback that passes all requests to one handler.

    A restart keeps the port.
    """

    def __init__(self, handler: Callable[[HttpCall], Awaitable[None]]) -> None:
        self.handler = handler
        self.server: Optional[asyncio.base_events.Server] = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.reads = True  # Otherwise connections are accepted and nothing is read from them.

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=4096)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            # Without this, the kernel would end an answer without a length as if it was whole.
            connection = writer.transport.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def answers_early(self, _: HttpCall) -> bool:
        """Returns whether a call has been answered before its body was read."""
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                if not self.reads:
                    writer.transport.pause_reading()
                    await asyncio.Event().wait()
                raw = await reader.readuntil(b"\r\n\r\n")
                lines = raw.decode("latin-1").split("\r\n")
                words = lines[0].split(" ")
                if len(words) != 3:
                    writer.write(response_head(400, {"Content-Length": "0"}))
                    continue
                method, target, _ = words
                fields = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        fields[name.strip().lower()] = value.strip()
                call = HttpCall(method, target, fields, b"", reader, writer)
                if await self.answers_early(call):
                    return
                call.body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.handler(call)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: tables of versioned rows, transactions and a feed of changes.

    The version of a row is the store's version at its last write.
    """

    def __init__(self) -> None:
        self.http_server = HttpServer(self._handle)
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, str, str, Optional[str]]] = []
        self.version = 0
        self.last_cleared_version = 0  # Last version whose change is no longer in the history.
        self.changed = asyncio.Event()
        self.is_down = False
        self.other_servers: list[HttpServer] = []
        self.rejected_ports: set[int] = set()
        self.rejected_tables: set[str] = set()  # Transactions that change them are refused.
        self.delay_s = 0.0
        self.max_read_rows = 500  # In one answer to a read of a table.
        self.max_row_bytes = 65_536  # Of the value of a row that a daemon writes, in base64.
        self.too_large_writes = 0  # Of daemons.
        self.lose_writes = 0  # Transactions that are applied but whose answer is lost.
        self.era = 1
        self.endless: Optional[Endless] = None
        # The rows and the version after each change, with the time, for restore().
        self.copies: list[tuple[float, dict[tuple[str, str], tuple[str, int]], int]] = []

    def put(self, table: str, key: str, value: Optional[bytes]) -> int:
        """Writes a row, or removes it if value is None, and returns the new version."""
        self.version += 1
        text = None if value is None else base64.b64encode(value).decode()
        if text is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (text, self.version)
        self.changes.append((self.version, table, key, text))
        self.copies.append((time.monotonic(), dict(self.rows), self.version))
        del self.copies[:-2000]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def restore(self, age_s: float) -> None:
        """Comes back from the copy of some time ago; the era rises, and versions are reused."""
        moment = time.monotonic() - age_s
        _, rows, version = next(
            (copy for copy in reversed(self.copies) if copy[0] <= moment), (0.0, {}, 0))
        self.rows, self.version = dict(rows), version
        self.changes = [change for change in self.changes if change[0] <= version]
        self.copies = [copy for copy in self.copies if copy[0] <= moment]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def clear_history(self) -> None:
        """Clears the history, so that a feed that is not up to date gets status 410."""
        self.last_cleared_version = self.version
        self.changes.clear()

    async def add_port(self) -> int:
        """Returns another port of the store, whose calls are refused while it is in rejected_ports."""
        async def handle(call: HttpCall) -> None:
            if server.port in self.rejected_ports:
                self._refuse(call, 503)
            else:
                await self._handle(call)

        server = HttpServer(handle)
        await server.start()
        self.other_servers.append(server)
        return server.port

    async def _handle(self, call: HttpCall) -> None:
        await asyncio.sleep(0.002 + self.delay_s)
        if self.is_down:
            self._refuse(call, 503)
            return
        if self.endless and CallKind.STORE in self.endless.calls:
            await self.endless.answer(call, {"Store-Era": str(self.era)})
            return
        if call.path.endswith("/rows-tx"):
            await self._handle_transaction(call)
        elif call.path.endswith("/rows-get"):
            self._handle_read(call)
        else:
            await self._handle_feed(call)

    def _handle_read(self, call: HttpCall) -> None:
        table, first = call.query("table"), call.query("from")
        if len(first.encode()) > MAX_KEY_BYTES:
            self._refuse(call, 400)
            return
        keys = sorted((k for t, k in self.rows if t == table and k.encode() >= first.encode()),
                      key=str.encode)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[:self.max_read_rows]:
            rows.append(self._row(table, key))
            size += len(rows[-1]["value"])
            if size > MAX_READ_BYTES and len(rows) > 2:
                rows.pop()
                break
        self._send(call, rows, is_truncated=len(keys) > len(rows))

    async def _handle_transaction(self, call: HttpCall) -> None:
        body = json.loads(call.body)
        # Daemons must not write the operator's configuration or the rows of endpoints.
        if any(entry["table"] in ("op", "servers") for entry in body["setKeys"]):
            self._refuse(call, 403)
            return
        if any(entry["table"] in self.rejected_tables for entry in body["setKeys"]):
            self._refuse(call, 503)
            return
        if any(len(entry["value"]) > self.max_row_bytes for entry in body["setKeys"]):
            self.too_large_writes += 1
            self._refuse(call, 413)
            return
        for condition in body["expectedRev"]:
            found = self.rows.get((condition["table"], condition["key"]))
            if (found[1] if found else 0) != condition["ver"]:
                rows = [self._row(c["table"], c["key"]) for c in body["expectedRev"]
                        if (c["table"], c["key"]) in self.rows]
                self._send(call, rows, 412)
                return
        for entry in body["setKeys"]:
            self.put(entry["table"], entry["key"], base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self.put(entry["table"], entry["key"], None)
        if self.lose_writes > 0:
            self.lose_writes -= 1
            call.writer.transport.abort()
            return
        self._send(call, [])

    async def _handle_feed(self, call: HttpCall) -> None:
        table, after = call.query("table"), int(call.query("after"))
        deadline = time.monotonic() + int(call.query("waitMs")) / 1000
        while True:
            if after < self.last_cleared_version or after > self.version:
                self._refuse(call, 410)
                return
            rows = [self._change(c) for c in self.changes if c[0] > after and c[1] == table]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0 or self.is_down:
                # An answer with the greatest number of rows ends at the version of the last one.
                is_full = len(rows) >= MAX_FEED_ROWS
                rows = rows[:MAX_FEED_ROWS]
                self._send(call, rows, version=rows[-1]["ver"] if is_full else None)
                return
            try:
                await asyncio.wait_for(self.changed.wait(), min(remaining_s, 0.2))
            except asyncio.TimeoutError:
                pass

    def _row(self, table: str, key: str) -> dict[str, Any]:
        value, version = self.rows[table, key]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    @staticmethod
    def _change(change: tuple[int, str, str, Optional[str]]) -> dict[str, Any]:
        version, table, key, value = change
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "removed": True} if value is None else {**row, "value": value}

    def _send(self, call: HttpCall, rows: list[dict[str, Any]], status: int = 200,
              version: Optional[int] = None, is_truncated: bool = False) -> None:
        body = {"rows": rows, "truncated": is_truncated, "ver": version or self.version, "nowMs": 1}
        write_response(call, status, json.dumps(body).encode(), Content_Type="application/json",
                       Store_Era=str(self.era))

    def _refuse(self, call: HttpCall, status: int) -> None:
        write_response(call, status, Store_Era=str(self.era))


@dataclass
class Run:
    """A request that an endpoint has begun to execute."""

    request: str
    endpoint: str
    at: float
    fields: dict[str, str]
    target: str
    body: bytes
    is_cut: bool = False


class StreamFraming(Enum):
    """How an endpoint marks the end of a stream, also of one that is cut."""

    CHUNKED = "chunked"                 # A cut stream has no last chunk.
    UNTIL_CLOSE = "until close"         # A cut stream ends with its connection, as a whole one.
    ALWAYS_TERMINATED = "terminated"    # A cut stream has its last chunk.


@dataclass
class OtherAnswer:
    """An answer in place of the usual one."""

    status: int
    content_type: str
    body: bytes


class SilentAt(Enum):
    """Where in an answer an endpoint falls silent. It goes on afterwards as if nothing had been."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "between the head and the first byte of the body"
    BETWEEN_EVENTS = "between two events, or two parts of a plain body"
    INSIDE_EVENT = "inside an event, or between two parts of a plain body"


@dataclass
class Silence:
    """A pause of a sound endpoint in each answer, or only in those that are under way meanwhile.

    after_events is the number of events that precede a silence in the events of a stream.
    """

    at: SilentAt
    seconds: float
    after_events: int = 2
    remaining: int = 1 << 30  # Number of answers that still have the silence.


@dataclass
class Faults:
    """The faults of an endpoint that are switched on."""

    delays_answers: bool = False    # Requests are run, but answered only 30 s later.
    lost_answers: int = 0           # Number of next answers that are lost after the run.
    cut_after_events: Optional[int] = None  # Events after which each stream is cut.
    cut_bytes: bytes = b"id: 99\nda"        # Sent before the cut: an event that is not finished.
    bytes_after_events: bytes = b""          # Sent after the last event of a whole stream.
    stream_framing: StreamFraming = StreamFraming.CHUNKED
    extra_answer: bool = False      # Each answer of a plain endpoint is followed by another.
    refuses_all: bool = False       # All requests are refused without being run.
    answers_500: bool = False       # Requests are run and answered with status 500.
    crashing_body: bytes = b""      # A request whose body contains these bytes crashes it.
    crashing_account: str = ""      # Only one of this account does, unless empty.
    # A request with one of these prompt parts, not as the last one, crashes it after the answer's head.
    crashing_parts: frozenset[str] = frozenset()
    crashing_version: str = ""  # Only a process of this software version does, unless empty.
    crashes_after_event: bool = False  # The first event is sent before such a crash.
    pause_value: str = ""           # Refuses requests with 503 and this Retry-After.
    load_value: str = ""            # Value of X-Server-Load in all answers, in place of the usual one.
    limit_value: str = ""           # Value of Server-Limit in all answers; not sent if empty.
    leaving_value: str = ""         # Value of Server-Leaving in all answers; not sent if empty.
    leaving_interim: bool = False   # The value is sent in an interim answer instead.
    repeats_refusals: bool = False  # Writes the last refusal of a connection again with each answer.
    refuse_requests: int = 0        # Number of next requests that are refused without being run.
    refusals_have_id: bool = True
    resets_uploads: bool = False    # Answers a long upload at once with a part of a body, and resets.
    report_body: Optional[bytes] = None  # In place of each report.
    resume_answer: Optional[OtherAnswer] = None  # Signed, to requests that resume a stream.
    cut_head: Optional[int] = None  # Bytes of the head of a signed answer after which it closes.
    cuts_resumed_only: bool = False  # Only the heads of answers that resume a stream.
    silence: Optional[Silence] = None
    endless: Optional[Endless] = None  # Some answers have no end.
    # A plain endpoint answers a path that begins with /tokens/ with a stream of that many events.
    token_events: int = 0
    token_bytes: int = 0            # Size of each of them.


class Endpoint:
    """A runner, or a plain endpoint if it has no models.

    models has the loaded models with their loaded adapters. on_disk has the models whose weights
    are on the runner's disk.
    """

    def __init__(self, platform: "Platform", name: str, service: str, models: list[str]) -> None:
        self.platform, self.id, self.service = platform, name, service
        self.http_server = HttpServer(self._handle)
        self.http_server.answers_early = self._answer_early
        self.last_refusals: dict[asyncio.StreamWriter, bytes] = {}  # By connection.
        self.models: dict[str, list[str]] = {model: [] for model in models}
        self.on_disk = set(platform.models) if models else set()
        self.faults = Faults()
        self.born, self.order_count, self.busy_until = 1, 0, 0.0
        self.entry_writes = 0  # Of the present process.
        self.state, self.is_down = "ready", False
        self.version = self.next_version = "v1"  # Of its software, now and after a crash.
        self.max_loaded_models = 0
        self.order_log: list[dict[str, Any]] = []
        self.arrivals: list[float] = []  # Of requests, orders and calls for reports.
        self.arrival_kinds: list[CallKind] = []  # The kinds of these, in the same order.

    def announce(self) -> None:
        """Writes the endpoint's row to the store."""
        self.platform.store.put("servers", self.id, self.next_entry())

    def next_entry(self) -> bytes:
        """Returns the value of the endpoint's next write of its row."""
        self.entry_writes += 1
        entry = {"backend": self.service, "address": f"127.0.0.1:{self.http_server.port}",
                 "zone": "a",
                 "version": self.version, "slots": 8, "state": self.state, "coldLeftMs": 0,
                 "born": self.born, "seq": self.entry_writes, **self._loaded_state()}
        return json.dumps(entry).encode()

    def _loaded_state(self) -> dict[str, Any]:
        models = [{"name": m, "version": 1, "adapters": a} for m, a in self.models.items()]
        return {"stage": "combined", "models": models,
                "atHand": {"inMemory": [], "onDisk": sorted(self.on_disk)}}

    async def crash(self, back_after_s: Optional[float]) -> None:
        """Resets all connections and removes the row; starts again without models after a delay.

        The endpoint stays down if back_after_s is None.
        """
        if self.is_down:
            return
        self.is_down = True
        await self.http_server.stop()
        self.platform.store.put("servers", self.id, None)
        if back_after_s is None:
            return
        await asyncio.sleep(back_after_s)
        self.born, self.order_count, self.busy_until = self.born + 1000, 0, 0.0
        self.models, self.version, self.entry_writes = {}, self.next_version, 0
        await self.http_server.start()
        self.is_down = False
        self.announce()

    async def _handle(self, call: HttpCall) -> None:
        self.arrivals.append(time.monotonic())
        if self.faults.leaving_value and self.faults.leaving_interim:
            call.writer.write(response_head(103, {"Server-Leaving": self.faults.leaving_value}))
        elif self.faults.leaving_value:
            call.answer_fields["Server-Leaving"] = self.faults.leaving_value
        if self.faults.load_value:
            call.answer_fields["X-Server-Load"] = self.faults.load_value
        if self.faults.limit_value:
            call.answer_fields["Server-Limit"] = self.faults.limit_value
        endless = self.faults.endless
        kind = (CallKind.REPORT if call.path.endswith("/report") else
                CallKind.ORDER if call.path.endswith("/order") else CallKind.REQUEST)
        self.arrival_kinds.append(kind)
        if call.fields.get("x-target-instance", self.id) != self.id:
            write_response(call, 421)
        elif endless and kind is CallKind.REPORT and kind in endless.calls:
            await endless.answer(call, {})
        elif call.path.endswith("/report") and self.faults.report_body is not None:
            write_response(call, 200, self.faults.report_body)
        elif call.path.endswith("/report"):
            report = {**self._loaded_state(), "busy": self.busy_until > time.monotonic(),
                      "seq": self.order_count, "born": self.born, "waiting": 0, "running": 0}
            write_response(call, 200, json.dumps(report).encode())
        elif call.path.endswith("/order"):
            await self._handle_order(call)
        else:
            await self._handle_request(call)

    async def _answer_early(self, call: HttpCall) -> bool:
        if not self.faults.resets_uploads or int(call.fields.get("content-length", "0")) == 0:
            return False
        request = call.fields.get("x-request-id", "")
        self.platform.runs[request].append(
            Run(request, self.id, time.monotonic(), call.fields, call.target, b""))
        connection = call.writer.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        call.writer.transport.pause_reading()
        call.writer.write(response_head(200, {
            "X-Request-Id": request, "X-Response-Signature": f"{self.id}.{request}"}) + b"done ")
        await asyncio.sleep(0.05)
        call.writer.transport.abort()
        return True

    async def _handle_order(self, call: HttpCall) -> None:
        order = json.loads(call.body)
        self.order_log.append({**order, "at": time.monotonic(), "runner": self.id})
        if self.busy_until > time.monotonic() or order.get("expectedRev", 0) != self.order_count:
            write_response(call, 409)
            return
        self.order_count += 1
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "model_load" and adapter:
            self.models[model].append(adapter)
        elif order["operation"] == "model_load":
            self.busy_until = time.monotonic() + self.platform.load_s
            asyncio.get_running_loop().call_later(self.platform.load_s, self._loaded, model)
        elif adapter:
            self.models[model].remove(adapter)
        else:
            self.models.pop(model, None)
        if self.faults.endless and CallKind.ORDER in self.faults.endless.calls:
            await self.faults.endless.answer(call, {})
            return
        write_response(call, 202)

    def _loaded(self, model: str) -> None:
        self.models[model] = []
        self.max_loaded_models = max(self.max_loaded_models, len(self.models))
        self.announce()

    async def _handle_request(self, call: HttpCall) -> None:
        request = call.fields.get("x-request-id", "")
        model, _, adapter = call.fields.get("x-model", "").partition("/")
        is_missing = model and (model not in self.models
                                or (adapter and adapter not in self.models[model]))
        if self.faults.pause_value:
            write_response(call, 503, X_Not_Executed="1", X_Request_Id=request,
                           Retry_After=self.faults.pause_value)
            return
        if self.faults.refuse_requests > 0:
            self.faults.refuse_requests -= 1
            refusal = response_head(503, {
                "X-Not-Executed": "1", "Content-Length": "0",
                **({"X-Request-Id": request} if self.faults.refusals_have_id else {})})
            self.last_refusals[call.writer] = refusal
            call.writer.write(refusal)
            return
        if self.faults.repeats_refusals:
            call.writer.write(self.last_refusals.get(call.writer, b""))
        if self.faults.refuses_all or is_missing:
            write_response(call, 421 if is_missing else 503, X_Not_Executed="1",
                           X_Request_Id=request)
            return
        if self.faults.endless and self.faults.endless.part is EndlessPart.REFUSAL_BODY:
            await self.faults.endless.answer(call, {"X-Request-Id": request})
            return
        run = Run(request, self.id, time.monotonic(), call.fields, call.target, call.body)
        self.platform.runs[request].append(run)
        if (self.faults.crashing_body and self.faults.crashing_body in call.body
                and self.faults.crashing_account in ("", call.fields.get("x-tenant"))):
            run.is_cut = True
            asyncio.ensure_future(self.crash(0.4))
            return
        parts = [part.split(":")[0] for part in call.fields.get("x-prompt-prefix", "").split(",")]
        if (self.faults.crashing_parts.intersection(parts[:-1])
                and self.faults.crashing_version in ("", self.version)):
            await self._crash_after_head(call, run)
            return
        if self.faults.delays_answers:
            await asyncio.sleep(30)
        await asyncio.sleep(self.platform.work_s)
        silence = self._take_silence()
        if silence is not None and silence.at is SilentAt.BEFORE_HEAD:
            await asyncio.sleep(silence.seconds)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            call.writer.transport.abort()
            return
        signed_headers = {"X-Request-Id": request, "X-Response-Signature": f"{self.id}.{request}",
                          "X-Server-Load": "1,0,8", **call.answer_fields}
        is_cut = self.faults.cut_head is not None and (
            "last-event-id" in call.fields or not self.faults.cuts_resumed_only)
        if self.faults.endless and CallKind.REQUEST in self.faults.endless.calls:
            await self.faults.endless.answer(call, signed_headers)
        elif is_cut:
            content = ({"Content-Type": "text/event-stream"} if model else {"Content-Length": "0"})
            call.writer.write(
                response_head(200, {**content, **signed_headers})[:self.faults.cut_head])
            call.writer.close()
        elif self.faults.resume_answer and "last-event-id" in call.fields:
            answer = self.faults.resume_answer
            call.writer.write(response_head(answer.status, {
                **signed_headers, "Content-Type": answer.content_type,
                "Content-Length": str(len(answer.body))}) + answer.body)
        elif self.faults.answers_500:
            call.writer.write(response_head(500, {**signed_headers, "Content-Length": "0"}))
        elif model:
            await self._stream(call, run, signed_headers, silence)
        elif call.path.startswith("/tokens/"):
            await self._send_tokens(call, signed_headers)
        else:
            body = f"done {request}".encode()
            call.writer.write(
                response_head(200, {**signed_headers, "Content-Length": str(len(body))}))
            if silence is not None and silence.at is not SilentAt.BEFORE_HEAD:
                first = 0 if silence.at is SilentAt.AFTER_HEAD else 4
                call.writer.write(body[:first])
                await asyncio.sleep(silence.seconds)
                body = body[first:]
            call.writer.write(body)
            if self.faults.extra_answer:
                call.writer.write(response_head(200, {**signed_headers, "X-Request-Id": "nobody",
                                                      "Content-Length": "5"}) + b"extra")

    async def _send_tokens(self, call: HttpCall, signed_headers: dict[str, str]) -> None:
        """Sends a stream as fast as the daemon reads it."""
        connection = call.writer.transport.get_extra_info("socket")
        # Otherwise the kernel takes megabytes for each stream that is not read.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 << 10)
        call.writer.write(response_head(200, {
            **signed_headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(1, self.faults.token_events + 1):
            event = f"id: {number}\ndata: ".encode()
            event += b"x" * (self.faults.token_bytes - len(event) - 2) + b"\n\n"
            call.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await call.writer.drain()
        call.writer.write(b"0\r\n\r\n")

    async def _crash_after_head(self, call: HttpCall, run: Run) -> None:
        run.is_cut = True
        await asyncio.sleep(self.platform.work_s)
        if self.is_down or call.writer.is_closing():
            return
        call.writer.write(response_head(200, {
            "X-Request-Id": run.request, "X-Response-Signature": f"{self.id}.{run.request}",
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        if self.faults.crashes_after_event:
            event = f"id: 1\ndata: {run.request} 1 {self.version}\n\n".encode()
            call.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await call.writer.drain()
        await asyncio.sleep(0.01)
        if not self.is_down:
            self.platform.part_crashes.append(time.monotonic())
            asyncio.ensure_future(self.crash(0.5))

    def _take_silence(self) -> Optional[Silence]:
        """Returns the silence of the answer that begins, if it has one."""
        silence = self.faults.silence
        if silence is None or silence.remaining <= 0:
            return None
        silence.remaining -= 1
        return silence

    async def _stream(self, call: HttpCall, run: Run, signed_headers: dict[str, str],
                      silence: Optional[Silence]) -> None:
        first = int(call.fields.get("last-event-id", "0") or "0") + 1
        version = self.version
        framing = self.faults.stream_framing
        is_chunked = framing is not StreamFraming.UNTIL_CLOSE
        framing_header = {"Transfer-Encoding": "chunked"} if is_chunked else {}

        def write(data: bytes) -> None:
            if data and is_chunked:
                data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            call.writer.write(data)

        call.writer.write(response_head(200, {**signed_headers, "Content-Type": "text/event-stream",
                                              **framing_header}))
        silent_at = silence.at if silence is not None else None
        if silence is not None and silent_at is SilentAt.AFTER_HEAD:
            await asyncio.sleep(silence.seconds)
        for sent, number in enumerate(range(first, EVENT_COUNT + 1)):
            if self.faults.cut_after_events is not None and sent >= self.faults.cut_after_events:
                run.is_cut = True
                write(self.faults.cut_bytes)
                break
            padding = "x" * self.platform.event_padding
            event = f"id: {number}\ndata: {run.request}{padding} {number} {version}\n\n".encode()
            if silence is not None and sent == silence.after_events and silent_at in (
                    SilentAt.BETWEEN_EVENTS, SilentAt.INSIDE_EVENT):
                begun = len(event) // 2 if silent_at is SilentAt.INSIDE_EVENT else 0
                write(event[:begun])
                await asyncio.sleep(silence.seconds)
                event = event[begun:]
            write(event)
            await call.writer.drain()
            await asyncio.sleep(self.platform.work_s)
        if not run.is_cut:
            write(self.faults.bytes_after_events)
        if framing is StreamFraming.CHUNKED and run.is_cut:
            await call.writer.drain()
            call.writer.transport.abort()
        elif is_chunked:
            call.writer.write(b"0\r\n\r\n")
        else:
            call.writer.close()


class Platform:
    """The store, the operator's configuration and all endpoints, on an event loop of their own.

    models_per_runner is the number of models that fit into a runner's memory.
    """

    def __init__(self, models: int = 6, runners: int = 2, plain: int = 2,
                 models_per_runner: int = 2) -> None:
        self.models = [f"m{number}" for number in range(models)]
        self.models_per_runner = models_per_runner
        self.load_s, self.work_s = 0.3, 0.01
        self.event_padding = 0  # Additional bytes in each event of a stream.
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.endpoints: dict[str, Endpoint] = {}
        self.part_crashes: list[float] = []  # Times of crashes by crashing parts.
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.version = 0
        self.run_coroutine(self._start(runners, plain))

    def run_coroutine(self, work: Awaitable[Any]) -> Any:
        """Runs a coroutine on the platform's loop, for at most 30 s, and returns its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def run_on_loop(self, action: Callable[[], Any]) -> Any:
        """Calls a function on the platform's loop and returns its result."""
        async def run() -> Any:
            return action()

        return self.run_coroutine(run())

    async def _start(self, runners: int, plain: int) -> None:
        self.store = Store()
        await self.store.http_server.start()
        for number in range(runners):
            held = [self.models[(number * self.models_per_runner + place) % len(self.models)]
                    for place in range(self.models_per_runner)]
            await self._add(f"r{number}", "llm", held)
        for number in range(plain):
            await self._add(f"p{number}", "plain", [])
        self._configure()

    async def _add(self, name: str, service: str, models: list[str]) -> None:
        endpoint = Endpoint(self, name, service, models)
        await endpoint.http_server.start()
        self.endpoints[name] = endpoint
        endpoint.announce()

    def _configure(self, routes: Sequence[dict[str, Any]] = (), without: Sequence[str] = (),
                   every_route: Optional[dict[str, Any]] = None,
                   limits: Optional[dict[str, Any]] = None,
                   accounts: Optional[list[dict[str, Any]]] = None) -> None:
        self.version += 3
        route = {"host": "h.example", "priority": 1, "maxAttempts": 2, "timeoutMs": 8000}
        engine = {"slots": 8, "kvTokens": 100000,
                  "weightsMb": 1000.0 * self.models_per_runner + 100,
                  "adapterSlots": 2, "loadsPerS": 4.0,
                  "models": [{"name": name, "weightsMb": 1000.0, "loadTimeS": self.load_s,
                              "adapters": 3, "adapterMb": 10.0, "diskS": self.load_s}
                             for name in self.models]}
        own_routes = [
            {**route, "name": "chat", "prefix": "/chat/", "kind": "streaming", "backend": "llm",
             "targetLatencyMs": 1000, "sticky": True, "resumable": True, "gapAimMs": 300},
            {**route, "name": "draft", "prefix": "/draft/", "kind": "streaming", "backend": "llm",
             "targetLatencyMs": 1000, "sticky": True, "resumable": False, "gapAimMs": 300},
            {**route, "name": "pay", "prefix": "/pay/", "kind": "non_idempotent",
             "backend": "plain", "targetLatencyMs": 200, "timeoutMs": 2000},
            {**route, "name": "check", "prefix": "/check/", "kind": "idempotent",
             "backend": "plain", "targetLatencyMs": 200, "timeoutMs": 2000},
        ]
        own_routes = [{**item, **(every_route or {})} for item in own_routes
                      if item["name"] not in without]
        document = {"version": self.version, "routes": own_routes + list(routes),
                    "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 99,
                                  "engine": engine},
                                 {"name": "plain", "healthPath": "/healthz", "maxConns": 99}],
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                               "headerTimeoutMs": 2000, "idleTimeoutMs": 15000,
                               **(limits or {})}}
        if accounts is not None:
            document["tenants"] = accounts
        self.store.put("op", "config", json.dumps(document).encode())

    def configure(self, **changes: Any) -> None:
        """Stores a new version of the configuration.

        routes are added, those named in without are left out, and every_route and limits replace
        fields of each route and of the limits on clients. Without accounts, clients need no keys.
        """
        self.run_on_loop(lambda: self._configure(**changes))

    def restore_store(self, age_s: float, rewrite_after_s: float = 1.0) -> None:
        """Lets the store come back from an older copy.

        The operator and the endpoints write their rows again after some time.
        """
        def rewrite() -> None:
            self._configure()
            for endpoint in self.endpoints.values():
                if not endpoint.is_down:
                    endpoint.announce()

        def restore() -> None:
            self.store.restore(age_s)
            self.loop.call_later(rewrite_after_s, rewrite)

        self.run_on_loop(restore)

    def close(self) -> None:
        async def stop() -> None:
            for endpoint in self.endpoints.values():
                await endpoint.http_server.stop()
            for server in [self.store.http_server, *self.store.other_servers]:
                await server.stop()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run_coroutine(stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
