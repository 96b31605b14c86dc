"""A small deployment on loopback: the project's processes, workers and the store."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from .http11 import call
from .store import Store
from .worker import Worker

__all__ = ["Deployment", "StageError", "has_trouble", "new_job_id", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT, WORKER_PORT, PEER_PORT = 8169, 8165, 7720
FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT = 8161, 8167, 8166, 9464
PORTS = (
    STORE_PORT,
    WORKER_PORT,
    PEER_PORT,
    PEER_PORT + 1,
    FRONT_PORT,
    READY_PORT,
    CONTROL_PORT,
    METRICS_PORT,
)
HOST_NAME = "nony24.example"
#: Pause before a process that has ended is started again.
RESTART_S = 0.5
START_TIMEOUT_S = 20.0
BOUNDS = """
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 2500
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2500
DowngradeSlackMs = 250
MaxExtensionMs = 6000
RecoveryS = 12
HoldMaxMs = 6000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
RemoteFactor = 1.5
CheckpointS = 2
RestoreMs = 100
NoticeMs = 5500
"""


class StageError(Exception):
    """The case could not run."""


def has_trouble():
    """Tell whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_block():
    """Return the first two bytes of loopback addresses whose ports are free."""
    for _ in range(50):
        block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{block}.{number}") for number in range(1, 16)):
            return block
    raise StageError("no free loopback addresses")


def _is_free(host):
    for port in PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class _Process:
    """An entry or an agent, started again whenever it ends."""

    def __init__(self, deployment, role, number, host):
        self.name = f"{role}-{number}"
        self.role = role
        self.host = host
        self.exits = 0
        self._deployment = deployment
        self._process = None
        self._is_closing = False

    def write_settings(self):
        path = self._deployment.folder / f"{self.name}.toml"
        side = f'app = "{self.host}:{WORKER_PORT}"\nService = "svc"\n'
        listen = f'Control = "{self.host}:{CONTROL_PORT}"'
        if self.role == "entry":
            listen = f'Front = "{self.host}:{FRONT_PORT}"\n'
            listen += f'Readiness = "{self.host}:{READY_PORT}"'
        path.write_text(
            f'NodeName = "{self.name}"\nIp = "{self.host}"\nZone = "kumasi"\n'
            f'Region = "ashanti"\nInternalPorts = [{PEER_PORT}, {PEER_PORT + 15}]\n'
            f"Bootstrap = true\nHeartbeatMs = 1500\nOrders = 'call'\n"
            f"{side if self.role == 'agent' else ''}"
            f'[Zones]\nkumasi = "ashanti"\n[ListenAddrs]\n{listen}\n'
            f"[Limits]\nCpuShare = 0.645\nCores = 1\nMemoryMb = 300\nMaxFds = 4100\n"
            f'{BOUNDS}[platform]\nAddress = "{self._deployment.store_address}"\n'
            "RecordBytes = 262144\nRequestBytes = 2097152\nTtlMinMs = 1000\n"
        )
        return path

    async def run(self):
        path = self.write_settings()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["DOTTERELSPREAD_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = (sys.executable, "-m", "dotterelspread.platform", self.role)
        while not self._is_closing:
            with (self._deployment.folder / f"{self.name}.log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            code = await self._process.wait()
            if not self._is_closing:
                self.exits += 1
                self._deployment.record(f"{self.name} has ended with {code}")
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def close(self):
        self._is_closing = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


class Deployment:
    """Two entries, an agent beside each worker, and the stand-ins.

    Parameters
    ----------
    case : Path
        Folder of the case, for ``record.txt``.
    workers : int
        Number of workers.
    entries : int, optional
    routes : list of dict, optional
        Changes to the route for each queue.
    labels : list of tuple, optional
        Labels of each worker from its start.
    """

    def __init__(self, case, workers, entries=2, routes=({},), labels=()):
        self._record_file = (case / "record.txt").open("w")
        self._began_s = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-stage2-"))
        block = _free_block()
        self.store_address = f"{block}.1:{STORE_PORT}"
        self.store = Store(f"{block}.1", STORE_PORT)
        self.entries = [
            _Process(self, "entry", n, f"{block}.{2 + n}") for n in range(entries)
        ]
        self.agents = [
            _Process(self, "agent", n, f"{block}.{2 + entries + n}")
            for n in range(workers)
        ]
        self.workers = [
            Worker(n, p.host, WORKER_PORT, f"{p.host}:{CONTROL_PORT}", self.record)
            for n, p in enumerate(self.agents)
        ]
        for worker, own in zip(self.workers, labels, strict=False):
            worker.shape.labels = own
        self._routes = routes
        self._next_front = 0
        self._runs = []

    @property
    def now_s(self):
        """Seconds since the case began."""
        return time.monotonic() - self._began_s

    def record(self, text):
        """Append a line to ``record.txt``."""
        self._record_file.write(f"{self.now_s:8.3f} {text}\n")
        self._record_file.flush()

    def publish(self, version=1):
        """Write a configuration as the operator does."""
        routes = []
        for number, changes in enumerate(self._routes):
            route = {
                "Name": f"q{number}",
                "Host": HOST_NAME,
                "PathPrefix": f"/q{number}/",
                "Kind": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 500,
                "Priority": 0,
                "Service": "svc",
                "MaxAttempts": 3,
                "SlackFactor": 1.5,
            }
            routes.append(route | changes)
        document = {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": "svc", "RejectsOverload": False}],
            "Limits": {},
        }
        self.store.write_key("keyed.op", "config", json.dumps(document).encode())

    async def open(self):
        """Start everything and wait until all entries are ready."""
        self.publish()
        await self.store.server.start()
        for worker in self.workers:
            await worker.start()
        for process in [*self.entries, *self.agents]:
            self._runs.append(asyncio.ensure_future(process.run()))
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                await self._wait_ready(f"{entry.host}:{READY_PORT}")
        self.record("all entries are ready")

    async def _wait_ready(self, address):
        while True:
            with contextlib.suppress(OSError):
                status, _ = await call(address, "GET", "/api/readyz", timeout_s=0.5)
                if status == 200:
                    return
            await asyncio.sleep(0.1)

    async def close(self):
        """End all processes that were started."""
        for process in [*self.entries, *self.agents]:
            process.close()
        await asyncio.gather(*self._runs, return_exceptions=True)
        for worker in self.workers:
            if worker.is_up:
                worker.crash()
        self.store.server.kill()
        self._record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ask(self, method, target, document=None):
        """Make one call of a client; return its status and body, 0 without answer."""
        self._next_front += 1
        entry = self.entries[self._next_front % len(self.entries)]
        body = b"" if document is None else json.dumps(document).encode()
        headers = {
            "Host": HOST_NAME,
            "Content-Type": "application/json",
            "X-Deadline-Ms": "3000",
        }
        address = f"{entry.host}:{FRONT_PORT}"
        try:
            status, data = await call(address, method, target, body, headers)
        except OSError as error:
            status, data = 0, str(error).encode()
        answer = data.decode("utf-8", "replace")
        self.record(f"client {method} {target} at {entry.name}: {status} {answer}")
        return status, answer

    async def submit(self, job_id, steps, queue=0, spec="text"):
        """Hand a job in until it is accepted, as a client does."""
        document = {"Spec": spec, "Steps": steps}
        for _ in range(20):
            status, _ = await self.ask("POST", f"/q{queue}/{job_id}", document)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.5)
        raise StageError(f"job {job_id} was not accepted")

    async def state(self, job_id, queue=0):
        """Return the state of a job; empty if there is no answer with one."""
        status, answer = await self.ask("GET", f"/q{queue}/{job_id}")
        return json.loads(answer)["State"] if status == 200 else ""

    async def wait_complete(self, job_id, timeout_s, queue=0):
        """Wait until a job is shown as complete; return whether it was in time."""
        end_s = self.now_s + timeout_s
        while self.now_s < end_s:
            if await self.state(job_id, queue) == "complete":
                return True
            await asyncio.sleep(0.5)
        return False


def new_job_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def run_case(case, play, **options):
    """Run a case and return its exit code.

    Parameters
    ----------
    case : Path
        Folder of the case.
    play : coroutine function
        Takes the `Deployment`; returns a list of what breaks the rule.
    options : dict
        Arguments of `Deployment`.
    """

    async def run():
        deployment = Deployment(case, **options)
        try:
            await deployment.open()
            broken = await play(deployment)
            for text in broken:
                deployment.record(f"BROKEN {text}")
                print(f"BROKEN {text}")
            return 1 if broken else 0
        finally:
            await deployment.close()

    try:
        return asyncio.run(run())
    except (StageError, OSError) as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        return 2
