"""The store gives no answer to a heartbeat of two runners and performs it some seconds later.

Meanwhile the runners have reported that they are draining, and the store has acknowledged that. Their
next heartbeat says so again.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))
from rig import CONTACT_S, DRAIN_S, HAS_TROUBLE, Rig, Runner, play  # noqa: E402

LATE_S = 5.4
DRAINS_AFTER_S = CONTACT_S + 0.3
EXITS_AFTER_S = DRAIN_S + 0.5  # From the acknowledgement.
SECONDS = 13.0


class ReportingRunner(Runner):
    leaves_at_next_beat = False
    draining_at: float | None = None  # When the store acknowledged that.

    def announce(self) -> None:
        if not self.leaves_at_next_beat:
            super().announce()
            return
        self.leaves_at_next_beat = False
        asyncio.get_running_loop().call_later(DRAINS_AFTER_S, self._drain)
        if not HAS_TROUBLE:
            super().announce()
            return
        entry = json.dumps(self.entry()).encode()
        self.rig.record.write("heartbeat_unanswered", runner=self.id, seq=self.seq, state=self.state)

        def perform() -> None:
            self.rig.record.write("heartbeat_performed", runner=self.id)
            self.rig.store.put("servers", self.id, entry)

        asyncio.get_running_loop().call_later(LATE_S, perform)

    def _drain(self) -> None:
        self.state = "draining"
        self.announce()
        self.draining_at = self.rig.record.now()
        self.rig.record.write("draining_acknowledged", runner=self.id)
        asyncio.get_running_loop().call_later(EXITS_AFTER_S, self._exit)

    def _exit(self) -> None:
        self.is_down = True
        self.rig.record.write("runner_left", runner=self.id)
        asyncio.ensure_future(self.server.stop())
        self.rig.store.put("servers", self.id, None)


def case(rig: Rig) -> bool:
    models = [rig.add_runner(ReportingRunner(rig, f"i-llm{number}", "asesor-llm", ["m0", "m1"]))
              for number in range(3)]
    plain = [rig.add_runner(ReportingRunner(rig, f"i-app{number}", "nomina-core", []))
             for number in range(3)]
    leaving = [models[0], plain[0]]
    for runner in models:
        runner.work_s = 0.08
    rig.configure()
    rig.start_daemons(3)
    pool = ThreadPoolExecutor(64)
    pending = []
    started, has_begun = time.monotonic(), False
    while (passed := time.monotonic() - started) < SECONDS:
        if passed > 2.0 and not has_begun:
            has_begun = True
            for runner in leaving:
                runner.leaves_at_next_beat = True
        daemon = rig.daemons[len(pending) // 2 % 3]
        pending.append(pool.submit(daemon.send, "/draft/x", "m0", deadline_s=20.0))
        pending.append(pool.submit(daemon.send, "/pay/x", deadline_s=1.5))
        time.sleep(0.05)
    answers = {answer.id: answer for answer in (future.result() for future in pending)}
    draining_at = {runner.id: runner.draining_at for runner in leaving}
    if None in draining_at.values():
        raise RuntimeError("a runner has not left")
    late = [run for answer in answers.values() for run in rig.runs.get(answer.id, [])
            if run.runner in draining_at
            and answer.sent_at > draining_at[run.runner] + DRAIN_S]
    lost = [run for run in late if answers[run.request].status in (0, 502)]
    print(f"{len(late)} of {len(answers)} requests reached a draining runner although they were sent "
          f"later than drainMs after the acknowledgement; {len(lost)} of them were cut off when it "
          f"left", flush=True)
    return not late


play(Path(__file__).resolve().parent, case, models=2)
