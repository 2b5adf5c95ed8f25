"""Helpers of the process tests: small clusters, requests of callers, and checks of the journals.

Each stand-in records what it does in a journal, which the helpers read over HTTP.
"""

from __future__ import annotations

import re
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Callable, Optional

from local_cluster import Cluster, HttpAnswer, Process, send_request, wait_until
from rhubarbtrail_config import (
    Configuration,
    Customer,
    Model,
    ModelService,
    PlainService,
    RequestClass,
    Route,
    key_hash,
)

# Settings in milliseconds, far below the defaults, so that tests wait only briefly for leases and
# timeouts to expire.
SHORT_LIMITS = {
    "lease_length": 1_500,
    "lease_renewal": 400,
    "order_flight": 400,
    "heartbeat_interval": 200,
    "member_timeout": 1_000,
    "replica_lifetime": 1_000,
    "progress_limit": 600,
    "configuration_poll": 200,
    "freshness_limit": 1_000,
    "call_timeout": 600,
    "host_list_interval": 100,
}
CHAT = "/v1/chat/completions"
FAMILIES_HEADERS = {"Authorization": "Bearer families-key"}


def configuration_document(
    orders: str = "checked", concurrency: int = 16, customers: tuple[str, ...] = ("families",)
) -> str:
    """Returns a small configuration: eight models of 8,000 MB and the plain service ledger."""
    configuration = Configuration().add(
        ModelService("language", orders=orders, endpoint_concurrency=concurrency),
        PlainService("ledger", routes=[Route("/payments", "payment", method="POST")]),
        RequestClass("default", priority=2, deadline_ms=20_000),
        RequestClass("payment", priority=0, deadline_ms=10_000, repeat="never"),
    )
    for name in customers:
        configuration.add(Customer(name, [key_hash(f"{name}-key")], services=["ledger"]))
    for number in range(8):
        configuration.add(Model(f"m{number}", "language", memory_mb=8_000, expected_load_ms=500))
    return configuration.to_yaml()


def start_cluster(
    cluster: Cluster,
    runners: int = 2,
    daemons: int = 3,
    ledgers: int = 0,
    orders: str = "checked",
    concurrency: int = 16,
    runner_options: tuple[str, ...] = (),
    platform_options: tuple[str, ...] = (),
    **settings: Any,
) -> list[Process]:
    """Starts stand-ins and daemons with short limits, and applies the small configuration."""
    cluster.start_platform(*platform_options)
    checks = "1" if orders == "checked" else "0"
    for number in range(runners):
        cluster.start_endpoint(
            f"runner-{number}", "engine", "language", "abc"[number % 3],
            "--checks-fence", checks, *runner_options,
        )
    for number in range(ledgers):
        cluster.start_endpoint(f"ledger-{number}", "service", "ledger", "abc"[number % 3])
    values = {**SHORT_LIMITS, **settings}
    started = [cluster.start_daemon(f"daemon-{n}", "abc"[n % 3], **values) for n in range(daemons)]
    assert cluster.apply_configuration(
        started[0], configuration_document(orders, concurrency), 0).status == 200
    cluster.wait_ready(*started)
    return started


def chat(daemon: Process, model: str = "m0", prompt: str = "hello", tokens: int = 8,
         stream: bool = False, **headers: str) -> HttpAnswer:
    body = {"model": model, "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens, "stream": stream}
    return send_request(daemon.addresses["caller"], "POST", CHAT, body,
                        {**FAMILIES_HEADERS, **headers})


def pay(daemon: Process, key: str) -> HttpAnswer:
    return send_request(daemon.addresses["caller"], "POST", "/services/ledger/payments",
                        {"amount": 1}, {**FAMILIES_HEADERS, "Idempotency-Key": key})


def result_code(answer: HttpAnswer) -> int:
    return int(answer.headers.get("x-result-code", "0"))


def without_ids(answer: HttpAnswer) -> bytes:
    """Returns a streamed body with empty ids, since the ids differ from request to request."""
    return re.sub(rb'"id":"[^"]*"', b'"id":""', answer.body)


def journal_entries(
    cluster: Cluster, prefix: str, event: str, **expected_fields: Any
) -> list[dict[str, Any]]:
    """Returns journal entries of the running stand-ins whose names start with prefix, by time.

    Keeps the entries whose "what" field is event and whose other fields have the expected values.
    The journal of a stand-in is lost when its process ends.
    """
    found = []
    for name, process in list(cluster.processes.items()):
        if not name.startswith(prefix) or process.popen.poll() is not None:
            continue
        for entry in cluster.journal(process):
            if entry["what"] == event and expected_fields.items() <= entry.items():
                found.append({**entry, "endpoint": name})
    return sorted(found, key=lambda entry: entry["at_ms"])


def check_placement(cluster: Cluster) -> None:
    """Asserts that no model ever had two replicas at once and no runner exceeded its memory."""
    assert journal_entries(cluster, "runner", "overcommit") == []
    changes = journal_entries(cluster, "runner", "load") + journal_entries(
        cluster, "runner", "unload")
    loaded: dict[str, set[str]] = {}
    for change in sorted(changes, key=lambda entry: entry["at_ms"]):
        loaded_on = loaded.setdefault(change["model"], set())
        if change["what"] == "load":
            loaded_on.add(change["endpoint"])
            assert len(loaded_on) == 1, (change, loaded_on)
            assert change["used_mb"] <= change["memory_mb"], change
        else:
            loaded_on.discard(change["endpoint"])


def wait_for_lease_holder(cluster: Cluster, daemons: list[Process]) -> Process:
    """Waits until one of the daemons reports that it holds the lease of the language cell."""
    found: list[Process] = []

    def find_holder() -> bool:
        found[:] = [d for d in daemons if cluster.dump(d).get("cells.language.held") == "yes"]
        return bool(found)

    wait_until(find_holder, description="a daemon that holds the lease of the language cell")
    return found[0]


def run_concurrently(*jobs: Callable[[], Any]) -> list[Any]:
    """Runs the jobs concurrently and returns their results in the same order."""
    with ThreadPoolExecutor(len(jobs)) as pool:
        return [future.result() for future in [pool.submit(job) for job in jobs]]


def run_in_background(job: Callable[[], Any]):
    """Starts a job on a thread of its own and returns its future."""
    pool = ThreadPoolExecutor(1)
    future = pool.submit(job)
    pool.shutdown(wait=False)
    return future


def check_all_cases(cases: list[tuple], check: Callable[..., None],
                    max_concurrent_cases: Optional[int] = None) -> None:
    """Runs check concurrently on every case, prints all that failed and raises the first error.

    max_concurrent_cases limits the number of concurrent cases; without it all run at once.
    """
    with ThreadPoolExecutor(max_concurrent_cases or len(cases)) as pool:
        futures = [pool.submit(check, *case) for case in cases]
    failures = [(case, future.exception()) for case, future in zip(cases, futures)
                if future.exception()]
    for case, error in failures:
        print(f"failed case {case}: {error!r}", flush=True)
    if failures:
        raise failures[0][1]
