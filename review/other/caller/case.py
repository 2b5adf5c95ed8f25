"""A request of one tenant crashes each server that begins to run it, and comes again. Another tenant
has sound requests with the same path and no body. The first one may reach servers three more times
once it has crashed three of them and contactMs have passed."""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import BOUNDS, BROKEN, HELD, CaseError, Platform, Rig, Runner, Try, has_trouble, run_case

KEYS = {"sound": "k-asnmgkcuyj8p", "bad": "k-b2ex5wa5xwyh"}  # Of the tenants.
CRASH_AFTER_S = 0.02       # From the arrival of the request.
BACK_AFTER_S = 2.0         # From a server's crash to its start.
INTERVAL_S = 4.0           # Between two tries of the request.
TRIES = 14
LOOKUP_CLIENTS = 4         # Of the other tenant; some 3.6 lookups and 5.6 payments a second in all,
LOOKUP_PAUSE_S = 1.0       # as in the sheets of the small deployments.
PAY_CLIENTS = 6
PAY_PAUSE_S = 1.0
ALLOWED = 3
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}


# The bounds of the sheet that has tenants.
BOUNDS |= {"contactMs": 4000, "ackMs": 6000, "catchUpS": 6, "drainMs": 3000, "configApplyMs": 3000,
           "outerMs": 6000, "failClosed": False, "revokeMs": 5000, "budgetSlack": 184,
           "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 11000, "recoverS": 15,
           "passMs": 200}


class CrashingServer(Runner):
    """A server that the request of one tenant crashes."""

    async def _handle_request(self, call: Any) -> None:
        if call.fields.get("x-tenant") != "bad":
            await super()._handle_request(call)
            return
        self.platform.arrivals.append((time.monotonic(), self.id, call.fields["x-request-id"]))
        if not has_trouble():
            await super()._handle_request(call)
            return
        born = self.born
        await asyncio.sleep(CRASH_AFTER_S)
        if self.is_down or self.born != born or call.writer.is_closing():
            return
        self.platform.crashes.append((time.monotonic(), self.id))
        asyncio.ensure_future(self.crash(BACK_AFTER_S))


class CrashPlatform(Platform):
    def __init__(self) -> None:
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        super().__init__(HOLDINGS, models=18, plain=3)

    async def _add(self, name: str, service: str, models: list[str]) -> None:
        await super()._add(name, service, models)
        self.endpoints[name].__class__ = CrashingServer

    def _configure(self) -> None:
        """Adds the tenants. Neither has a limit."""
        super()._configure()
        document = json.loads(base64.b64decode(self.store.rows["op", "config"][0]))
        self.version = document["version"] = document["version"] + 3
        document["tenants"] = [{"name": name, "apiKeys": [key], "priority": 1,
                                "unit": "token_count", "plainTokens": 200}
                               for name, key in KEYS.items()]
        self.store.put("op", "config", json.dumps(document).encode())


def main(folder: Path) -> int:
    platform = CrashPlatform()
    platform.work_s = 0.05
    with Rig(folder, machines=4, platform=platform) as rig:
        time.sleep(3.5)  # All machines are in touch.
        stop = threading.Event()
        others: list[Try] = []
        bad: list[Try] = []

        def keep_sending(number: int, kind: str, pause_s: float) -> None:
            while not stop.is_set():
                others.append(Try(rig.machines[number % len(rig.machines)], kind,
                                  deadline_s=1.5, Authorization=f"Token {KEYS['sound']}").run())
                number += 1
                time.sleep(pause_s)

        with ThreadPoolExecutor(LOOKUP_CLIENTS + PAY_CLIENTS) as pool:
            for number in range(LOOKUP_CLIENTS):
                pool.submit(keep_sending, number, "check", LOOKUP_PAUSE_S)
                time.sleep(LOOKUP_PAUSE_S / LOOKUP_CLIENTS)
            for number in range(PAY_CLIENTS):
                pool.submit(keep_sending, number, "pay", PAY_PAUSE_S)
                time.sleep(PAY_PAUSE_S / PAY_CLIENTS)
            first = time.monotonic()
            for number in range(TRIES):
                time.sleep(max(0.0, first + number * INTERVAL_S - time.monotonic()))
                bad.append(Try(rig.machines[number % len(rig.machines)], "check", deadline_s=1.5,
                               Authorization=f"Token {KEYS['bad']}").run())
            time.sleep(2.0)
            stop.set()
        if any(machine.has_ended() is not None for machine in rig.machines):
            raise CaseError("a machine has ended")
        for at, server, request in platform.arrivals:
            rig.record.write(f"the request of the tenant bad, as {request}, reaches {server}", at)
        for at, server in platform.crashes:
            rig.record.write(f"{server} crashes", at)
        statuses = [tried.status for tried in bad]
        if not has_trouble():
            print(f"no server crashed; answers to the request: {statuses}")
            return HELD
        if len(platform.crashes) < 3:
            raise CaseError("the request has not crashed three servers")
        bound = platform.crashes[2][0] + BOUNDS["contactMs"] / 1000
        late = {request: at for at, _, request in reversed(platform.arrivals) if at > bound}
        late_crashes = sum(at > bound for at, _ in platform.crashes)
        lost = [t for t in others if t.kind == "pay" and t.sent_at > bound
                and t.status != 200 and platform.runs.get(t.id)]
        text = (f"{len(platform.crashes)} crashes; later than {BOUNDS['contactMs']} ms after the "
                f"third one {len(late)} tries of the request reached servers and crashed "
                f"{late_crashes}; {len(lost)} payments that servers had begun to run got "
                f"{[t.status for t in lost]}; answers to the request: {statuses}")
        rig.record.write(text)
        print(text)
        return BROKEN if len(late) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
