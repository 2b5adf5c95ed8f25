"""Runs both example deployments on loopback and sends requests through their daemons.

Each deployment has 9 runners, 3 plain endpoints and 3 daemons. The demo shows how a configuration
is applied, a cold and a warm model, a stream, an adapter, a replayed order and a wrong key. Exits
with 1 if an answer is not as expected.
"""

from __future__ import annotations

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent / "python"), str(Path(__file__).parent)]

from examples import lanna_wings, nominas  # noqa: E402
from local_cluster import Cluster, HttpAnswer, send_request  # noqa: E402

ZONES = "abc"


def print_answer(name: str, answer: HttpAnswer, note: str = "") -> None:
    code = answer.headers.get("x-result-code", "")
    print(f"  {name:<34} {answer.status:>4} {code:>5} {1000 * answer.duration_s:>9.1f} ms  {note}")


def chat(daemon, key: str, model: str, stream: bool = False) -> HttpAnswer:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 12,
        "stream": stream,
    }
    return send_request(
        daemon.addresses["caller"],
        "POST",
        "/v1/chat/completions",
        body,
        {"Authorization": f"Bearer {key}"},
    )


def run_deployment(title: str, document: str, model_service: str, plain_service: str, key: str,
                   model: str, order_path: str, adapter: str, checks_fence: bool) -> bool:
    """Runs one deployment and returns whether every answer was as expected."""
    print(f"{title}: 9 runners of '{model_service}', 3 endpoints of '{plain_service}', 3 daemons")
    with Cluster() as cluster:
        cluster.start_platform()
        for number in range(9):
            cluster.start_endpoint(f"runner-{number}", "engine", model_service, ZONES[number % 3],
                                   "--checks-fence", "1" if checks_fence else "0")
        for number in range(3):
            cluster.start_endpoint(f"{plain_service}-{number}", "service", plain_service,
                                   ZONES[number])
        daemons = [cluster.start_daemon(f"daemon-{zone}", zone) for zone in ZONES]
        applied = cluster.apply_configuration(daemons[0], document, based_on=0)
        print_answer("configuration accepted", applied)
        cluster.wait_ready(*daemons)

        cold = chat(daemons[0], key, model)
        print_answer("cold model", cold)
        warm = chat(daemons[1], key, model)
        print_answer("warm model, another daemon", warm)
        stream = chat(daemons[2], key, model, stream=True)
        is_complete = stream.body.endswith(b"data: [DONE]\n\n")
        print_answer("streamed", stream,
                     f"{stream.body.count(b'data: ')} events, whole: {is_complete}")
        with_adapter = chat(daemons[0], key, f"{model}:{adapter}")
        print_answer("adapter", with_adapter)
        header = {"Authorization": f"Bearer {key}", "Idempotency-Key": "order-1"}
        path = f"/services/{plain_service}{order_path}"
        first = send_request(daemons[0].addresses["caller"], "POST", path, {"bay": 1}, header)
        print_answer("order", first)
        again = send_request(daemons[1].addresses["caller"], "POST", path, {"bay": 1}, header)
        print_answer("the same order, another daemon", again,
                     f"replayed: {again.headers.get('idempotent-replay', 'no')}")
        refused = chat(daemons[0], "no-such-key", model)
        print_answer("wrong key", refused)
        run_count = sum(
            entry["what"] == "run"
            for number in range(3)
            for entry in cluster.journal(cluster.processes[f"{plain_service}-{number}"])
        )
        load_count = sum(
            entry["what"] == "load"
            for number in range(9)
            for entry in cluster.journal(cluster.processes[f"runner-{number}"])
        )
        print(f"  the order ran {run_count} time(s); the model was loaded {load_count} time(s)")
        print("  state of daemon-a:")
        for name, value in cluster.dump(daemons[0]).items():
            print(f"    {name} = {value}")
        expected = [applied, cold, warm, stream, with_adapter, first, again]
        exit_codes = [daemon.terminate() for daemon in daemons]
        return (
            all(answer.status == 200 for answer in expected)
            and refused.status == 403
            and is_complete
            and run_count == 1
            and load_count == 1
            and exit_codes == [0, 0, 0]
        )


def main() -> int:
    results = [
        run_deployment("Nóminas Hogareñas del Bajío", nominas.build().to_yaml(), "language",
                       "ledger", "families-key", "payslip-0", "/payments", "tone-0",
                       checks_fence=True),
        run_deployment("Lanna Wings", lanna_wings.build().to_yaml(), "assistant", "booking",
                       "members-key", "hangar-0", "/bays/confirm", "field-0", checks_fence=False),
    ]
    print("The demo went as expected." if all(results) else "The demo did NOT go as expected.")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
