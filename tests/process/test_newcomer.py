"""First use of rhubarbtrail by library, command line and HTTP, with a failure to diagnose."""

from __future__ import annotations

import json

from local_cluster import Cluster, send_request, wait_until
from rhubarbtrail_config import (Configuration, Customer, Model, ModelService, RequestClass,
                                 key_hash)
from test_operator import run_command
from test_path import chat


def test_a_newcomer_configures_calls_breaks_and_finds_out_why() -> None:
    with Cluster() as cluster:
        cluster.start_platform()
        cluster.start_endpoint("runner-0", "engine", "texts")
        daemon = cluster.start_daemon("daemon-0")

        # Write a document with the library. A copy with a wrong service name is refused.
        document = Configuration().add(
            ModelService("texts"),
            RequestClass("default", deadline_ms=8_000),
            Model("poet", "texts", memory_mb=8_000),
            Customer("readers", [key_hash("readers-key")], models=["poet"]),
        ).to_yaml()
        wrong = run_command("config", "check", "-",
                            text=document.replace("service: texts", "service: txt"))
        assert wrong.returncode == 2 and "unknown service 'txt'" in wrong.stderr, wrong
        assert run_command("config", "check", "-", text=document).returncode == 0
        applied = run_command("config", "apply", "-", "--based-on", "0", "--wait", "10",
                              daemon=daemon, text=document)
        assert applied.returncode == 0, applied
        cluster.wait_ready(daemon)

        # Send a request and look at the status.
        answer = chat(daemon, "poet", "readers-key")
        assert answer.status == 200, answer
        status = run_command("status", daemon=daemon).stdout
        assert "daemon daemon-0 is ready, configuration 1" in status, status
        row = next(line.split() for line in status.splitlines() if line.startswith("runner-0"))
        assert row[2:] == ["poet", "loaded"], status

        # Kill the only runner and remove it from the host list.
        cluster.processes["runner-0"].kill()
        cluster.remove_host("runner-0")
        assert run_command("log-level", "debug", daemon=daemon).returncode == 0
        wait_until(lambda: "runner-0" not in run_command("status", "--json", daemon=daemon).stdout)
        broken = chat(daemon, "poet", "readers-key")
        error = broken.json()["error"]
        assert broken.status == 503 and error["execution"] == "not_run", broken

        # Find the cause: the log has the request id with the result code, status and dump show no
        # endpoint, and the metrics count the refusal.
        request_id = error["request_id"]
        assert any(request_id in line and str(error["code"]) in line
                   for line in daemon.log.read_text().splitlines())
        assert json.loads(run_command("status", "--json", daemon=daemon).stdout)["endpoints"] == {}
        assert "view.endpoints" not in run_command("dump", daemon=daemon).stdout
        metrics = send_request(daemon.addresses["admin"], "GET", "/metrics",
                               headers={"Authorization": "Bearer view-key"}).body.decode()
        assert f'code="{error["code"]}"' in metrics and 'name="ok",class="default"} 1' in metrics
        assert "rhubarbtrail_model_loads_total 1" in metrics, metrics

        # A new runner on the host list restores the service without any other step.
        cluster.start_endpoint("runner-1", "engine", "texts")
        wait_until(lambda: chat(daemon, "poet", "readers-key").status == 200)
        assert run_command("drain", daemon=daemon).returncode == 0
        assert daemon.popen.wait(30) == 0
