"""Prompt parts that are quarantined although they are sound, on edge daemons as processes.

Guards against a quarantine without an end: what would prove the part sound is an answer, and no
request with it is sent that could be answered.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from edge_cluster import EdgeCluster
from test_crashing_part import BAD, bad_list, send, start, unique

SHARED = "77"
CHANCE_CRASHES = 3
RELEASE_S = 20.0  # Time after the last chance crash until the part must be served.
MAX_TRIALS = 2


def shared_list() -> str:
    return ",".join(f"{part}:25" for part in (SHARED, unique(), unique()))


def quarantine_by_chance(cluster: EdgeCluster) -> None:
    """Crashes runners by chance while requests with the shared part wait for their first events."""
    platform = cluster.platform
    platform.work_s = 4.0
    with ThreadPoolExecutor(24) as pool:
        requests = [pool.submit(send, cluster.daemons[number % 2], shared_list())
                    for number in range(18)]
        time.sleep(1.0)
        for runner in list(platform.endpoints.values())[:CHANCE_CRASHES]:
            platform.run_on_loop(lambda: platform.loop.create_task(runner.crash(0.5)))
            time.sleep(0.3)
        for request in requests:
            request.result()
    platform.work_s = 0.01


def test_edge_serves_a_sound_part_again_after_chance_crashes() -> None:
    with EdgeCluster(daemons=2, runners=6, models=2) as cluster:
        quarantine_by_chance(cluster)
        refused = send(cluster.daemons[0], shared_list())
        assert refused.status == 503, f"the part was not quarantined: {refused}"
        end = time.monotonic() + RELEASE_S
        while time.monotonic() < end and not all(
                send(daemon, shared_list()).is_complete for daemon in cluster.daemons):
            time.sleep(0.1)
        results = [send(daemon, shared_list()) for daemon in cluster.daemons for _ in range(5)]
        assert all(result.is_complete for result in results), results


def test_edge_tries_a_crashing_part_no_more_often_than_operators_accept() -> None:
    """Goes on with requests that have the crashing part, also after the dispatcher is killed."""
    with start(daemons=2, bad=(BAD,)) as cluster:
        crashes = cluster.platform.part_crashes
        cluster.wait_until(lambda: send(cluster.daemons[0], bad_list()).status == 503 and
                           len(crashes) >= CHANCE_CRASHES, "the quarantine")
        time.sleep(1.0)
        before = len(crashes)
        holder = cluster.holder()
        for round_number in range(2):
            end = time.monotonic() + 14.0
            while time.monotonic() < end:
                for daemon in cluster.daemons:
                    send(daemon, bad_list())
                time.sleep(0.1)
            if round_number == 0:
                assert len(crashes) - before >= 1, "there was no trial"
                holder.kill()
                holder.start()
        assert len(crashes) - before <= MAX_TRIALS, len(crashes) - before
