"""A cell of stand-in and daemon processes on the loopback interface."""

from __future__ import annotations

import json
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import urllib.error
import urllib.request

import yaml

from wasabiramp.cli.cell import HOST, PLURALS, pick_port

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
TARGETS_PER_PROCESS = 6
"""Most executors or workers that share a stand-in process."""


def pick_port_range(count: int) -> int:
    """Return the first port of a range of `count` consecutive free ports."""
    while True:
        ports = [pick_port() for _ in range(count)]
        if ports[-1] == ports[0] + count - 1:
            return ports[0]


class ProcessCell:
    """The stand-in and daemon processes of one cell."""

    def __init__(
        self, executors: int, workers: int, executor_options: tuple[str, ...] = ()
    ) -> None:
        """Start the stand-ins; `executor_options` are flags of the executors' command."""
        self.executor_options = executor_options
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.addresses: dict[str, str] = {}
        self._start_stand_in("store")
        self._start_stand_in("instances")
        self._start_targets("executor", executors)
        self._start_targets("worker", workers)

    def _start_targets(self, kind: str, count: int) -> None:
        """Start targets of a kind, `TARGETS_PER_PROCESS` in each process."""
        for first in range(0, count, TARGETS_PER_PROCESS):
            names = [
                f"{kind}-{index + 1}"
                for index in range(first, min(count, first + TARGETS_PER_PROCESS))
            ]
            self._start_stand_in(kind, names)

    def _start_stand_in(self, kind: str, names: list[str] | None = None) -> None:
        """Start a process of one or more stand-ins and wait until each of them answers."""
        names = names or [kind]
        port = pick_port_range(len(names))
        command = [sys.executable, "-m", "stand_ins", kind, "--port", str(port)]
        if kind in ("executor", "worker"):
            command += ["--count", str(len(names))]
        if kind == "executor":
            command += self.executor_options
        self._spawn(names[0], command)
        path = {"instances": "/instances", "store": "/calls"}.get(kind, "/log")
        for offset, name in enumerate(names):
            self.addresses[name] = address = f"{HOST}:{port + offset}"
            url = f"http://{address}{path}"
            wait_until(lambda url=url: send_http_request(url)[0] == 200, READY_TIMEOUT_S)
            if kind in ("executor", "worker"):
                self.set_instance_state(name, "live")

    def _spawn(self, name: str, command: list[str]) -> None:
        """Start a process that appends its output to a log file."""
        with Path(self.folder.name, f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(command, stdout=output, stderr=output)

    def set_instance_state(self, name: str, state: str) -> None:
        """Set an instance's state in the platform's instance list."""
        url = f"http://{self.addresses['instances']}/instances"
        send_http_request(url, "POST", {"name": name, "state": state})

    def start_daemon(self, name: str, zone: str = "shubra") -> None:
        """Start a daemon; a restarted daemon keeps its addresses."""
        if name not in self.settings:
            self.settings[name] = {
                "instance": name,
                "zone": zone,
                "api_address": f"{HOST}:{pick_port()}",
                "peer_address": f"{HOST}:{pick_port()}",
                "store_address": self.addresses["store"],
                "instance_list_address": self.addresses["instances"],
            }
        path = Path(self.folder.name, f"{name}.yaml")
        path.write_text(yaml.safe_dump(self.settings[name]), encoding="utf-8")
        command = [sys.executable, "-m", "wasabiramp", "daemon", "--settings", str(path)]
        self._spawn(name, command)
        self.set_instance_state(name, "live")

    def list_daemons(self) -> list[str]:
        """Return the names of the running daemons."""
        return [name for name in self.settings if self.processes[name].poll() is None]

    def build_url(self, daemon: str, path: str) -> str:
        """Return the URL of a path of a daemon's HTTP API."""
        return f"http://{self.settings[daemon]['api_address']}{path}"

    def status(self, daemon: str) -> dict[str, Any] | None:
        """Return a daemon's status, or None if the request fails."""
        code, body = send_http_request(self.build_url(daemon, "/status"))
        return json.loads(body) if code == 200 else None

    def wait_ready(self, targets: int) -> None:
        """Wait until `is_ready` holds for this number of targets; raises TimeoutError."""
        wait_until(lambda: self.is_ready(targets), READY_TIMEOUT_S)

    def is_ready(self, targets: int) -> bool:
        """Return whether the cell is ready.

        Each running daemon must know all members, have the right to act and have its partitions
        ready, and the daemons together must own at least `targets` ready targets.
        """
        names = self.list_daemons()
        ready = 0
        for name in names:
            status = self.status(name)
            if status is None or len(status["members"]) != len(names) or not status["has_right"]:
                return False
            for item in (*status["executors"].values(), *status["workers"].values()):
                ready += item["owned"] and item["ready"]
            for partition in status["partitions"].values():
                if partition["status"] != "ready" or partition["recovering"]:
                    return False
        return ready >= targets

    def apply_resources(self) -> int:
        """Apply two teams, a service and the instances, and return the number of targets."""
        daemon = self.list_daemons()[0]
        self.apply_resource(daemon, "Team", "rims", {})
        self.apply_resource(daemon, "Team", "gala", {})
        self.apply_resource(daemon, "Service", "quotes", {})
        targets = 0
        for name, address in self.addresses.items():
            if name.startswith("executor"):
                spec = {"role": "executor", "address": address, "service": "quotes"}
            elif name.startswith("worker"):
                spec = {"role": "worker", "address": address, "cores": 64, "memory_mb": 131072}
            else:
                continue
            self.apply_resource(daemon, "Instance", name, spec)
            targets += 1
        return targets

    def apply_resource(self, daemon: str, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Apply a resource through a daemon; raises AssertionError if it is refused."""
        url = self.build_url(daemon, f"/apis/wasabiramp/v1/{PLURALS[kind]}/{name}")
        code, body = send_http_request(url, "PUT", {"metadata": {"name": name}, "spec": spec})
        assert code == 200, (code, body)

    def send_request(
        self, daemon: str, body: str, key: str = "", timeout_s: float = 10.0
    ) -> tuple[str, str]:
        """Send a non-idempotent request of team `rims` to the service `quotes`.

        Returns its verdict and body; without an answer the verdict is `may-have-run`. Requests with
        the same idempotency `key` run at most once.
        """
        headers = {"X-Team": "rims"}
        if key:
            headers["X-Request-Key"] = key
        url = self.build_url(daemon, "/v1/services/quotes/requests")
        request = urllib.request.Request(url, body.encode(), headers, method="POST")
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as answer:
                return answer.headers["X-Verdict"], answer.read().decode()
        except urllib.error.HTTPError as err:
            return err.headers["X-Verdict"], err.read().decode()
        except OSError:
            return "may-have-run", ""

    def submit_job(self, daemon: str, name: str, spec: dict[str, Any]) -> int:
        """Submit a job of team `rims` and return the HTTP status; 0 if there is no answer."""
        body = {"metadata": {"name": name, "team": "rims"}, "spec": spec}
        return send_http_request(self.build_url(daemon, "/v1/jobs"), "POST", body, 15.0)[0]

    def get_job_phase(self, daemon: str, name: str) -> str:
        """Return the phase of a job of team `rims`, or an empty string if the request fails."""
        code, body = send_http_request(
            self.build_url(daemon, f"/v1/teams/rims/jobs/{name}"), timeout_s=15.0
        )
        return json.loads(body)["status"]["phase"] if code == 200 else ""

    def get_log(self, target: str) -> dict[str, Any]:
        """Return a target's own record of what it ran, with its peak use."""
        return json.loads(send_http_request(f"http://{self.addresses[target]}/log")[1])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of this cell."""
        self.processes[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code."""
        return self.processes[name].wait(READY_TIMEOUT_S)

    def stop(self) -> None:
        """Kill all processes of this cell, also those that SIGSTOP suspended."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


def send_http_request(
    url: str, method: str = "GET", body: Any = None, timeout_s: float = 5.0
) -> tuple[int, bytes]:
    """Send an HTTP request and return the status and body; status 0 if there is no answer."""
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as err:
        return err.code, err.read()
    except OSError:
        return 0, b""


def wait_until(condition: Any, timeout_s: float) -> None:
    """Poll a condition until it holds; raises TimeoutError."""
    deadline = time.monotonic() + timeout_s
    pause = threading.Event()
    while time.monotonic() < deadline:
        if condition():
            return
        pause.wait(POLL_INTERVAL_S)
    raise TimeoutError("the condition was not met in time")
