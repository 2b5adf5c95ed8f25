"""A plain server leaves without stating `draining`: its entry is removed. The store is away for a
moment after that. No request may reach the server later than drainMs after the removal."""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import BOUNDS, BROKEN, HELD, CaseError, Platform, Rig, Try, has_trouble, run_case

LEAVER = "p0"
MACHINES = 8
PAYMENTS_PER_S = 5.61  # As in the sheet.
LOOKUPS_PER_S = 3.6
OUTAGE_AFTER_S = 1.0   # From the removal of the entry to the outage of the store.
OUTAGE_S = 1.3         # Length of the outage.
EXIT_AFTER_S = 9.0     # From the removal to the exit of the server.
WATCHED_S = 12.0       # From the removal to the end of the case.
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}


def main(folder: Path) -> int:
    platform = Platform(HOLDINGS, models=18, plain=3)
    platform.work_s = 0.05
    leaver = platform.endpoints[LEAVER]
    with Rig(folder, machines=MACHINES, platform=platform) as rig:
        time.sleep(3.5)  # All machines are in touch.
        stop = threading.Event()
        tries: list[Try] = []

        def send(number: int, kind: str) -> None:
            tries.append(Try(rig.machines[number % MACHINES], kind, deadline_s=1.5).run())

        def keep_sending(pool: ThreadPoolExecutor, kind: str, per_second: float) -> None:
            """Sends requests at the rate of the sheet, each to another machine."""
            number, first = 0, time.monotonic()
            while not stop.is_set():
                pool.submit(send, number, kind)
                number += 1
                time.sleep(max(0.0, first + number / per_second - time.monotonic()))

        def leave() -> float:
            platform.store.put("servers", LEAVER, None)
            return time.monotonic()

        send_answer = platform.store._send

        def silence_store(is_silent: bool) -> float:
            """While the store is silent, it carries out nothing and answers nothing."""
            platform.store.delay_s = 1e6 if is_silent else 0.0
            platform.store._send = (lambda *_, **__: None) if is_silent else send_answer
            return time.monotonic()

        with ThreadPoolExecutor(64) as pool:
            pool.submit(keep_sending, pool, "pay", PAYMENTS_PER_S)
            pool.submit(keep_sending, pool, "check", LOOKUPS_PER_S)
            time.sleep(2.0)
            removed = platform.run_on_loop(leave)
            rig.record.write(f"the store has removed the entry of {LEAVER}, which serves on", removed)
            time.sleep(OUTAGE_AFTER_S)
            outage_end = removed
            if has_trouble():
                rig.record.write("the store falls silent",
                                 platform.run_on_loop(lambda: silence_store(True)))
                time.sleep(OUTAGE_S)
                outage_end = platform.run_on_loop(lambda: silence_store(False))
                rig.record.write("the store answers again", outage_end)
            time.sleep(max(0.0, removed + EXIT_AFTER_S - time.monotonic()))

            async def exit_now() -> float:
                leaver.is_down = True
                await leaver.http_server.stop()
                return time.monotonic()

            exited = platform.run_coroutine(exit_now())
            rig.record.write(f"{LEAVER} exits", exited)
            time.sleep(max(0.0, removed + WATCHED_S - time.monotonic()))
            stop.set()
        if any(machine.has_ended() is not None for machine in rig.machines):
            raise CaseError("a machine has ended")

        sent_at = {tried.id: tried.sent_at for tried in tries}
        drained = removed + BOUNDS["drainMs"] / 1000
        in_touch = outage_end + BOUNDS["contactMs"] / 1000
        runs = [run for item in platform.runs.values() for run in item if run.endpoint == LEAVER]
        late = sorted(run.at for run in runs if run.at > drained and run.request in sent_at)
        for at in late:
            rig.record.write(f"{LEAVER} runs a request {at - removed:.3f} s after the removal", at)
        # Without an outage, the machines are in touch all the time.
        strict = [at for at in late if at > in_touch] if has_trouble() else late
        lost = [t for t in tries if t.kind == "pay" and t.status != 200 and
                any(run.endpoint == LEAVER and run.at > drained for run in platform.runs[t.id])]
        text = (f"{len(late)} requests reached {LEAVER} later than {BOUNDS['drainMs']} ms after the "
                f"removal of its entry, {len(strict)} of them while all machines had been in touch "
                f"again for {BOUNDS['contactMs']} ms"
                f"{f' (up to {max(late) - removed:.2f} s after the removal)' if late else ''}; "
                f"{len(lost)} payments that it ran got no answer: {[t.status for t in lost]}")
        rig.record.write(text)
        print(text)
        return BROKEN if strict else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
