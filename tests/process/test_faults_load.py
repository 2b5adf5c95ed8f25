"""Model loads under faults.

A model never has two replicas, no memory is overcommitted, and every caller gets an answer.
"""

from __future__ import annotations

import json
import time

from fixture import (
    chat, check_all_cases, check_placement, configuration_document, journal_entries, result_code,
    run_in_background, start_cluster, wait_for_lease_holder,
)
from local_cluster import Cluster, wait_until

LOAD_SLOWDOWN = 5  # Factor that makes a load take two seconds.


def test_holder_lost_in_the_middle_of_a_load() -> None:
    """Kills or pauses the lease holder while a runner loads a model for a waiting request.

    The next holder must find the load that its predecessor ordered, and must not order another.
    """
    def check(orders: str, loss: str) -> None:
        with Cluster() as cluster:
            daemons = start_cluster(cluster, orders=orders)
            holder = wait_for_lease_holder(cluster, daemons)
            others = [daemon for daemon in daemons if daemon is not holder]
            cluster.inject_faults(cluster.platform, store_slow_factor=LOAD_SLOWDOWN)
            waiting = run_in_background(lambda: chat(others[0]))
            wait_until(lambda: journal_entries(cluster, "runner", "load"), description="a load")
            if loss == "killed":
                holder.kill()
                cluster.remove_host(holder.name)
            else:
                holder.pause()
                wait_for_lease_holder(cluster, others)
                holder.resume()
            assert waiting.result().status == 200
            live = others if loss == "killed" else daemons
            for number, daemon in enumerate(live):
                assert chat(daemon).status == 200
                assert chat(daemon, f"m{number + 1}").status == 200
            assert len(journal_entries(cluster, "runner", "load", model="m0")) == 1
            check_placement(cluster)

    check_all_cases([(orders, loss) for orders in ("checked", "unchecked")
                     for loss in ("killed", "paused")],
                    check, max_concurrent_cases=2)


def test_runner_lost_in_the_middle_of_a_load() -> None:
    """Kills a runner in the middle of a load; in one case it restarts under the same name.

    The waiting request must be served by a new load. A holder that did not notice the restart would
    wait for a load that the new process does not know.
    """
    def check(loss: str) -> None:
        with Cluster() as cluster:
            daemons = start_cluster(cluster)
            cluster.inject_faults(cluster.platform, store_slow_factor=LOAD_SLOWDOWN)
            waiting = run_in_background(lambda: chat(daemons[1]))
            wait_until(lambda: journal_entries(cluster, "runner", "load"), description="a load")
            lost = cluster.processes[journal_entries(cluster, "runner", "load")[0]["endpoint"]]
            if loss == "killed":
                lost.kill()
                cluster.remove_host(lost.name)
            else:
                # The restarted runner has the same name, no replicas and another boot id.
                lost.kill()
                cluster.start_endpoint(lost.name, "engine", "language")
            assert waiting.result().status == 200
            check_placement(cluster)

    check_all_cases([("killed",), ("restarted",)], check)


def test_lost_answers_to_orders_and_table_calls_make_no_second_load() -> None:
    """Loses or delays the answers to orders and to table transactions.

    Without an answer a daemon cannot know whether its call took effect, and repeats it. Each of the
    three models must still be loaded only once.
    """
    def check(orders: str, on_runner: dict, on_table: dict) -> None:
        with Cluster() as cluster:
            daemons = start_cluster(cluster, orders=orders)
            for name in ("runner-0", "runner-1"):
                cluster.inject_faults(cluster.processes[name], **on_runner)
            cluster.inject_faults(cluster.platform, **on_table)
            for number, daemon in enumerate(daemons):
                assert chat(daemon, f"m{number}").status == 200
            check_placement(cluster)
            assert len(journal_entries(cluster, "runner", "load")) == 3

    check_all_cases([
        ("checked", {"order_lose_answers": 2}, {}),
        ("unchecked", {"order_lose_answers": 2}, {}),
        ("checked", {}, {"table_lose_answers": 3}),
        ("unchecked", {"order_lose_answers": 1}, {"table_lose_answers": 2}),
        ("checked", {"order_delay_ms": 300}, {}),
    ], check, max_concurrent_cases=2)


def test_paused_runner_does_not_hold_up_orders_to_others() -> None:
    """Pauses as many runners as there are order threads (2).

    A call to a paused runner holds an order thread until its timeout. Loads on the other two
    runners must still succeed.
    """
    with Cluster() as cluster:
        daemons = start_cluster(cluster, runners=4, order_threads=2)
        cluster.processes["runner-0"].pause()
        cluster.processes["runner-1"].pause()
        # The lease holder requests the inventory of each runner every 2 s, and places no model on a
        # runner that does not answer.
        time.sleep(4)
        for number in range(6):
            assert chat(daemons[number % 3], f"m{number}").status == 200
        for name in ("runner-0", "runner-1"):
            cluster.processes[name].resume()
        check_placement(cluster)


def test_long_table_outage() -> None:
    """Keeps the table down for longer than two lease lengths.

    Loaded models must stay available. A new model may be loaded only where runners check fencing
    tokens. Elsewhere an order must first be recorded in the table.
    """
    def check(orders: str) -> None:
        with Cluster() as cluster:
            daemons = start_cluster(cluster, orders=orders)
            assert chat(daemons[0], "m0").status == 200
            holder = wait_for_lease_holder(cluster, daemons)
            cluster.inject_faults(cluster.platform, table_down=1)
            wait_until(lambda: cluster.apply_configuration(
                daemons[1], configuration_document(), 1).status == 503)
            # The 90 requests take at least 40 ms each, which is longer than two lease lengths of
            # 1.5 s. Requests for a loaded model succeed all the time. A request for another model
            # is served where runners check fencing tokens, and is refused otherwise.
            for _ in range(30):
                assert all(chat(daemon, "m0").status == 200 for daemon in daemons)
                wait_until(lambda: cluster.dump(holder) != {})
                json.dumps(cluster.dump(holder))
            answers = [chat(daemon, f"m{number + 1}") for number, daemon in enumerate(daemons)]
            for answer in answers:
                if orders == "checked":
                    assert answer.status == 200, answer
                else:
                    assert (answer.status, result_code(answer)) == (503, 2104), answer
                    assert int(answer.headers["retry-after"]) > 0
            cluster.inject_faults(cluster.platform, table_down=0)
            wait_until(lambda: chat(daemons[2], "m5").status == 200,
                       description="a load after the outage")
            assert cluster.apply_configuration(
                daemons[1], configuration_document(orders), 1).status == 200
            check_placement(cluster)

    check_all_cases([("checked",), ("unchecked",)], check)


def test_crashed_runner_that_stays_on_the_list_does_not_keep_its_models() -> None:
    """Kills a runner without removing it from the host list.

    The daemons must find out by themselves that its replica is gone, and load the model elsewhere.
    The load on the crashed runner is not counted, because its journal is lost.
    """
    with Cluster() as cluster:
        daemons = start_cluster(cluster, runners=3)
        assert chat(daemons[0]).status == 200
        loaded_runner = next(n for n in range(3) if journal_entries(cluster, f"runner-{n}", "load"))
        cluster.processes[f"runner-{loaded_runner}"].kill()
        answers = [chat(daemon) for daemon in daemons]
        assert [answer.status for answer in answers] == [200] * 3, answers
        assert len(journal_entries(cluster, "runner", "load")) == 1
