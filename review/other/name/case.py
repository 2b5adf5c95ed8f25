"""The machine that gives the orders is removed for good, and a new machine comes at another address
with the same roles and the same name. Orders of two machines must not take turns within leaseMs."""

from __future__ import annotations

import random
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "lib"))

from rig import BOUNDS, BROKEN, HELD, CaseError, Machine, Platform, Rig, Try, has_trouble, run_case

REPLACED_AFTER_S = 1.0
MODELS = 24
HOLDINGS = {f"r{number}": ("v1", [f"m{2 * number}", f"m{2 * number + 1}"]) for number in range(6)}


def orders(rig: Rig) -> list[dict]:
    """Returns the orders that runners have received, the oldest first."""
    found = [order for runner in rig.platform.endpoints.values() for order in runner.order_log]
    return sorted(found, key=lambda order: order["at"])


def main(folder: Path) -> int:
    platform = Platform(HOLDINGS, models=MODELS)
    with Rig(folder, machines=4, platform=platform) as rig:
        holder = rig.holder()
        others = [machine for machine in rig.machines if machine is not holder]
        stop = threading.Event()

        def client(number: int) -> None:
            while not stop.is_set():
                Try(others[number % len(others)], "chat", f"m{random.randrange(MODELS)}").run()
                time.sleep(0.05)

        with ThreadPoolExecutor(24) as pool:
            for number in range(24):
                pool.submit(client, number)
            try:
                Rig.wait_until(lambda: len(orders(rig)) >= 4, "orders", 30)
                time.sleep(4.0)  # The holder has renewed its lease since its first order.
                removed_at = None
                if has_trouble():
                    before = len(orders(rig))
                    Rig.wait_until(lambda: len(orders(rig)) > before, "another order", 20)
                    removed_at = time.monotonic()
                    holder.kill()
                    time.sleep(REPLACED_AFTER_S)
                    successor = Machine(rig, holder.name)
                    rig.machines.append(successor)
                    successor.start()
                time.sleep(12.0)
            finally:
                stop.set()
        for order in orders(rig):
            rig.record.write(f"runner {order['runner']} gets {order['operation']} {order['model']} "
                             f"of holder {order['holder']}, fencing token {order['fencingToken']}",
                             order["at"])
        if removed_at is None:
            tokens = {order["fencingToken"] for order in orders(rig)}
            print(f"{len(orders(rig))} orders, {len(tokens)} holders")
            return HELD if len(tokens) == 1 else BROKEN
        # The removed machine was killed, so all later orders are of other machines.
        last = max(order["at"] for order in orders(rig) if order["at"] <= removed_at + 0.05)
        later = [order for order in orders(rig) if order["at"] > removed_at + 0.05]
        if not later:
            raise CaseError("no orders after the removal")
        pause_s = later[0]["at"] - last
        rig.record.write(f"from the last order of the removed machine to the first of another "
                         f"{pause_s:.3f} s; leaseMs is {BOUNDS['leaseMs']}")
        print(f"{pause_s:.3f} s between the orders of two machines, of holder {later[0]['holder']}, "
              f"tokens {later[0]['fencingToken']}")
        return BROKEN if pause_s * 1000 < BOUNDS["leaseMs"] else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
