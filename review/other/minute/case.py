"""A request crashes each runner that begins to run it, and comes again for more than a minute. After
it has crashed three runners and contactMs have passed, it may reach runners three more times."""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import BOUNDS, BROKEN, HELD, CaseError, Platform, Rig, Runner, Try, has_trouble, run_case

BODY = b"the same words each time"
FIRST_TOKEN_S = 0.4   # From the arrival of the request until its runner begins to run it.
BACK_AFTER_S = 3.0    # From a runner's crash to its start.
LASTS_S = 72.0        # From the first time that the request comes to the last.
CLIENTS = 3           # Of the caller whose request it is; each goes on to the next machine.
SOUND_CLIENTS = 24
ALLOWED = 3
# Nine runners, as many as the small deployments have; the busiest model is at five of them.
HOLDINGS = {f"r{number}": ("v1", ["m0", f"m{number + 1}"] if number < 5 else
                           [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}


class CrashingRunner(Runner):
    """A runner that a request with certain bytes crashes when its first token is made."""

    async def _handle_request(self, call: Any) -> None:
        if call.body != BODY or not has_trouble() or "m0" not in self.models:
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
    with Rig(folder, machines=4, platform=platform) as rig:
        time.sleep(3.5)  # All machines are in touch.
        stop = threading.Event()
        end = time.monotonic() + LASTS_S
        sound: list[Try] = []
        statuses: dict[int, int] = {}

        def repeat(number: int) -> None:
            """Sends the request again and again, and waits as long as the answer asks for."""
            while time.monotonic() < end:
                machine = rig.machines[number % len(rig.machines)]
                number += 1
                tried = SameTry(machine, "chat", X_Prompt_Prefix="5c1e07a2:60,91bd3f06:40").run()
                statuses[tried.status] = statuses.get(tried.status, 0) + 1
                time.sleep(max(0.5, float(tried.headers.get("retry-after", "0"))))

        def keep_streaming(number: int) -> None:
            """Sends sound streams of others, every second client on a route without resuming."""
            kind = "draft" if number % 2 else "chat"
            while not stop.is_set():
                sound.append(Try(rig.machines[number % len(rig.machines)], kind).run())
                time.sleep(0.3)

        with ThreadPoolExecutor(CLIENTS + SOUND_CLIENTS) as pool:
            for number in range(SOUND_CLIENTS):
                pool.submit(keep_streaming, number)
            repeating = []
            for number in range(CLIENTS):
                repeating.append(pool.submit(repeat, number))
                time.sleep(0.1)
            for future in repeating:
                future.result()
            stop.set()
        if any(machine.has_ended() is not None for machine in rig.machines):
            raise CaseError("a machine has ended")
        for at, runner, request in platform.arrivals:
            rig.record.write(f"the request, as {request}, reaches runner {runner}", at)
        for at, runner in platform.crashes:
            rig.record.write(f"runner {runner} crashes", at)
        if not has_trouble():
            print(f"no runner crashed; answers {statuses}")
            return HELD
        if len(platform.crashes) < 3:
            raise CaseError("the request has not crashed three runners")
        third = platform.crashes[2][0]
        late = [at for at, _, _ in platform.arrivals if at > third + BOUNDS["contactMs"] / 1000]
        later_crashes = [at for at, _ in platform.crashes if at > third + BOUNDS["contactMs"] / 1000]
        hurt = [t for t in sound if later_crashes and t.events and not t.is_whole
                and t.sent_at < later_crashes[-1] and t.ended_at > later_crashes[0]]
        text = (f"{len(platform.arrivals)} arrivals and {len(platform.crashes)} crashes; {len(late)} "
                f"arrivals later than {BOUNDS['contactMs']} ms after the third crash "
                f"({', '.join(f'{at - third:.2f}' for at in late)} s after it), with "
                f"{len(later_crashes)} crashes; {len(hurt)} sound streams of others were broken off "
                f"meanwhile; answers {statuses}")
        rig.record.write(text)
        print(text)
        return BROKEN if len(late) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
