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
from local_cluster import Answer, Cluster, call  # noqa: E402

ZONES = "abc"


def show(name: str, answer: Answer, note: str = "") -> None:
    code = answer.headers.get("x-result-code", "")
    print(f"  {name:<34} {answer.status:>4} {code:>5} {1000 * answer.seconds:>9.1f} ms  {note}")


def chat(daemon, key: str, model: str, stream: bool = False) -> Answer:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 12,
        "stream": stream,
    }
    return call(
        daemon.addresses["caller"],
        "POST",
        "/v1/chat/completions",
        body,
        {"Authorization": f"Bearer {key}"},
    )


def run(title: str, document: str, models: str, plain: str, key: str, model: str, order: str,
        adapter: str, checks_fence: bool) -> bool:
    """Runs one deployment and returns whether every answer was as expected."""
    print(f"{title}: 9 runners of '{models}', 3 endpoints of '{plain}', 3 daemons")
    with Cluster() as cluster:
        cluster.start_platform()
        for number in range(9):
            cluster.start_endpoint(f"runner-{number}", "engine", models, ZONES[number % 3],
                                   "--checks-fence", "1" if checks_fence else "0")
        for number in range(3):
            cluster.start_endpoint(f"{plain}-{number}", "service", plain, ZONES[number])
        daemons = [cluster.start_daemon(f"daemon-{zone}", zone) for zone in ZONES]
        applied = cluster.apply(daemons[0], document, based_on=0)
        show("configuration accepted", applied)
        cluster.wait_ready(*daemons)

        cold = chat(daemons[0], key, model)
        show("cold model", cold)
        warm = chat(daemons[1], key, model)
        show("warm model, another daemon", warm)
        stream = chat(daemons[2], key, model, stream=True)
        whole = stream.body.endswith(b"data: [DONE]\n\n")
        show("streamed", stream, f"{stream.body.count(b'data: ')} events, whole: {whole}")
        tuned = chat(daemons[0], key, f"{model}:{adapter}")
        show("adapter", tuned)
        header = {"Authorization": f"Bearer {key}", "Idempotency-Key": "order-1"}
        path = f"/services/{plain}{order}"
        first = call(daemons[0].addresses["caller"], "POST", path, {"bay": 1}, header)
        show("order", first)
        again = call(daemons[1].addresses["caller"], "POST", path, {"bay": 1}, header)
        show("the same order, another daemon", again,
             f"replayed: {again.headers.get('idempotent-replay', 'no')}")
        refused = chat(daemons[0], "no-such-key", model)
        show("wrong key", refused)
        runs = sum(
            entry["what"] == "run"
            for number in range(3)
            for entry in cluster.journal(cluster.processes[f"{plain}-{number}"])
        )
        loads = sum(
            entry["what"] == "load"
            for number in range(9)
            for entry in cluster.journal(cluster.processes[f"runner-{number}"])
        )
        print(f"  the order ran {runs} time(s); the model was loaded {loads} time(s)")
        print("  state of daemon-a:")
        for name, value in cluster.dump(daemons[0]).items():
            print(f"    {name} = {value}")
        expected = [applied, cold, warm, stream, tuned, first, again]
        ends = [daemon.terminate() for daemon in daemons]
        return (
            all(answer.status == 200 for answer in expected)
            and refused.status == 403
            and whole
            and runs == 1
            and loads == 1
            and ends == [0, 0, 0]
        )


def main() -> int:
    results = [
        run("Nóminas Hogareñas del Bajío", nominas.build().to_yaml(), "language", "ledger",
            "families-key", "payslip-0", "/payments", "tone-0", checks_fence=True),
        run("Lanna Wings", lanna_wings.build().to_yaml(), "assistant", "booking",
            "members-key", "hangar-0", "/bays/confirm", "field-0", checks_fence=False),
    ]
    print("The demo went as expected." if all(results) else "The demo did NOT go as expected.")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
