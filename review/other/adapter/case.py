"""A model runner crashes and comes back. It must not be ordered to load more adapters than it has
places for."""

from __future__ import annotations

import random
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import BROKEN, HELD, Platform, Rig, Runner, Try, has_trouble, run_case

CLIENTS = 40
ADAPTERS = 28
CRASHES = 12
CRASH_S = 2.0
MAX_CRASHED = 2  # Of nine runners at once (share 0.22); the site file has share 0.25.
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(9)}
HOLDINGS["r1"] = ("v1", ["m0", "m3"])  # Enough copies of m0, so that none is loaded without a crash.


def main(folder: Path) -> int:
    platform = Platform(HOLDINGS, models=18)
    Runner.EVENTS, Runner.EVENT_PAUSE_S = 4, 0.02
    Runner.ANSWER_S = 0.01
    with Rig(folder, machines=3, platform=platform) as rig:
        platform.on_order = lambda runner, order, status: rig.record.write(
            f"runner {runner.id} answers {status or 'nothing and crashes'} to {order['operation']} "
            f"{order['model']} {order.get('adapter', '')} of {order['holder']}"
            f"{': ' + runner.overload if status == 0 else ''}")
        stop = threading.Event()

        def client(number: int) -> None:
            while not stop.is_set():
                Try(rig.machines[number % 3], "chat",
                    f"m0/a{random.randrange(1, ADAPTERS + 1)}", tokens="60,12").run()
                time.sleep(random.uniform(0.1, 0.5))

        broken = []
        with ThreadPoolExecutor(CLIENTS) as pool:
            for number in range(CLIENTS):
                pool.submit(client, number)
            time.sleep(3.0)
            for _ in range(CRASHES):
                if has_trouble():
                    holders = [name for name, runner in platform.endpoints.items()
                               if "m0" in runner.models]
                    for name in holders[:MAX_CRASHED]:
                        rig.record.write(f"runner {name} crashes")
                        platform.crash(name, CRASH_S)
                time.sleep(7.0)
                broken = [r for r in platform.endpoints.values() if getattr(r, "overload", None)]
                if broken:
                    break
            stop.set()
        for runner in broken:
            print(f"{runner.id}: {runner.overload}")
        return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
