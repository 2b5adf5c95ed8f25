"""Requests through daemons to stand-ins, with the configuration of Nóminas.

The journals of the stand-ins show which requests and loads were run.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from examples import nominas
from local_cluster import Cluster, HttpAnswer, Process, send_request


def start_nominas_cluster(
    cluster: Cluster, runners: int = 3, daemons: int = 3, **settings
) -> list[Process]:
    """Starts runners, two ledgers and daemons with the configuration of Nóminas."""
    cluster.start_platform()
    for number in range(runners):
        cluster.start_endpoint(f"runner-{number}", "engine", "language", "abc"[number % 3])
    for number in range(2):
        cluster.start_endpoint(f"ledger-{number}", "service", "ledger", "abc"[number])
    started = [cluster.start_daemon(f"daemon-{n}", "abc"[n % 3], **settings) for n in range(daemons)]
    assert cluster.apply_configuration(started[0], nominas.build().to_yaml(), 0).status == 200
    cluster.wait_ready(*started)
    return started


def chat(daemon: Process, model: str = "payslip-0", key: str = "families-key", tokens: int = 8,
         stream: bool = False, prompt: str = "hello", **headers: str) -> HttpAnswer:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return send_request(daemon.addresses["caller"], "POST", "/v1/chat/completions", body,
                        {"Authorization": f"Bearer {key}", **headers})


def pay(daemon: Process, key: str, amount: int = 1) -> HttpAnswer:
    return send_request(daemon.addresses["caller"], "POST", "/services/ledger/payments",
                        {"amount": amount},
                        {"Authorization": "Bearer families-key", "Idempotency-Key": key})


def journal_entries(cluster: Cluster, prefix: str, event: str) -> list[dict]:
    return [
        entry
        for name, process in cluster.processes.items()
        if name.startswith(prefix) and process.popen.poll() is None
        for entry in cluster.journal(process)
        if entry["what"] == event
    ]


def test_burst_on_a_cold_model_makes_one_load() -> None:
    """Sends 24 requests for a cold model at once to three daemons: they must share one load."""
    with Cluster() as cluster:
        daemons = start_nominas_cluster(cluster)
        with ThreadPoolExecutor(24) as pool:
            answers = list(pool.map(lambda n: chat(daemons[n % 3]), range(24)))
        assert [answer.status for answer in answers] == [200] * 24
        assert len({answer.json()["choices"][0]["message"]["content"] for answer in answers}) == 1
        assert len(journal_entries(cluster, "runner", "load")) == 1


def test_payment_with_one_key_runs_once() -> None:
    """Repeats a payment at three daemons: it must run once and get the same answer each time.

    A different payment with the same key must be refused.
    """
    with Cluster() as cluster:
        daemons = start_nominas_cluster(cluster)
        answers = [pay(daemons[n % 3], "friday") for n in range(6)]
        assert [answer.status for answer in answers] == [200] * 6
        assert len({answer.body for answer in answers}) == 1
        assert len(journal_entries(cluster, "ledger", "run")) == 1
        assert pay(daemons[0], "friday", amount=2).headers["x-result-code"] == "1303"


def test_refusals_by_the_daemon_reach_no_endpoint() -> None:
    with Cluster() as cluster:
        daemon = start_nominas_cluster(cluster, daemons=1)[0]
        address = daemon.addresses["caller"]
        path = "/v1/chat/completions"
        key = {"Authorization": "Bearer nannies-key"}
        cases = [
            (401, 1101, send_request(address, "POST", path, {"model": "payslip-0"})),
            (403, 1102, chat(daemon, key="wrong")),
            (404, 1103, chat(daemon, model="payslip-7", key="nannies-key")),
            (404, 1103, chat(daemon, model="payslip-0:no-such", key="nannies-key")),
            (400, 1201, send_request(address, "POST", path, b"{", key)),
            (400, 1201, send_request(address, "POST", path, {"model": 7}, key)),
            (400, 1201,
             send_request(address, "POST", path, {"model": "payslip-0", "stream": "x"}, key)),
            (413, 1202, send_request(address, "POST", path, b"x" * (2 << 20), key)),
            (404, 1104, send_request(address, "GET", "/services/other/x", None, key)),
            (404, 1104, send_request(address, "GET", "/services/ledger/unknown", None, key)),
            (400, 1301, send_request(address, "POST", "/services/ledger/payments", {}, key)),
        ]
        for status, code, answer in cases:
            assert answer.status == status, (status, answer)
            assert answer.json()["error"]["code"] == code, answer
            assert answer.json()["error"]["execution"] == "not_run"
        assert journal_entries(cluster, "runner", "run") == []
        assert journal_entries(cluster, "ledger", "run") == []
