"""Runs daemons and platform stand-ins on loopback, for the demo, the tests and the benchmarks."""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
OPERATOR_KEY = "operator-key"


@dataclass
class Process:
    """A started daemon or stand-in, with the addresses that it listens on by kind of port."""

    name: str
    popen: subprocess.Popen
    addresses: dict[str, str]
    log: Path

    @property
    def address(self) -> str:
        return next(iter(self.addresses.values()))

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        os.kill(self.popen.pid, signal.SIGSTOP)

    def resume(self) -> None:
        os.kill(self.popen.pid, signal.SIGCONT)

    def terminate(self, timeout_s: float = 30.0) -> int:
        self.popen.terminate()
        return self.popen.wait(timeout_s)


@dataclass
class HttpAnswer:
    """An HTTP response with lower-case header names and the time until its last byte."""

    status: int
    headers: dict[str, str]
    body: bytes
    duration_s: float

    def json(self) -> Any:
        return json.loads(self.body)


def send_request(
    address: str,
    method: str,
    path: str,
    body: Optional[Any] = None,
    headers: Optional[dict[str, str]] = None,
    timeout_s: float = 60.0,
) -> HttpAnswer:
    """Sends one HTTP request on a new connection; a body that is not bytes is sent as JSON.

    timeout_s limits each socket operation. Raises OSError or HTTPException if no complete response
    arrives.
    """
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    started = time.monotonic()
    try:
        connection.request(
            method, path, body=data, headers={"Content-Type": "application/json", **(headers or {})}
        )
        response = connection.getresponse()
        content = response.read()
        return HttpAnswer(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            content,
            time.monotonic() - started,
        )
    finally:
        connection.close()


def wait_until(
    condition, timeout_s: float = START_TIMEOUT_S, description: str = "a condition"
) -> None:
    """Polls condition() every 20 ms until it is true; OSError counts as false.

    Raises TimeoutError after timeout_s. The timeout is no measure of speed: it only ends a test
    that has failed.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {timeout_s} s waiting for {description}")


class Cluster:
    """Stand-ins and daemons whose settings and logs are in a temporary directory.

    Stops the processes and removes the directory at the end of a with block.
    """

    def __init__(self, build: Path = ROOT / "build") -> None:
        self._build = build
        self._directory = tempfile.TemporaryDirectory(prefix="rhubarbtrail-")
        self.path = Path(self._directory.name)
        self.processes: dict[str, Process] = {}
        self._host_entries: dict[str, dict[str, str]] = {}
        keys = [
            {"name": role, "hash": _sha256(f"{role}-key"), "role": role}
            for role in ("view", "operate", "configure")
        ]
        keys.append({"name": "operator", "hash": _sha256(OPERATOR_KEY), "role": "configure"})
        (self.path / "operators.yaml").write_text(json.dumps(keys))

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, error: Optional[type] = None, *_: object) -> None:
        if error is not None:
            self._keep_files()
        self.stop()

    def _keep_files(self) -> None:
        """Copies settings and logs to the build folder after an error in the with block."""
        kept = self._build / "failed" / f"{self.path.name}-{time.strftime('%H%M%S')}"
        shutil.copytree(self.path, kept, dirs_exist_ok=True)
        print(f"settings and logs are kept in {kept.relative_to(ROOT)}", flush=True)

    def stop(self) -> None:
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.resume()
                process.kill()
        self._directory.cleanup()

    def _spawn(self, name: str, command: list[str], address_file: Path) -> Process:
        """Starts a process and waits until it has written its addresses to address_file."""
        address_file.unlink(missing_ok=True)
        log = self.path / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(command, stdout=output, stderr=output)
        process = Process(name, popen, {}, log)
        self.processes[name] = process
        wait_until(
            lambda: address_file.exists() or popen.poll() is not None,
            description=f"start of {name}"
        )
        if popen.poll() is not None:
            raise RuntimeError(f"{name} exited at start with {popen.returncode}: {log.read_text()}")
        for line in address_file.read_text().splitlines():
            kind, _, address = line.rpartition(": ")
            process.addresses[kind or "address"] = address
        return process

    def start_platform(self, *options: str) -> Process:
        file = self.path / "platform.address"
        return self._spawn(
            "platform",
            [str(self._build / "standin"), "platform", "--address-file", str(file), *options],
            file,
        )

    @property
    def platform(self) -> Process:
        return self.processes["platform"]

    def start_endpoint(
        self, name: str, role: str, service: str, zone: str = "a", *options: str
    ) -> Process:
        """Starts the stand-in of an endpoint and puts it on the host list.

        The process id serves as boot id, so that a restart under the same name has a new one.
        """
        file = self.path / f"{name}.address"
        command = [str(self._build / "standin"), role, "--id", name, "--address-file", str(file)]
        process = self._spawn(
            name, [*command, "--platform", self.platform.address, *options], file
        )
        self.set_host(
            name,
            {
                "kind": "endpoint",
                "id": name,
                "boot": str(process.popen.pid),
                "service": service,
                "zone": zone,
                "address": process.address,
            },
        )
        return process

    def set_host(self, name: str, entry: dict[str, str]) -> None:
        self._host_entries[name] = entry
        send_request(self.platform.address, "POST", "/admin/hosts", {"set": [entry]})

    def host_entry(self, name: str) -> dict[str, str]:
        return self._host_entries[name]

    def has_host(self, name: str) -> bool:
        return name in self._host_entries

    def remove_host(self, name: str) -> None:
        self._host_entries.pop(name, None)
        send_request(self.platform.address, "POST", "/admin/hosts", {"remove": [name]})

    def start_daemon(self, name: str, zone: str = "a", **settings: Any) -> Process:
        """Starts a daemon and puts it on the host list; settings override the defaults below."""
        file = self.path / f"{name}.address"
        values = {
            "daemon_id": name,
            "zone": zone,
            "address_file": str(file),
            "table": self.platform.address,
            "host_list": self.platform.address,
            "operator_keys": str(self.path / "operators.yaml"),
            "caller_threads": 64,
            "attempt_threads": 64,
            **settings,
        }
        path = self.path / f"{name}.yaml"
        path.write_text("".join(f"{key}: {json.dumps(value)}\n" for key, value in values.items()))
        process = self._spawn(
            name, [str(self._build / "rhubarbtrail"), "serve", "--settings", str(path)], file
        )
        self.set_host(
            name,
            {"kind": "daemon", "id": name, "zone": zone, "address": process.addresses["peer"]},
        )
        return process

    def apply_configuration(self, daemon: Process, document: str, based_on: int) -> HttpAnswer:
        """Submits a configuration document; based_on is the version that it replaces."""
        return send_request(
            daemon.addresses["admin"],
            "POST",
            "/configuration",
            document.encode(),
            {"Authorization": f"Bearer {OPERATOR_KEY}", "If-Match": str(based_on)},
        )

    def wait_ready(self, *daemons: Process) -> None:
        for daemon in daemons:
            wait_until(
                lambda d=daemon: send_request(d.addresses["admin"], "GET", "/ready").status == 200,
                description=f"readiness of {daemon.name}",
            )

    def dump(self, daemon: Process) -> dict[str, str]:
        """Returns the internal state that the daemon reports on its admin port, by path."""
        answer = send_request(
            daemon.addresses["admin"],
            "GET",
            "/dump",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return {entry["path"]: entry["value"] for entry in answer.json()}

    def inject_faults(self, process: Process, **faults: int) -> None:
        """Sets faults of a stand-in by name; 0 switches a fault off."""
        send_request(process.address, "POST", "/admin/fault", faults)

    def journal(self, process: Process) -> list[dict[str, Any]]:
        """Returns the events that a stand-in has recorded, such as loads and runs."""
        return send_request(process.address, "GET", "/journal").json()


def _sha256(text: str) -> str:
    import hashlib

    return hashlib.sha256(text.encode()).hexdigest()
