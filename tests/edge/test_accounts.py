"""Client accounts and their API keys, on edge daemons as processes."""

from __future__ import annotations

import json
import socket
import time
import uuid
from pathlib import Path

from edge_cluster import Daemon, EdgeCluster, Result

KEYS = {"a": ["key-a-1", "key-a-2"], "b": ["key-b"]}


def accounts(**keys: list[str]) -> list[dict]:
    """Returns two accounts, a with a priority of its own, with their usual keys or others."""
    return [{"name": name, "apiKeys": list_of_keys, **({"priority": 0} if name == "a" else {})}
            for name, list_of_keys in (KEYS | keys).items()]


def apply(cluster: EdgeCluster, **changes: object) -> None:
    """Stores a configuration and waits until all daemons have it."""
    cluster.platform.configure(**changes)
    wanted = f"rhubarbtrail_configuration_version {cluster.platform.version}"
    cluster.wait_until(lambda: all(wanted in daemon.fetch("/metrics").splitlines()
                                   for daemon in cluster.daemons), wanted)


def send(daemon: Daemon, kind: str, key: str, body: bytes = b"", **fields: str) -> Result:
    return daemon.send(kind, body=body, Authorization=f"Token {key}", **fields)


def send_lines(daemon: Daemon, kind: str, lines: list[str]) -> tuple[str, int]:
    """Sends a request with these header lines and returns its id and the status of its answer."""
    request = uuid.uuid4().hex[:16]
    head = [f"GET /{kind}/x HTTP/1.1", "Host: h.example", f"X-Request-Id: {request}",
            "X-Deadline-Ms: 3000", "Connection: close", *lines]
    with socket.create_connection(("127.0.0.1", daemon.front_port), timeout=5) as connection:
        connection.sendall("\r\n".join([*head, "", ""]).encode())
        return request, int(connection.makefile("rb").readline().split()[1])


def test_edge_forwards_the_account_and_never_the_key() -> None:
    """Guards against requests under another account's name, and against keys that leave a daemon."""
    with EdgeCluster(daemons=2, models=2) as cluster:
        public = {"name": "open", "host": "h.example", "prefix": "/open/", "kind": "idempotent",
                  "backend": "plain", "priority": 1, "maxAttempts": 2, "public": True}
        first = cluster.daemons[0].send("check", Authorization="Token x", X_Tenant="b")
        run = cluster.platform.runs[first.id][0]
        assert (run.fields["authorization"], run.fields["x-tenant"]) == ("Token x", "b"), run
        apply(cluster, routes=[public], accounts=accounts())
        for number, (kind, key, account, priority) in enumerate((
                ("check", "key-a-1", "a", None), ("chat", "key-a-2", "a", "0"),
                ("chat", "key-b", "b", "1"), ("open", "key-b", "b", None),
                ("open", "no-key", None, None))):
            result = send(cluster.daemons[number % 2], kind, key, X_Tenant="other")
            assert result.is_complete, result
            run = cluster.platform.runs[result.id][0]
            assert run.fields.get("x-tenant") == account, run
            assert run.fields.get("x-request-priority") == priority, run
            assert "authorization" not in run.fields, run
        refused = {name: [f"Authorization: {value}" for value in values] for name, values in {
            "missing": [], "unknown": ["Token key-c"], "other scheme": ["Bearer key-b"],
            "scheme in lower case": ["token key-b"], "two spaces": ["Token  key-b"],
            "tab": ["Token\tkey-b"], "no key": ["Token"], "no scheme": ["key-b"],
            "twice": ["Token key-b", "Token key-b"], "list": ["Token key-b, Token key-b"],
            "two schemes": ["Token key-b", "Basic eDp5"]}.items()}
        for name, lines in refused.items():
            request, status = send_lines(cluster.daemons[0], "check", lines)
            assert status == 401 and not cluster.platform.runs.get(request), (name, status)
        state = json.loads(cluster.daemons[0].fetch("/state"))["accounts"]
        assert state["key_missing"] == 1 and state["key_unreadable"] + state["key_unknown"] == 10
        texts = [part for daemon in cluster.daemons for part in (
            daemon.log.read_text(), daemon.fetch("/state"), daemon.fetch("/metrics"))]
        assert any('"account":"a"' in text for text in texts)
        for key in ("key-a-1", "key-a-2", "key-b", "key-c"):
            assert not any(key in text for text in texts), key


def test_edge_applies_changed_keys_within_the_bound() -> None:
    """Takes a key away and gives another out: both must hold at all daemons within 3 s.

    An invalid document in between must leave the keys in force.
    """
    with EdgeCluster(daemons=3, models=2) as cluster:
        apply(cluster, accounts=accounts())
        cluster.platform.configure(accounts=accounts(b=["key-a-1"]))
        time.sleep(0.5)
        assert all(send(daemon, "check", "key-b").is_complete for daemon in cluster.daemons)
        assert "the accounts a and b have one key" in Path(cluster.daemons[0].log).read_text()
        cluster.platform.configure(accounts=accounts(a=["key-a-2", "key-a-3"]))
        time.sleep(3.0)
        for daemon in cluster.daemons:
            assert send(daemon, "check", "key-a-1").status == 401
            assert send(daemon, "check", "key-a-3").is_complete
            assert send(daemon, "chat", "key-a-2").is_complete


def test_edge_learns_of_keys_from_other_daemons_while_the_store_rejects_it() -> None:
    """Takes a key away while the store rejects one daemon, once the dispatcher and once another.

    Without the row from another daemon, the rejected one would accept the key for good.
    """
    for rejects_dispatcher in (False, True):
        with EdgeCluster(daemons=4, models=2) as cluster:
            apply(cluster, accounts=accounts())
            holder = cluster.holder()
            victim = holder if rejects_dispatcher else next(
                daemon for daemon in cluster.daemons if daemon is not holder)
            cluster.platform.store.rejected_ports.add(victim.store_port)
            # Watches that began before end within this time; the dispatcher's are shorter.
            time.sleep(0.7 if rejects_dispatcher else 2.6)
            written = time.monotonic()
            cluster.platform.configure(accounts=accounts(a=["key-a-2", "key-a-3"]))
            cluster.wait_until(lambda: send(victim, "check", "key-a-1").status == 401,
                               "the key to be refused", 9.0)
            print(f"dispatcher: {rejects_dispatcher}, {time.monotonic() - written:.2f} s", flush=True)
            assert send(victim, "check", "key-a-3").is_complete
            # Another change, after another daemon has become the dispatcher.
            time.sleep(6.0)
            written = time.monotonic()
            cluster.platform.configure(accounts=accounts(a=["key-a-2"]))
            cluster.wait_until(lambda: send(victim, "check", "key-a-3").status == 401,
                               "the other key to be refused", 9.0)
            print(f"second change: {time.monotonic() - written:.2f} s", flush=True)
            assert send(victim, "check", "key-a-2").is_complete


def test_edge_refuses_keys_while_its_configuration_is_unconfirmed() -> None:
    """Stops the store with fail_closed: routes that need a key are refused, public ones are not."""
    with EdgeCluster(daemons=2, models=2,
                     settings="fail_closed: true\nrevoke_limit: 1500\n") as cluster:
        public = {"name": "open", "host": "h.example", "prefix": "/open/", "kind": "idempotent",
                  "backend": "plain", "priority": 1, "maxAttempts": 2, "public": True}
        apply(cluster, routes=[public], accounts=accounts())
        end = time.monotonic() + 4.0
        while time.monotonic() < end:
            for daemon in cluster.daemons:
                assert send(daemon, "check", "key-b").is_complete
        cluster.platform.store.is_down = True
        time.sleep(2.5)
        for daemon in cluster.daemons:
            assert send(daemon, "check", "key-b").status == 503
            assert daemon.send("open").is_complete
        cluster.platform.store.is_down = False
        time.sleep(2.0)
        assert all(send(daemon, "check", "key-b").is_complete for daemon in cluster.daemons)


def test_edge_stops_a_crashing_request_beside_sound_ones_of_another_account() -> None:
    """Guards against crashes that the answers of other callers forget: path and body are the same."""
    with EdgeCluster(daemons=2, runners=3, models=2) as cluster:
        apply(cluster, accounts=accounts())
        for name in ("r0", "r1", "r2"):
            faults = cluster.platform.endpoints[name].faults
            faults.crashing_body, faults.crashing_account = b"SAME", "b"
        results = []
        for number in range(10):
            daemon = cluster.daemons[number % 2]
            results.append(send(daemon, "draft", "key-b", body=b"SAME"))
            for _ in range(4):
                time.sleep(0.15)
                send(daemon, "draft", "key-a-1", body=b"SAME")
        run_count = sum(cluster.run_count(result) for result in results)
        assert 3 <= run_count <= 4, run_count
        assert send(cluster.daemons[0], "draft", "key-a-1", body=b"SAME").is_complete
