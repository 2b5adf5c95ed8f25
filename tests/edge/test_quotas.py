"""Quotas of client accounts over all daemons, on edge daemons as processes."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path

from edge_cluster import Daemon, EdgeCluster
from test_accounts import apply, send

RATE = 5_000  # Tokens a second, and as many at once.
COST = 1_000  # Of each request.
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + RATE) * 1.1 + 11_000


def accounts() -> list[dict]:
    return [{"name": "limited", "apiKeys": ["key-l"], "unit": "token_count", "plainTokens": COST,
             "ratePerS": RATE, "burst": RATE},
            {"name": "free", "apiKeys": ["key-f"]}]


def count_reports(cluster: EdgeCluster) -> int:
    return sum(int(line.split()[1]) for daemon in cluster.daemons
               for line in daemon.fetch("/metrics").splitlines()
               if line.startswith("rhubarbtrail_messages_quota_report "))


def send_for(seconds: float, daemons: list[Daemon], pause_s: float, kind: str) -> list[tuple]:
    """Sends requests from one thread per daemon. Returns when each was sent, and its result."""
    sent: list[tuple] = []

    def work(daemon: Daemon) -> None:
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            result = send(daemon, kind, "key-l", X_Token_Usage=f"{COST - 10},10")
            sent.append((now, result))
            time.sleep(pause_s)

    threads = [threading.Thread(target=work, args=(daemon,)) for daemon in daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sorted(sent, key=lambda item: item[0])


def largest_window(sent: list[tuple]) -> float:
    admitted = [at for at, result in sent if result.status == 200]
    return max((sum(COST for other in admitted if at <= other <= at + WINDOW_S)
                for at in admitted), default=0.0)


def test_edge_quota_holds_over_all_daemons() -> None:
    """Guards against quotas that each daemon grants by itself, and against refusals without need.

    In the middle of the traffic above the limit, the dispatcher is killed: its successor has no
    record of what was spent.
    """
    with EdgeCluster(daemons=4, models=2) as cluster:
        apply(cluster, accounts=accounts())
        for daemon in cluster.daemons:
            assert all(send(daemon, kind, "key-f").is_complete for kind in ("check", "chat"))
        assert count_reports(cluster) == 0, "an account without a limit cost messages"
        holder = cluster.holder()
        others = [daemon for daemon in cluster.daemons if daemon is not holder]
        time.sleep(2.0)  # The bucket of a new dispatcher fills up.
        below = send_for(6.0, others[:1], 0.3, "check")
        assert all(result.is_complete for _, result in below), "refused at 70 % of the limit"
        killer = threading.Timer(4.0, holder.kill)
        killer.start()
        results: list[list[tuple]] = []
        threads = [threading.Thread(target=lambda kind=kind: results.append(
            send_for(12.0, others, 0.02, kind))) for kind in ("check", "chat")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sent = sorted(below + [item for part in results for item in part],
                      key=lambda item: item[0])
        largest = largest_window(sent)
        refused = [result for _, result in sent if result.status == 429]
        print(f"most in {WINDOW_S} s: {largest:.0f} of {ALLOWED:.0f}; {len(refused)} of "
              f"{len(sent)} requests refused")
        assert largest <= ALLOWED
        assert largest >= RATE * WINDOW_S * 0.8, "much refused below the limit"
        assert refused and all(float(result.fields["retry-after"]) > 0 for result in refused)
        assert all(result.status in (200, 429, 503) for _, result in sent), sent
        assert all(not cluster.platform.runs.get(result.id) for result in refused)
        state = json.loads(others[0].fetch("/state"))["quotas"]
        assert [item["account"] for item in state["here"]] == ["limited"], state
        log = Path(others[0].log).read_text()
        assert '"event":"quota_exceeded"' in log and "key-l" not in log
