"""All daemons are killed while runners of two software versions serve streams.

Clients take the streams up again once the daemons have been back for longer than contactMs. New
streams begin as before. Without the trouble, the clients lose their connections instead, at the same
moment, and take up at the same time.
"""

from __future__ import annotations

import http.client
import sys
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))
from rig import CONTACT_S, HAS_TROUBLE, HOST, Answer, Daemon, Rig, Runner, play  # noqa: E402

STREAMS = 24
DEADLINE_S = 15.0


def read_until(rig: Rig, daemon: Daemon, model: str, connection_lost: threading.Event) -> Answer:
    """Sends a stream request and reads events until the connection ends or the client loses it."""
    answer = Answer(uuid.uuid4().hex[:16], sent_at=rig.record.now())
    connection = http.client.HTTPConnection(daemon.ip, 8149, timeout=DEADLINE_S)
    rig.record.write("sent", id=answer.id, to=daemon.name, label="stream", model=model)
    try:
        connection.request("POST", "/payslip/x", b"", {
            "Host": HOST, "X-Request-Id": answer.id, "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "X-Model": model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "5c:60,9:40"})
        response = connection.getresponse()
        while not connection_lost.is_set() and (part := response.read1(65536)):
            answer.body += part
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    rig.record.write("broken", id=answer.id, events=len(answer.event_ids))
    return answer


def case(rig: Rig) -> bool:
    runners = [rig.add_runner(Runner(rig, f"i-llm{number}", "asesor-llm", ["m0", "m1"]))
               for number in range(4)]

    def join_second_version() -> None:
        for runner in runners[2:]:
            runner.version = "v2"
            runner.announce()

    rig.thread.do(join_second_version)
    rig.configure()
    rig.start_daemons(3)
    time.sleep(3.0)
    for runner in runners:
        runner.work_s, runner.events = 0.25, 30
    connection_lost = threading.Event()
    pool = ThreadPoolExecutor(2 * STREAMS)
    pending = [pool.submit(read_until, rig, rig.daemons[number % 3], f"m{number % 2}",
                           connection_lost) for number in range(STREAMS)]
    time.sleep(1.5)
    if HAS_TROUBLE:
        for daemon in rig.daemons:
            daemon.kill()
        rig.record.write("all_daemons_killed")
        for daemon in rig.daemons:
            daemon.start()
    broken_at = rig.record.now()
    connection_lost.set()
    begun = [answer for answer in (future.result() for future in pending) if answer.event_ids]
    rig.wait(lambda: all(daemon.is_ready() for daemon in rig.daemons), "readiness")
    while rig.record.now() < broken_at + CONTACT_S + 1.0:
        time.sleep(0.05)
    for runner in runners:
        runner.work_s = 0.01
    taken_up = [pool.submit(rig.daemons[number % 3].send, "/payslip/x", f"m{number % 2}",
                            deadline_s=8.0, label="take-up", Resumes=answer.id,
                            Last_Event_Id=str(answer.event_ids[-1]))
                for number, answer in enumerate(begun)]
    new = [pool.submit(rig.daemons[number % 3].send, "/payslip/x", f"m{number % 2}",
                       deadline_s=8.0, label="new") for number in range(STREAMS)]
    gone_on = sum(future.result().status == 200 for future in taken_up)
    begun_anew = sum(future.result().status == 200 for future in new)
    versions = {version for answer in begun for version in answer.versions}
    print(f"{len(begun)} streams of versions {sorted(versions)} broke off; of their take-ups {gone_on} "
          f"went on; of {STREAMS} new streams {begun_anew} began", flush=True)
    if len(begun) < 12 or len(versions) < 2:
        raise RuntimeError("too few streams to judge")
    return gone_on / len(begun) >= 0.5 * begun_anew / STREAMS


play(Path(__file__).resolve().parent, case, models=2)
