"""Requests under faults.

Streams reach the caller complete, a payment runs at most once, and an error states correctly
whether its request was run.
"""

from __future__ import annotations

from threading import Event

from fixture import (
    chat, check_all_cases, journal_entries, pay, result_code, run_concurrently, run_in_background,
    start_cluster, without_ids,
)
from local_cluster import Cluster, Process, wait_until

IN_PROGRESS, CLAIM_UNAVAILABLE, OUTCOME_UNKNOWN, EARLIER_OUTCOME_UNKNOWN = 1302, 2103, 3101, 3102


def test_interrupted_stream_reaches_the_caller_whole() -> None:
    """Cuts or silences streams at token 5.

    The daemon must continue it with another attempt, from that token or from the start, and the
    caller must get the same bytes as without the fault: none missing and none twice. When every
    attempt is cut, the stream must end with an error event and without [DONE].
    """
    def check(faults: dict, is_whole: bool) -> None:
        with Cluster() as cluster:
            daemon = start_cluster(cluster, daemons=1)[0]
            undisturbed = chat(daemon, tokens=20, stream=True)
            assert undisturbed.body.endswith(b"data: [DONE]\n\n")
            for name in ("runner-0", "runner-1"):
                cluster.inject_faults(cluster.processes[name], **faults)
            answer = chat(daemon, tokens=20, stream=True)
            served = journal_entries(cluster, "runner", "run")
            if is_whole:
                assert without_ids(answer) == without_ids(undisturbed), answer
                assert len(served) > 2 and served[-1]["offset"] in (0, 5)
            else:
                assert b"[DONE]" not in answer.body and b"event: error" in answer.body, answer

    check_all_cases([
        ({"cut_streams": 1, "cut_at": 5}, True),
        ({"cut_streams": 2, "cut_at": 5}, True),
        ({"silent_streams": 1, "silent_at": 5}, True),
        ({"cut_streams": 1, "cut_at": 5, "crossed_answers": 1}, True),
        ({"cut_streams": 1_000, "cut_at": 5}, False),
    ], check, max_concurrent_cases=3)


def test_engine_killed_in_the_middle_of_a_stream() -> None:
    """Kills the runner: the caller must get the stream complete from the other runner.

    The killed runner's journal is lost, so only the run on the other one is counted.
    """
    with Cluster() as cluster:
        daemon = start_cluster(cluster, daemons=1, runner_options=("--token-ms", "30"))[0]
        undisturbed = chat(daemon, tokens=40, stream=True)
        streaming = run_in_background(lambda: chat(daemon, tokens=40, stream=True))
        wait_until(lambda: len(journal_entries(cluster, "runner", "run")) == 2)
        runner = cluster.processes[journal_entries(cluster, "runner", "run")[0]["endpoint"]]
        runner.kill()
        cluster.remove_host(runner.name)
        assert without_ids(streaming.result()) == without_ids(undisturbed)
        assert len(journal_entries(cluster, "runner", "run")) == 1


def test_crossed_answers_are_never_passed_on() -> None:
    """Lets runners answer with the id of another request.

    The caller must never get such an answer. After one from each runner, another attempt must
    succeed. If all answers are crossed, the request must end with 502.
    """
    def check(count: int, status: int) -> None:
        with Cluster() as cluster:
            daemon = start_cluster(cluster, daemons=1)[0]
            expected = chat(daemon).json()["choices"]
            for name in ("runner-0", "runner-1"):
                cluster.inject_faults(cluster.processes[name], crossed_answers=count)
            answer = chat(daemon)
            assert answer.status == status, answer
            assert status != 200 or answer.json()["choices"] == expected

    check_all_cases([(1, 200), (1_000, 502)], check)


def ledger_run_count(cluster: Cluster, key: str) -> int:
    return len(journal_entries(cluster, "ledger", "run", key=key))


def check_reported_execution(cluster: Cluster, key: str, answers: list) -> None:
    """Asserts that the payment ran at most once and ran if an answer reports success.

    Every other answer has to state that the request was not run, may have run, or ran and lost its
    answer.
    """
    count = ledger_run_count(cluster, key)
    assert count <= 1
    assert count == 1 or all(answer.status != 200 for answer in answers)
    for answer in answers:
        assert answer.status == 200 or answer.json()["error"]["execution"] in (
            "not_run", "may_have_run", "ran_answer_lost"), answer


def test_payment_runs_at_most_once() -> None:
    """Sends payments with one key under faults of the ledgers, the daemons and the table.

    After a lost answer or a lost daemon it is unknown whether the payment ran. Repeating it then
    could run it twice, so the daemons must refuse the key from then on.
    """
    def lose_answer(cluster: Cluster, daemons: list[Process]) -> list:
        for name in ("ledger-0", "ledger-1"):
            cluster.inject_faults(cluster.processes[name], lose_answers=1)
        answers = [pay(daemon, "k") for daemon in daemons]
        # The daemon stores the outcome of the key after it has answered the first request. Until
        # then requests with the same key are refused as in progress.
        assert result_code(answers[0]) == OUTCOME_UNKNOWN
        assert {result_code(answer) for answer in answers[1:]} <= {
            IN_PROGRESS, EARLIER_OUTCOME_UNKNOWN}
        wait_until(lambda: result_code(pay(daemons[2], "k")) == EARLIER_OUTCOME_UNKNOWN)
        assert ledger_run_count(cluster, "k") == 1
        return answers

    def kill_service(cluster: Cluster, daemons: list[Process]) -> list:
        for name in ("ledger-0", "ledger-1"):
            cluster.inject_faults(cluster.processes[name], slow_ms=20_000)
        first = run_in_background(lambda: pay(daemons[0], "k"))
        wait_until(lambda: ledger_run_count(cluster, "k") == 1)
        cluster.processes[journal_entries(cluster, "ledger", "run")[0]["endpoint"]].kill()
        answers = [first.result(), *(pay(daemon, "k") for daemon in daemons)]
        assert [result_code(answer) for answer in answers] == [
            OUTCOME_UNKNOWN] + [EARLIER_OUTCOME_UNKNOWN] * 3
        assert ledger_run_count(cluster, "k") == 0  # The other ledger never got the payment.
        return answers

    def kill_daemon(cluster: Cluster, daemons: list[Process]) -> list:
        for name in ("ledger-0", "ledger-1"):
            cluster.inject_faults(cluster.processes[name], slow_ms=500)
        first = run_in_background(lambda: pay(daemons[0], "k"))
        wait_until(lambda: ledger_run_count(cluster, "k") == 1)
        daemons[0].kill()
        assert first.exception() is not None
        answers = [pay(daemons[1], "k")]
        cluster.remove_host(daemons[0].name)
        wait_until(lambda: result_code(pay(daemons[2], "k")) == EARLIER_OUTCOME_UNKNOWN)
        return answers

    def send_twice_at_once(cluster: Cluster, daemons: list[Process]) -> list:
        for name in ("ledger-0", "ledger-1"):
            cluster.inject_faults(cluster.processes[name], slow_ms=300)
        answers = run_concurrently(*(lambda d=daemon: pay(d, "k") for daemon in daemons * 3))
        assert 200 in [answer.status for answer in answers]
        assert {result_code(answer) for answer in answers} <= {0, IN_PROGRESS}, answers
        return answers

    def table_down(cluster: Cluster, daemons: list[Process]) -> list:
        cluster.inject_faults(cluster.platform, table_down=1)
        answers = [pay(daemon, "k") for daemon in daemons]
        assert [result_code(answer) for answer in answers] == [CLAIM_UNAVAILABLE] * 3
        assert ledger_run_count(cluster, "k") == 0
        cluster.inject_faults(cluster.platform, table_down=0)
        wait_until(lambda: pay(daemons[1], "k").status == 200)
        return answers[:0]

    def table_loses_answers(cluster: Cluster, daemons: list[Process]) -> list:
        cluster.inject_faults(cluster.platform, table_lose_answers=4)
        return [pay(daemon, "k") for daemon in daemons * 2]

    def cut_off_by_deadline(cluster: Cluster, daemons: list[Process]) -> list:
        for name in ("ledger-0", "ledger-1"):
            cluster.processes[name].pause()
        answers = [pay(daemons[0], "k")]
        assert result_code(answers[0]) in (OUTCOME_UNKNOWN, 2107, 2108), answers
        for name in ("ledger-0", "ledger-1"):
            cluster.processes[name].resume()
        return answers + [pay(daemon, "k") for daemon in daemons]

    def check(case) -> None:
        with Cluster() as cluster:
            daemons = start_cluster(cluster, runners=0, ledgers=2)
            check_reported_execution(cluster, "k", case(cluster, daemons))

    check_all_cases([(case,) for case in (lose_answer, kill_service, kill_daemon,
                                          send_twice_at_once, table_down, table_loses_answers,
                                          cut_off_by_deadline)],
                    check, max_concurrent_cases=3)


def remove_crashed_runners(cluster: Cluster, is_done: Event) -> None:
    """Removes crashed runners from the host list until is_done is set, as the platform does."""
    while not is_done.wait(0.05):
        for name, process in list(cluster.processes.items()):
            if process.popen.poll() is not None:
                cluster.remove_host(name)


def test_request_that_crashes_engines_is_stopped_after_two() -> None:
    """Sends a request that crashes its runner at all daemons, beside other requests.

    Repeating it without a limit would crash one runner after the other. After at most two crashes
    it must be refused with 422, and all other requests must succeed.
    """
    with Cluster() as cluster:
        daemons = start_cluster(cluster, runners=5, runner_options=("--token-ms", "20"))
        assert chat(daemons[0]).status == 200
        unaffected = run_in_background(lambda: run_concurrently(
            *(lambda n=n: chat(daemons[n % 3], prompt=f"innocent {n}") for n in range(12))))
        is_done = Event()
        run_in_background(lambda: remove_crashed_runners(cluster, is_done))
        crashing = [chat(daemons[n % 3], prompt="CRASH-THE-ENGINE") for n in range(6)]
        is_done.set()
        assert all(answer.status in (422, 502, 503) for answer in crashing), crashing
        assert [answer.status for answer in crashing[-2:]] == [422, 422], crashing
        statuses = [answer.status for answer in unaffected.result()]
        assert statuses == [200] * 12, unaffected.result()
        crashed = [n for n, p in cluster.processes.items() if p.popen.poll() is not None]
        assert len(crashed) <= 2, crashed
