"""Another writer has put entries into the table of runners that make it longer than one answer.

The store answers reads of the table in pages, as the pages say. Then all daemons are killed and started
again, and clients go on.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))
from rig import (HAS_TROUBLE, HEARTBEAT_S, Answer, HttpCall, HttpServer, Rig, Runner, Store, play,  # noqa: E402
                 write_response)

RECOVER_S = 12.0
ROW_BYTES, MAX_ROWS, MAX_ANSWER_BYTES = 65536, 500, 1 << 20
ENTRIES = 16
KEY = os.environ.get("KEY", "backup of i-llm{}")
SECONDS_BEFORE, SECONDS_AFTER = 4.0, RECOVER_S + 8.0


class StrictServer(HttpServer):
    """Answers 400 if the first line of a request has not exactly three words."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {name.strip().lower(): value.strip() for name, value in (
                    line.split(":", 1) for line in lines[1:] if line)}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                words = lines[0].split(" ")
                call = HttpCall(words[0], words[1], fields, body, reader, writer)
                if len(words) == 3:
                    await self.handler(call)
                else:
                    write_response(call, 400, Store_Era="1")
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class PagedStore(Store):
    """Answers reads of a table with 500 rows or 1 MB at most."""

    def __init__(self) -> None:
        super().__init__()
        self.http_server = StrictServer(self._handle)

    async def _handle(self, call: HttpCall) -> None:
        if not call.path.endswith("/rows-get"):
            await super()._handle(call)
            return
        await asyncio.sleep(0.002)
        query = parse_qs(urlsplit(call.target).query, keep_blank_values=True)
        table, first = query["table"][0], query.get("from", [""])[0]
        rows, size, is_truncated = [], 0, False
        for key in sorted(key for name, key in self.rows if name == table and key >= first):
            row = self._row(table, key)
            size += len(json.dumps(row))
            if len(rows) == MAX_ROWS or size > MAX_ANSWER_BYTES:
                is_truncated = True
                break
            rows.append(row)
        body = {"rows": rows, "truncated": is_truncated, "ver": self.version, "nowMs": 1}
        write_response(call, 200, json.dumps(body).encode(), Content_Type="application/json",
                       Store_Era=str(self.era))


def case(rig: Rig) -> bool:
    for number in range(3):
        rig.add_runner(Runner(rig, f"i-llm{number}", "asesor-llm", ["m0", "m1"]))
        rig.add_runner(Runner(rig, f"i-app{number}", "nomina-core", []))
    rig.configure()
    rig.start_daemons(3)
    pool = ThreadPoolExecutor(64)

    def send_for(seconds: float) -> list[Future[Answer]]:
        pending: list[Future[Answer]] = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            daemon = rig.daemons[len(pending) // 2 % 3]
            pending.append(pool.submit(daemon.send, "/payslip/x", "m0"))
            pending.append(pool.submit(daemon.send, "/balance/x", method="GET", deadline_s=1.5))
            time.sleep(0.1)
        return pending

    async def put_entries() -> None:
        """Puts the entries again with each heartbeat interval, so that they do not lapse."""
        while True:
            for number in range(ENTRIES):
                rig.store.put("servers", KEY.format(number), os.urandom(ROW_BYTES - 5000))
            await asyncio.sleep(HEARTBEAT_S)

    if HAS_TROUBLE:
        rig.thread.do(lambda: asyncio.ensure_future(put_entries()))
        rig.record.write("entries_of_another_writer", count=ENTRIES)
    before = [future.result() for future in send_for(SECONDS_BEFORE)]
    for daemon in rig.daemons:
        daemon.kill()
    rig.record.write("all_daemons_killed")
    for daemon in rig.daemons:
        daemon.start()
    back_at = rig.record.now()
    after = [answer for answer in (future.result() for future in send_for(SECONDS_AFTER))
             if answer.sent_at > back_at + RECOVER_S]
    served = [sum(answer.status == 200 for answer in answers) for answers in (before, after)]
    print(f"served before the fault: {served[0]} of {len(before)}; later than recoverS after it: "
          f"{served[1]} of {len(after)}; daemons that are ready: "
          f"{sum(daemon.is_ready() for daemon in rig.daemons)} of 3", flush=True)
    if served[0] < len(before) / 4:
        raise RuntimeError("too little was served before the fault")
    return served[1] >= len(after) / 4


play(Path(__file__).resolve().parent, case, models=2, store_class=PagedStore)
