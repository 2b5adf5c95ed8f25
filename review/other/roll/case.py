"""A request crashes each runner that begins to run it, and comes again. Meanwhile the machines are
stopped and started in turn. After it has crashed three runners and contactMs have passed, it may
reach runners three more times."""

from __future__ import annotations

import asyncio
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import (BOUNDS, BROKEN, HELD, CaseError, Machine, Platform, Rig, Runner, Try, has_trouble,
                 run_case)

BODY = b"the same words each time"
FIRST_TOKEN_S = 0.4   # From the arrival of the request until its runner begins to run it.
BACK_AFTER_S = 3.0    # From a runner's crash to its start.
IN_TOUCH_S = 3.3      # From the start of a machine to the next time that the request comes there.
CLIENTS = 3           # Of the caller whose request it is.
SOUND_CLIENTS = 24
ALLOWED = 3
# Nine runners, as many as the small deployments have; the busiest model is at five of them.
HOLDINGS = {f"r{number}": ("v1", ["m0", f"m{number + 1}"] if number < 5 else
                           [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}

class CrashingRunner(Runner):
    """A runner that a request with certain bytes crashes when its first token is made."""

    async def _handle_request(self, call: Any) -> None:
        if call.body != BODY or "m0" not in self.models:
            await super()._handle_request(call)
            return
        self.platform.arrivals.append((time.monotonic(), self.id, call.fields["x-request-id"]))
        born = self.born
        await asyncio.sleep(FIRST_TOKEN_S)
        if self.is_down or self.born != born or call.writer.is_closing():
            return
        self.platform.crashes.append((time.monotonic(), self.id))
        asyncio.ensure_future(self.crash(BACK_AFTER_S))


class CrashPlatform(Platform):
    def __init__(self) -> None:
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        super().__init__(HOLDINGS, models=18)

    async def _add(self, name: str, service: str, models: list[str]) -> None:
        endpoint = CrashingRunner(self, name, service, models)
        endpoint.born = int(time.time() * 1000)
        await endpoint.http_server.start()
        self.endpoints[name] = endpoint
        endpoint.announce()
        if service == "llm":
            asyncio.ensure_future(endpoint.beat())


class SameTry(Try):
    """One more try of the request: with an id of its own, and the path, caller and body as before."""

    body_sent = BODY


def main(folder: Path) -> int:
    platform = CrashPlatform()
    with Rig(folder, machines=8, platform=platform) as rig:
        time.sleep(3.5)  # All machines are in touch.
        stop = threading.Event()
        sound: list[Try] = []
        statuses: list[int] = []

        def try_at(machine: Machine) -> None:
            """Sends the request once from each of its clients, at the same time."""
            tries = [SameTry(machine, "chat", X_Prompt_Prefix="5c1e07a2:60,91bd3f06:40")
                     for _ in range(CLIENTS)]
            for future in [pool.submit(item.run) for item in tries]:
                statuses.append(future.result().status)

        def keep_streaming(number: int) -> None:
            """Sends sound streams of others, every second client on a route without resuming."""
            kind = "draft" if number % 2 else "chat"
            while not stop.is_set():
                machine = rig.machines[number % 8]
                if machine not in leaving:
                    sound.append(Try(machine, kind).run())
                time.sleep(0.3)

        leaving: set[Machine] = set()
        with ThreadPoolExecutor(SOUND_CLIENTS + CLIENTS) as pool:
            for number in range(SOUND_CLIENTS):
                pool.submit(keep_streaming, number)
            for machine in rig.machines:  # Until it has crashed three runners.
                try_at(machine)
                time.sleep(1.0)
            if len(platform.crashes) < 3:
                raise CaseError("the request has not crashed three runners")
            third = platform.crashes[2][0]
            time.sleep(max(0.0, third + BOUNDS["contactMs"] / 1000 + 0.5 - time.monotonic()))
            for machine in rig.machines:
                if has_trouble():
                    leaving.add(machine)  # It fails its readiness check, and gets no connections.
                    machine.signal(signal.SIGTERM)
                    machine.popen.wait(BOUNDS["graceS"])
                    machine.start()
                    rig.wait_until(machine.is_ready, "readiness", 10)
                    leaving.discard(machine)
                time.sleep(IN_TOUCH_S)
                try_at(machine)
            stop.set()
        if any(machine.has_ended() is not None for machine in rig.machines):
            raise CaseError("a machine has ended")
        for at, runner, request in platform.arrivals:
            rig.record.write(f"the request, as {request}, reaches runner {runner}", at)
        for at, runner in platform.crashes:
            rig.record.write(f"runner {runner} crashes", at)
        late = [at for at, _, _ in platform.arrivals if at > third + BOUNDS["contactMs"] / 1000]
        later_crashes = [at for at, _ in platform.crashes if at > third + BOUNDS["contactMs"] / 1000]
        hurt = [t for t in sound if t.events and not t.is_whole and
                any(t.sent_at < at < t.ended_at + 0.5 and t.ended_at < at + 3 for at in later_crashes)]
        text = (f"{len(late)} arrivals later than {BOUNDS['contactMs']} ms after the third crash "
                f"({', '.join(f'{at - third:.1f}' for at in late)} s after it), with "
                f"{len(later_crashes)} crashes; {len(hurt)} sound streams of others were broken off "
                f"beside these; answers {statuses}")
        rig.record.write(text)
        print(text)
        return BROKEN if len(late) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
