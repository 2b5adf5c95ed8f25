"""A request crashes each runner that begins to run it, and comes again. Meanwhile the processes of
all machines are killed at once and started again. After it has crashed three runners and contactMs
have passed, it may reach runners three more times."""

from __future__ import annotations

import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent.parent / "lib"), str(HERE.parent / "roll")]

from case import ALLOWED, CLIENTS, IN_TOUCH_S, SOUND_CLIENTS, CrashPlatform, SameTry  # noqa: E402
from rig import BOUNDS, BROKEN, HELD, CaseError, Machine, Rig, Try, has_trouble, run_case  # noqa: E402

DOWN_S = 1.0     # As in the site file (closing of a day: power_off_all, how = "all").
TRY_EVERY_S = 1.0
CONTACT_S = BOUNDS["contactMs"] / 1000


def main(folder: Path) -> int:
    platform = CrashPlatform()
    with Rig(folder, machines=8, platform=platform) as rig:
        time.sleep(IN_TOUCH_S)
        stop = threading.Event()
        sound: list[Try] = []
        statuses: list[int] = []

        def try_at_each() -> None:
            """Sends the request at each machine in turn, from all its clients at the same time."""
            for machine in rig.machines:
                tries = [SameTry(machine, "chat", X_Prompt_Prefix="5c1e07a2:60,91bd3f06:40")
                         for _ in range(CLIENTS)]
                for future in [pool.submit(item.run) for item in tries]:
                    statuses.append(future.result().status)
                time.sleep(TRY_EVERY_S)

        def keep_streaming(machine: Machine) -> None:
            """Sends sound streams of others while the machines run."""
            while not stop.is_set():
                if not is_down.is_set():
                    sound.append(Try(machine, "chat").run())
                time.sleep(0.3)

        is_down = threading.Event()
        with ThreadPoolExecutor(SOUND_CLIENTS + CLIENTS) as pool:
            for number in range(SOUND_CLIENTS):
                pool.submit(keep_streaming, rig.machines[number % 8])
            try:
                try_at_each()
                if len(platform.crashes) < 3:
                    raise CaseError("the request has not crashed three runners")
                third = platform.crashes[2][0]
                if has_trouble():
                    is_down.set()
                    for machine in rig.machines:
                        machine.kill()
                    time.sleep(DOWN_S)
                    for machine in rig.machines:
                        machine.start()
                    for machine in rig.machines:
                        rig.wait_until(machine.is_ready, "readiness", 15)
                    is_down.clear()
                time.sleep(max(IN_TOUCH_S, third + CONTACT_S + 0.5 - time.monotonic()))
                rig.record.write("all machines are in touch; the request comes again")
                try_at_each()
            finally:
                stop.set()
        if any(machine.has_ended() is not None for machine in rig.machines):
            raise CaseError("a machine has ended")
        for at, runner, request in platform.arrivals:
            rig.record.write(f"the request, as {request}, reaches runner {runner}", at)
        for at, runner in platform.crashes:
            rig.record.write(f"runner {runner} crashes", at)
        late = [at for at, _, _ in platform.arrivals if at > third + CONTACT_S]
        crashes = [at for at, _ in platform.crashes if at > third + CONTACT_S]
        hurt = [t for t in sound if t.events and not t.is_whole and
                any(at < t.ended_at < at + 3 for at in crashes)]
        text = (f"{len(late)} arrivals later than {BOUNDS['contactMs']} ms after the third crash "
                f"({', '.join(f'{at - third:.1f}' for at in late)} s after it), with {len(crashes)} "
                f"crashes; {len(hurt)} sound streams of others were broken off beside these; answers "
                f"{statuses}")
        rig.record.write(text)
        print(text)
        return BROKEN if len(late) > ALLOWED else HELD


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
