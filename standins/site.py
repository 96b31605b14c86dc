"""A site on loopback: stand-ins and real daemons, each in its own process."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import yaml

FIRST_PORT = 12_000
PORT_COUNT = 20_000
#: Distance between the first ports of two processes with successive IDs. As the golden
#: section of the ports, it keeps those of any thirty successive IDs hundreds apart.
PORT_STRIDE = 12_361
#: First byte after 127, and number, of the loopback blocks that hosts are drawn from.
FIRST_BLOCK = 210
BLOCK_COUNT = 40 * 250
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05


_numbers = itertools.count()


class SiteError(Exception):
    """A process of the site failed or did not become ready in time."""


@dataclass(slots=True)
class Location:
    """Data centre, region and cell of an instance."""

    data_centre: str
    region: str
    cell: str


@dataclass(slots=True)
class Site:
    """The processes of one site, by name; created by `open_site`."""

    folder: Path
    log_port: int = 0
    processes_by_name: dict = field(default_factory=dict)
    #: HTTP port by process name.
    ports_by_name: dict = field(default_factory=dict)
    settings_by_name: dict = field(default_factory=dict)

    def start_log(self):
        self.log_port = free_port()
        self.ports_by_name["log"] = self.log_port
        self.start("log", "standins.log", "--port", str(self.log_port))
        self.wait_for("log", "/control")

    def start_agent(self, name, location, relayed=False, **agent):
        backend, worker, peer = free_port(), free_port(), free_port()
        self.ports_by_name |= {f"{name}.backend": backend, f"{name}.worker": worker}
        seconds = str(agent.pop("service_time_s", 0.005))
        self.start(
            f"{name}.backend",
            "standins.backend",
            f"--port={backend}",
            f"--service_time_s={seconds}",
        )
        self.start(f"{name}.worker", "standins.worker", f"--port={worker}", "--lag_s=1")
        section = {
            "service": "dispatch",
            "backend_url": f"http://127.0.0.1:{backend}",
            "worker_url": f"http://127.0.0.1:{worker}",
            "slots": 8,
            "connections": 64,
            "capacity": {"cores": 32, "memory": "125GB", "accelerators": 1},
            "cell": location.cell,
        } | agent
        settings = {"agent": section}
        if relayed:
            settings["peer_listen_address"] = f"127.0.0.1:{peer}"
            peer = self._start_relay(name, peer)
        self._daemon(name, "agent", location, peer, settings)

    def _start_relay(self, name, target_port):
        port, control_port = free_port(), free_port()
        self.ports_by_name[f"{name}.relay"] = control_port
        self.start(
            f"{name}.relay",
            "standins.relay",
            f"--port={port}",
            f"--target=127.0.0.1:{target_port}",
            f"--control_port={control_port}",
        )
        return port

    def set_relay_mode(self, name, mode):
        """Set the mode of the relay in front of ``name``; see `standins.relay`."""
        post(self.url(f"{name}.relay") + "/mode", {"mode": mode})

    def start_entry(self, name, location, cells):
        self._daemon(name, "entry", location, free_port(), {"entry": {"cells": cells}})

    def _daemon(self, name, role, location, peer_port, section):
        http_port = free_port()
        self.ports_by_name |= {name: http_port, f"{name}.peer": peer_port}
        settings = {
            "role": role,
            "instance_id": name,
            "data_centre": location.data_centre,
            "region": location.region,
            "peer_address": f"127.0.0.1:{peer_port}",
            "http_address": f"127.0.0.1:{http_port}",
            "log_url": f"http://127.0.0.1:{self.log_port}",
            "drain_timeout": "20s",
        } | section
        entries = [n for n in self.ports_by_name if n.startswith("entry-")]
        if entries and entries[0] != name:
            port = self.ports_by_name[f"{entries[0]}.peer"]
            settings["balancer_address"] = f"127.0.0.1:{port}"
        self.settings_by_name[name] = settings
        self.restart(name)

    def restart(self, name):
        """Start a daemon with its previous settings."""
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings_by_name[name]))
        self.start(name, "dotterelspread.daemon", f"--settings={path}")

    def start(self, name, module, *args):
        output = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        environment = os.environ | {"PYTHONUNBUFFERED": "1"}
        self.processes_by_name[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=output,
            stderr=output,
            env=environment,
        )
        output.close()

    def url(self, name):
        return f"http://127.0.0.1:{self.ports_by_name[name]}"

    def wait_ready(self, *names):
        for name in names:
            self.wait_for(name, "/readyz")

    def wait_for_agents(self, name, agents):
        """Wait until an entry lists as many agents as ``agents``."""

        def knows_all(listing):
            roles = [row["role"] for row in listing["instances"]]
            return roles.count("agent") == len(agents)

        self.wait_for(name, "/v1/operator/instances", knows_all)

    def wait_for(self, name, path, accept=bool):
        """Wait until ``accept`` returns true for the reply of ``name`` at ``path``."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.processes_by_name[name].poll() is not None:
                raise SiteError(f"{name} exited: {self.output(name)}")
            try:
                if accept(get(self.url(name) + path)):
                    return
            except OSError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise SiteError(f"{name}{path}: not ready in time: {self.output(name)}")

    def output(self, name):
        return (self.folder / f"{name}.log").read_text()[-2000:]

    def signal(self, name, number):
        self.processes_by_name[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes_by_name[name].wait()

    def stop(self, *names):
        """Stop processes gracefully and return their exit codes by name."""
        for name in names:
            self.signal(name, signal.SIGTERM)
        return {
            name: self.processes_by_name[name].wait(STOP_TIMEOUT_S) for name in names
        }

    def close(self):
        for process in self.processes_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes_by_name.values():
            process.wait()


@contextmanager
def open_site():
    """Yield a `Site` with a running log; kill all its processes on exit."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder))
        try:
            site.start_log()
            yield site
        finally:
            site.close()


def free_port():
    """Return a port that nothing listens on.

    The port lies below the ephemeral range, so that no outgoing connection takes it
    before the intended process listens on it.
    """
    while True:
        port = FIRST_PORT + _draw() % PORT_COUNT
        if _is_free("127.0.0.1", port):
            return port


def free_hosts(count, port):
    """Return loopback addresses of one block on whose ``port`` nothing listens."""
    while True:
        block, last = divmod(_draw() % BLOCK_COUNT, 250)
        hosts = [f"127.{FIRST_BLOCK + block}.{last + 1}.{n + 1}" for n in range(count)]
        if all(_is_free(host, port) for host in hosts):
            return hosts


def _draw():
    """Return a number that differs from those of this and other running processes."""
    return next(_numbers) + os.getpid() * PORT_STRIDE


def _is_free(host, port):
    with socket.socket() as listener:
        try:
            listener.bind((host, port))
        except OSError:
            return False
    return True


def get(url):
    with urllib.request.urlopen(url, timeout=10) as response:
        return json.load(response)


def post(url, document):
    request = urllib.request.Request(
        url, json.dumps(document).encode(), {"Content-Type": "application/json"}
    )
    with urllib.request.urlopen(request, timeout=15) as response:
        return json.load(response)
