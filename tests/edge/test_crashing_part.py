"""Requests with a prompt part that crashes each runner that begins to answer them.

Guards against daemons that know only whole identical requests: no two requests with the part are
alike, so each of them would end one more runner. Also guards against turning away sound requests
that share other parts. The bounds are the rule's: after the fifth crash and 3 s at most three more
requests with the part reach runners, and from 6 s on sound ones are served.
"""

from __future__ import annotations

import itertools
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Optional

from edge_cluster import Daemon, EdgeCluster, Result

BAD, ALSO_BAD = "bad0", "bad1"
SHARED = "5c"  # First part of all requests whose first part is not the crashing one.
MAX_CRASHES_TO_LEARN = 5
MAX_LATE_RUNS = 3
LEARN_S = 3.0
RECOVERY_S = 6.0
numbers = itertools.count(0x1000)


def unique() -> str:
    return f"{next(numbers):x}"


def bad_list(place: int = 1, bad: str = BAD) -> str:
    """Returns a list of four parts, with the crashing one at a place; no two lists are alike."""
    parts = [SHARED, unique(), unique(), unique()]
    parts[place] = bad
    return ",".join(f"{part}:25" for part in parts)


def sound_list() -> str:
    return ",".join(f"{part}:25" for part in (SHARED, unique(), unique()))


def send(daemon: Daemon, parts: str) -> Result:
    return daemon.send("chat", f"m{next(numbers) % 2}", unique().encode(), X_Prompt_Prefix=parts)


def start(daemons: int = 2, bad: tuple[str, ...] = (BAD,)) -> EdgeCluster:
    cluster = EdgeCluster(daemons=daemons, runners=6, models=2)
    for endpoint in cluster.platform.endpoints.values():
        endpoint.faults.crashing_parts = frozenset(bad)
    return cluster


class Load:
    """Sends requests to all daemons in turn and keeps their results."""

    def __init__(self, cluster: EdgeCluster) -> None:
        self.cluster = cluster
        self.pool = ThreadPoolExecutor(24)
        self.bad: list[Future[Result]] = []
        self.sound: list[tuple[float, Future[Result]]] = []

    def run(self, seconds: float, bad_lists: Optional[list[str]] = None,
            with_sound: bool = True) -> None:
        """Sends a request with a crashing part, and a sound one beside it, every 60 ms."""
        end = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() > end:
                return
            daemon = self.cluster.daemons[number % len(self.cluster.daemons)]
            parts = bad_list() if bad_lists is None else bad_lists[number % len(bad_lists)]
            self.bad.append(self.pool.submit(send, daemon, parts))
            if with_sound:
                self.sound.append((time.monotonic(), self.pool.submit(send, daemon, sound_list())))
            time.sleep(0.06)

    def check(self) -> None:
        """Checks both sides of the rule for all requests sent so far, and waits for their ends."""
        bad = [future.result() for future in self.bad]
        crashes = self.cluster.platform.part_crashes
        assert crashes, "no request with the crashing part reached a runner"
        runs = sorted(run.at for result in bad
                      for run in self.cluster.platform.runs.get(result.id, []))
        if len(crashes) >= MAX_CRASHES_TO_LEARN:
            limit = crashes[MAX_CRASHES_TO_LEARN - 1] + LEARN_S
            late = [at for at in runs if at > limit]
            assert len(late) <= MAX_LATE_RUNS, (len(late), len(runs), len(crashes))
        for result in bad:
            violation = self.cluster.find_violation(result)
            assert violation is None, violation
        recovered = crashes[min(len(crashes), MAX_CRASHES_TO_LEARN) - 1] + RECOVERY_S
        sound = [future.result() for at, future in self.sound if at > recovered]
        served = [result for result in sound if result.is_complete]
        assert len(served) >= 0.9 * len(sound), (len(served), len(sound), len(crashes))

    def run_count(self) -> int:
        return sum(self.cluster.run_count(future.result()) for future in self.bad)


def check_refused(cluster: EdgeCluster, daemon: Daemon, count: int = 6, bad: str = BAD,
                  places: tuple[int, ...] = (0, 1, 2)) -> None:
    """Checks that a daemon sends no request with the crashing part to a runner."""
    for number in range(count):
        result = send(daemon, bad_list(places[number % len(places)], bad))
        assert result.status == 503 and cluster.run_count(result) == 0, (daemon.name, result)
        assert "retry-after" not in result.fields, result.fields


def learn(cluster: EdgeCluster) -> None:
    """Sends requests with the crashing part until one is refused because of it.

    The part is in the middle each time, so that it comes only together with the shared first part.
    """
    for number in range(40):
        result = send(cluster.daemons[number % len(cluster.daemons)], bad_list())
        if b"prompt_part_quarantined" in result.body:
            break
        time.sleep(0.2)
    crashes = len(cluster.platform.part_crashes)
    assert crashes <= MAX_CRASHES_TO_LEARN, crashes
    time.sleep(0.5)
    for daemon in cluster.daemons:
        check_refused(cluster, daemon, places=(1, 2))


def check_sound_served(cluster: EdgeCluster, count: int = 10) -> None:
    results = [send(cluster.daemons[number % len(cluster.daemons)], sound_list())
               for number in range(count)]
    assert all(result.is_complete for result in results), results


def test_edge_stops_requests_with_a_part_that_crashes_runners() -> None:
    """Sends requests with the part to two daemons for 10 s, beside sound ones.

    The part is at the first place, in the middle or at the last but one.
    """
    for place in (0, 1, 2):
        with start() as cluster:
            check_sound_served(cluster, 4)
            load = Load(cluster)
            load.run(10.0, [bad_list(place) for _ in range(400)])
            load.check()
            for daemon in cluster.daemons:
                check_refused(cluster, daemon)
            check_sound_served(cluster)


def test_edge_stops_requests_with_a_part_that_crashes_runners_after_an_event() -> None:
    """Guards against a part that is never suspected, since the first event has arrived at each crash."""
    with start() as cluster:
        for endpoint in cluster.platform.endpoints.values():
            endpoint.faults.crashes_after_event = True
        check_sound_served(cluster, 4)
        load = Load(cluster)
        load.run(10.0, [bad_list() for _ in range(400)])
        load.check()
        for daemon in cluster.daemons:
            check_refused(cluster, daemon, places=(1, 2))
        check_sound_served(cluster)


def test_edge_stops_requests_with_a_part_that_only_a_newer_version_crashes_on() -> None:
    """Guards against a part that counts as sound for ten minutes since an older version answered it."""
    with start() as cluster:
        runners = [e for e in cluster.platform.endpoints.values() if e.service == "llm"]
        for runner in runners:
            runner.faults.crashing_version = runner.next_version = "v2"
        for number in range(4):
            daemon = cluster.daemons[number % 2]
            assert send(daemon, bad_list()).is_complete
        for runner in runners:
            cluster.platform.run_coroutine(runner.crash(0.2))
        cluster.wait_until(lambda: send(cluster.daemons[0], sound_list()).is_complete, "a sound request")
        check_sound_served(cluster, 4)
        load = Load(cluster)
        load.run(10.0, [bad_list() for _ in range(400)])
        load.check()
        for daemon in cluster.daemons:
            check_refused(cluster, daemon, places=(1, 2))
        check_sound_served(cluster)


def test_edge_stops_two_crashing_parts_at_once() -> None:
    """Sends requests with one of two crashing parts, or with both."""
    with start(bad=(BAD, ALSO_BAD)) as cluster:
        check_sound_served(cluster, 4)
        load = Load(cluster)
        load.run(10.0, [bad_list(number % 3, (BAD, ALSO_BAD)[number % 2]) for number in range(400)])
        # Each of the parts has a limit of its own.
        for name in (BAD, ALSO_BAD):
            check_refused(cluster, cluster.daemons[0], bad=name)
            check_refused(cluster, cluster.daemons[1], bad=name)
        assert load.run_count() <= 2 * (MAX_CRASHES_TO_LEARN + MAX_LATE_RUNS), load.run_count()
        check_sound_served(cluster)


def test_edge_remembers_a_crashing_part_when_daemons_start_anew() -> None:
    """Restarts one daemon, then all, after the part is known."""
    with start() as cluster:
        check_sound_served(cluster, 4)
        learn(cluster)
        time.sleep(1.5)
        for restarted in ([cluster.daemons[1]], cluster.daemons):
            for daemon in restarted:
                daemon.kill()
            for daemon in restarted:
                daemon.start()
            for daemon in restarted:
                cluster.wait_until(daemon.is_ready, "readiness")
                check_refused(cluster, daemon)
        cluster.wait_until(lambda: send(cluster.daemons[0], sound_list()).is_complete, "an answer")
        check_sound_served(cluster)


def test_edge_remembers_a_crashing_part_without_its_dispatcher() -> None:
    """Kills the dispatcher after the part is known, and lets the daemons find another one."""
    with start(daemons=3) as cluster:
        check_sound_served(cluster, 6)
        learn(cluster)
        holder = cluster.holder()
        holder.kill()
        others = [daemon for daemon in cluster.daemons if daemon is not holder]
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            for daemon in others:
                check_refused(cluster, daemon, 2)
            time.sleep(0.3)
        holder.start()
        cluster.wait_until(holder.is_ready, "readiness")
        check_refused(cluster, holder)
        check_sound_served(cluster)


def test_edge_stops_a_crashing_part_while_the_store_is_down() -> None:
    """Takes the store down before the first crash."""
    with start() as cluster:
        check_sound_served(cluster, 4)
        store = cluster.platform.store
        cluster.platform.run_on_loop(lambda: setattr(store, "is_down", True))
        load = Load(cluster)
        load.run(4.0, with_sound=False)
        load.check()
        for daemon in cluster.daemons:
            check_refused(cluster, daemon)
        cluster.platform.run_on_loop(lambda: setattr(store, "is_down", False))
        time.sleep(3.0)
        for daemon in cluster.daemons:
            check_refused(cluster, daemon)
        cluster.wait_until(lambda: send(cluster.daemons[0], sound_list()).is_complete, "an answer")
        check_sound_served(cluster)


def test_edge_serves_sound_requests_with_the_companion_of_a_crashing_part() -> None:
    """Sends the crashing part only together with one sound part that no answer has proven sound."""
    with start() as cluster:
        learn(cluster)
        cluster.wait_until(lambda: send(cluster.daemons[0], sound_list()).is_complete, "an answer")
        check_sound_served(cluster)
        for daemon in cluster.daemons:
            check_refused(cluster, daemon)


def test_edge_reads_lists_of_parts_that_are_malformed() -> None:
    """Sends lists that are empty, very long, without token counts, or name a part twice."""
    with start() as cluster:
        lists = ["", ",", ":", "5c", "5c,5c,5c:1", "zz:1,5c:1", "5c:1,,7:2",
                 ",".join(f"{number:x}:1" for number in range(1200))]
        for parts in lists:
            for daemon in cluster.daemons:
                assert send(daemon, parts).is_complete, parts[:40]
        for parts in ("5c,bad0,7", "5c:1,bad0,7:1", "bad0,bad0,bad0:1", "5c:1,7,bad0:1,8:1"):
            learn_with = [send(cluster.daemons[number % 2], parts) for number in range(3)]
            assert all(result.status in (502, 503) for result in learn_with), learn_with
            time.sleep(0.4)
        for parts in ("5c,bad0,77", "5d:1,zz,bad0,79:1"):
            for daemon in cluster.daemons:
                result = send(daemon, parts)
                assert result.status == 503 and cluster.run_count(result) == 0, (parts, result)


def test_edge_does_not_quarantine_a_shared_part_whose_streams_go_on() -> None:
    """Ends three runners by chance under requests that share their first part.

    No request with that part has been answered yet, but one stream with it has gone on for a while.
    """
    with EdgeCluster(daemons=1, runners=4, models=2) as cluster:
        platform, daemon = cluster.platform, cluster.daemons[0]
        platform.work_s = 0.8
        with ThreadPoolExecutor(16) as pool:
            first = pool.submit(send, daemon, sound_list())
            time.sleep(2.6)
            running_at = next(iter(platform.runs.values()))[0].endpoint
            platform.work_s = 20.0
            others = [pool.submit(send, daemon, sound_list()) for _ in range(12)]
            victims = [endpoint for endpoint in platform.endpoints.values()
                       if endpoint.service == "llm" and endpoint.id != running_at]
            cluster.wait_until(lambda: all(any(run.endpoint == victim.id for runs in
                                               platform.runs.values() for run in runs)
                                           for victim in victims), "a request at each runner")
            for victim in victims:
                platform.run_coroutine(victim.crash(1.0))
            time.sleep(0.5)
            platform.work_s = 0.01
            cluster.wait_until(lambda: send(daemon, sound_list()).is_complete, "a sound request", 4.0)
            assert '"event":"part_suspected"' in daemon.log.read_text(), "no crash was seen"
            assert '"event":"part_quarantined"' not in daemon.log.read_text()
            del first, others
