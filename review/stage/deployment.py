"""A small deployment on loopback: the project's programs, and stand-ins around them."""

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
import tomllib
from pathlib import Path

from .advice import Advice
from .relay import Relay
from .store import Store
from .web import call, encode_json, serve
from .worker import Worker

__all__ = ["Deployment", "main"]

ROOT = Path(__file__).resolve().parents[2]
#: Exit codes of a script: the rule held, it was broken, the case could not run.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Port at which every process serves its metrics.
METRICS_PORT = 9464
#: Delay after which the platform starts an ended process again.
RESTART_S = 0.5
#: Longest time in which the processes have to be ready.
STARTUP_S = 20.0
#: Longest time that a script runs.
SCRIPT_S = 118.0
#: Deadline that callers name, and the time that they wait.
DEADLINE_MS = 3000
CALL_S = 3.5
#: Retries of a caller, and the time between them.
CALLER_RETRIES = 4
RETRY_S = 0.5
#: Random addresses that are tried until the ports of one are free.
ADDRESS_ATTEMPTS = 50
SERVICE = "huvo11a"
HOST_NAME = "nony24.example"

SETTINGS = """
NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = ["{serves}"]
Ip = "{host}"
Zone = "kumasi"
Region = "ashanti"
InternalPorts = [{peer}, {last_peer}]
Seeds = []
Bootstrap = true
FaultCounted = false
Discovery = "local"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
Orders = "call"
Advice = "{advice}"
app = "{app}"
[Zones]
kumasi = "ashanti"
[ListenAddrs]
Front = "{host}:{front}"
Readiness = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.43
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 4000
AckMs = 5000
DrainMs = 2500
GraceS = 6
ConfigApplyMs = 2500
HoldMaxMs = 6000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
CheckpointS = 2
RestoreMs = 100
LeaseMs = 3000
[platform]
Address = "{store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
RecordBytes = 262144
RequestBytes = 2097152
keep_s = 300
PartitionMb = 200
TtlMinMs = 1000
"""


def _has_free_ports(host, ports):
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def _free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def _free_host(taken):
    """Return a loopback address on which the fixed port is free."""
    for _ in range(ADDRESS_ATTEMPTS):
        numbers = [random.randint(20, 250) for _ in range(3)]
        host = "127." + ".".join(map(str, numbers))
        if host not in taken and _has_free_ports(host, [METRICS_PORT]):
            return host
    raise OSError("no free loopback address")


class _Process:
    """One process of the system, started again when it ends."""

    def __init__(self, deployment, role, number):
        self.deployment = deployment
        self.role = role
        self.name = f"{role}-{number + 1}"
        self.host = _free_host(deployment.hosts)
        deployment.hosts.add(self.host)
        self.front = _free_port(self.host)
        self.ready = _free_port(self.host)
        self.control = _free_port(self.host)
        self.peer = _free_port(self.host)
        self.app = ""
        self.process = None
        self.is_closing = False

    def write_settings(self):
        is_entry = self.role == "entry"
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine_class="front" if is_entry else "side",
            serves="front" if is_entry else "side",
            host=self.host,
            peer=self.peer,
            last_peer=self.peer + 1,
            app=self.app,
            front=self.front,
            ready=self.ready,
            control=self.control,
            store=self.deployment.store_address,
            advice=self.deployment.advice_address,
        )
        self.path.write_text(text)

    @property
    def path(self):
        return self.deployment.folder / f"{self.name}.toml"

    async def run(self):
        """Keep the process running until the end of the script."""
        command = self.deployment.commands[self.role].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DOTTERELSPREAD_BOOT"] = str(self.path)
        while not self.is_closing:
            with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
                code = await self.process.wait()
            if not self.is_closing:
                self.deployment.note(f"{self.name} ended with code {code}")
                await asyncio.sleep(RESTART_S)

    def end(self):
        """End the process for good."""
        self.is_closing = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


class Deployment:
    """Entries, agents with their workers behind relays, and the platform's store.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : file
        Where `note` writes.
    prefixes : list of str
        Path prefixes of the queues.
    entries, agents : int
    advice : tuple of (int, int, int), optional
        Arguments of the `Advice` that all queues need; None if they need none.
    """

    def __init__(self, folder, record, prefixes, entries=2, agents=3, advice=None):
        self.folder = folder
        self.hosts = set()
        self._record = record
        self._began_s = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.store = Store()
        self._store_host = _free_host(self.hosts)
        self.hosts.add(self._store_host)
        self._store_port = _free_port(self._store_host)
        self.store_address = f"{self._store_host}:{self._store_port}"
        self._advice = Advice(*advice, self.note) if advice else None
        self._advice_port = _free_port(self._store_host)
        self.advice_address = f"{self._store_host}:{self._advice_port}"
        self.entries = [_Process(self, "entry", n) for n in range(entries)]
        self.agents = [_Process(self, "agent", n) for n in range(agents)]
        self.workers = []
        #: From each agent to its worker, and from the worker to its agent.
        self.relays = []
        self.control_relays = []
        self._calls = 0
        self._publish(prefixes)

    def note(self, text):
        """Write a line to the record."""
        elapsed_s = time.monotonic() - self._began_s
        self._record.write(f"{elapsed_s:8.3f} {text}\n")
        self._record.flush()

    def _publish(self, prefixes):
        """Publish a configuration with a queue for each path prefix."""
        policy = self._advice.queue_fields() if self._advice else {}
        routes = [
            policy
            | {
                "Name": f"route{number}",
                "Host": HOST_NAME,
                "PathPrefix": prefix,
                "Kind": "non_idempotent",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 500,
                "Priority": 0,
                "Service": SERVICE,
                "MaxAttempts": 3,
                "SlackFactor": 1.5,
            }
            for number, prefix in enumerate(prefixes)
        ]
        services = [{"Name": SERVICE, "RejectsOverload": False}]
        document = {"Version": 7, "Routes": routes, "Services": services, "Limits": {}}
        self.store.write("keyed.op", "config", encode_json(document))

    @contextlib.asynccontextmanager
    async def open(self):
        """Run everything while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            server = await serve(self._store_host, self._store_port, self.store.handle)
            await stack.enter_async_context(server)
            if self._advice:
                policy = await serve(
                    self._store_host, self._advice_port, self._advice.handle
                )
                await stack.enter_async_context(policy)
            tasks = []
            for number, agent in enumerate(self.agents):
                tasks += await self._open_worker(stack, number, agent)
            runs = []
            for process in [*self.entries, *self.agents]:
                process.write_settings()
                runs.append(asyncio.ensure_future(process.run()))
            try:
                await self._wait_ready()
                yield
            finally:
                for process in [*self.entries, *self.agents]:
                    process.end()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*runs)
                for relay in [*self.relays, *self.control_relays]:
                    relay.go_down()

    async def _open_worker(self, stack, number, agent):
        host = _free_host(self.hosts)
        self.hosts.add(host)
        worker = Worker(
            f"i-{number + 1}", SERVICE, "kumasi", f"r1-{number}", 32_000, self.note
        )
        inner = _free_port(host)
        server = await serve(host, inner, worker.handle)
        await stack.enter_async_context(server)
        relay = Relay((host, inner))
        outer = _free_port(host)
        front = await asyncio.start_server(relay.accept, host, outer, backlog=512)
        await stack.enter_async_context(front)
        worker.on_crash, worker.on_return = relay.go_down, relay.heal
        agent.app = f"{host}:{outer}"
        self.workers.append(worker)
        self.relays.append(relay)
        control = Relay((agent.host, agent.control))
        beats = _free_port(host)
        registry = await asyncio.start_server(control.accept, host, beats)
        await stack.enter_async_context(registry)
        self.control_relays.append(control)
        return [
            asyncio.ensure_future(worker.run()),
            asyncio.ensure_future(worker.beat((host, beats))),
        ]

    async def _wait_ready(self):
        end_s = time.monotonic() + STARTUP_S
        waiting = list(self.entries)
        while waiting:
            if time.monotonic() > end_s:
                raise TimeoutError("the entries are not ready")
            entry = waiting[0]
            address = (entry.host, entry.ready)
            status, _ = await call(address, "GET", "/api/readyz", timeout_s=1.0)
            if status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.2)
        # The workers have sent their first heartbeats by then.
        await asyncio.sleep(3.0)
        self.note("ready")

    async def ask(self, method, path, body=b""):
        """Make one call of a caller, at the entries in turn; return the answer."""
        entry = self.entries[self._calls % len(self.entries)]
        self._calls += 1
        headers = {"Host": HOST_NAME, "X-Deadline-Ms": str(DEADLINE_MS)}
        address = (entry.host, entry.front)
        return await call(address, method, path, body, headers, CALL_S)

    async def submit(self, path, job):
        """Hand a job in, with retries as the clients make them; return the status."""
        body = encode_json(job)
        status = 0
        for _ in range(1 + CALLER_RETRIES):
            status, _ = await self.ask("POST", path, body)
            self.note(f"POST {path} -> {status}")
            if 200 <= status < 300:
                break
            await asyncio.sleep(RETRY_S)
        return status

    async def state(self, path):
        """Return the state of a job; the status as a text without one."""
        status, body = await self.ask("GET", path)
        text = json.loads(body)["State"] if status == 200 else str(status)
        self.note(f"GET {path} -> {text}")
        return text


def main(folder, play, **sizes):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder : Path
        Folder of the case, where ``record.txt`` is written.
    play : coroutine function
        Takes a `Deployment` and whether the disruption is made; returns whether the
        rule was broken.
    **sizes
        Numbers of processes of the `Deployment`.
    """
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def run(record):
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(SCRIPT_S):
            deployment = Deployment(temporary, record, **sizes)
            deployment.note(f"disruption: {is_disrupted}")
            async with deployment.open():
                is_broken = await play(deployment, is_disrupted)
            for other in asyncio.all_tasks() - {task}:
                other.cancel()
            # The connections of the stand-ins notice that they are closed.
            await asyncio.sleep(0.1)
            deployment.note("the rule was broken" if is_broken else "the rule held")
            return is_broken

    with (folder / "record.txt").open("w") as record:
        try:
            code = BROKEN if asyncio.run(run(record)) else HELD
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}\n")
            code = NOT_RUN
        finally:
            if "KEEP_LOGS" in os.environ:
                shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
