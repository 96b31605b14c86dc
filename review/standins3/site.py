"""A small deployment: the project's own processes beside the stand-ins."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from .store import Store
from .web import Lost, call, serve
from .worker import Worker

__all__ = ["CannotRun", "Site", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
FIRST_BLOCK, BLOCKS = 20, 200
STORE_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8169, 8161, 8167, 8166
PEER_PORTS = 7720, 7735
WORKER_PORT = 8165
METRICS_PORT = 9464
HOST = "queue.example"
SERVICE = "desk"
#: Delay after which the platform starts a process again.
RESTART_S = 0.5
READY_TIMEOUT_S = 20.0

#: Bounds of the site sabor-trials, as SYSTEM lists them.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "DowngradeSlackMs": 250,
    "MaxExtensionMs": 6000,
    "RecoveryS": 12,
    "HoldMaxMs": 10000,
    "StopTimeoutMs": 900,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "RemoteFactor": 1.5,
    "CheckpointS": 1,
    "RestoreMs": 600,
    "NoticeMs": 5500,
    "LeaseMs": 3000,
    "PaceMs": 100,
    "ImpactMs": 4000,
}


class CannotRun(Exception):
    """The case cannot be played here, which says nothing of the rule."""


class Process:
    """One entry or agent, which the platform starts again when it ends."""

    def __init__(self, site, role, number):
        self.site = site
        self.role = role
        self.name = f"{role}-{number}"
        third = 1 if role == "entry" else 2
        self.host = f"127.{site.block}.{third}.{number + 1}"
        self.zone = f"zone-{'abc'[number % 3]}"
        self.process = None
        self.is_closing = False
        #: Whether the platform leaves it ended until this is cleared.
        self.is_dark = False

    @property
    def path(self):
        return self.site.folder / f"{self.name}.toml"

    def write_settings(self):
        """Write the settings file, like the one in DEPLOY."""
        is_entry = self.role == "entry"
        lines = [
            f'NodeName = "{self.name}"',
            f'Role = "{self.role}"',
            f'MachineClass = "{"front" if is_entry else "side"}"',
            f'Serves = ["{"front" if is_entry else "side"}"]',
            f'Ip = "{self.host}"',
            f'Zone = "{self.zone}"',
            'Region = "region-a"',
            f"InternalPorts = [{PEER_PORTS[0]},{PEER_PORTS[1]}]",
            "Bootstrap = true",
            'Discovery = "local"',
            "HeartbeatMs = 1100",
            'Orders = "call"',
        ]
        if not is_entry:
            lines.append(f'app = "{self.host}:{WORKER_PORT}"')
        lines += [
            "[ListenAddrs]",
            f'Front = "{self.host}:{FRONT_PORT}"',
            f'Readiness = "{self.host}:{READY_PORT}"',
            f'Control = "{self.host}:{CONTROL_PORT}"',
            "[Limits]",
            "CpuShare = 1.0",
            "Cores = 1",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "[Bounds]",
        ]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines += [
            "[platform]",
            f'Address = "{self.site.store_address}"',
            'form = "log"',
            "WritesPerS = 800",
            "ReadsPerS = 2000",
            "RecordBytes = 262144",
            "RequestBytes = 2097152",
            "TtlMinMs = 1000",
        ]
        self.path.write_text("\n".join(lines) + "\n")

    async def run(self):
        """Keep the process running with the command of the deploy file."""
        self.write_settings()
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["DOTTERELSPREAD_BOOT"] = str(self.path)
        while not self.is_closing:
            while self.is_dark:
                await asyncio.sleep(0.02)
            if self.is_closing:
                return
            with (self.site.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *("python3", "-m", "dotterelspread.platform", self.role),
                    cwd=ROOT,
                    env=env,
                    stdout=log,
                    stderr=log,
                )
            if self.is_closing:
                self.process.kill()
            code = await self.process.wait()
            if not self.is_closing:
                self.site.note(f"{self.name} ended with {code}")
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def end(self):
        """End the process for good."""
        self.is_closing = True
        self.is_dark = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


class Site:
    """Entries, agents with a worker each, the store and the clients.

    Parameters
    ----------
    entries : int
    racks : list of str
        Rack of each worker; each has an agent.
    routes : list of dict, optional
        Routes of the configuration; one queue by default.
    """

    worker_port = WORKER_PORT
    control_port = CONTROL_PORT
    hold_max_s = BOUNDS["HoldMaxMs"] / 1000

    def __init__(self, entries, racks, routes=None, rejects_overload=False):
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.block = _find_block()
        self.store_address = f"127.{self.block}.0.1:{STORE_PORT}"
        self.store = Store()
        self.routes = routes or [make_route("small", "/small/")]
        self.rejects_overload = rejects_overload
        self.version = 0
        self.entries = [Process(self, "entry", n) for n in range(entries)]
        self.agents = [Process(self, "agent", n) for n in range(len(racks))]
        self.workers = [
            Worker(self, f"w-{n}", self.agents[n].host, rack, SERVICE)
            for n, rack in enumerate(racks)
        ]
        self.lines = []
        self.began_s = time.monotonic()
        self.starts = []
        self.ends = []

    def now_s(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.began_s

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def on_start(self, worker, task, number):
        """Record that a worker has begun a task."""
        self.starts.append((self.now_s(), worker.worker_id, task, number))

    def on_end(self, worker, task, number, how):
        """Record that a run has ended."""
        self.ends.append((self.now_s(), worker.worker_id, task, number, how))

    def publish(self):
        """Write the next version of the configuration."""
        self.version += 3
        service = {"Name": SERVICE, "RejectsOverload": self.rejects_overload}
        document = {
            "Version": self.version,
            "Routes": self.routes,
            "Services": [service],
            "Limits": {"MaxHeaderBytes": 16_384, "HeaderTimeoutMs": 3000},
        }
        self.store.write_key("keyed.op", "config", json.dumps(document).encode())
        self.note(f"configuration {self.version} acknowledged")

    async def request(self, method, path, body=None, entry=None, deadline_ms=3000):
        """Make a client's call; return its status (0 without an answer) and body."""
        entry = entry or self.entries[0]
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        headers["Content-Type"] = "application/json"
        self.note(f"{method} {path} sent to {entry.name}")
        try:
            status, answer = await call(
                f"{entry.host}:{FRONT_PORT}",
                method,
                path,
                data,
                headers,
                deadline_ms / 1000 + 0.3,
            )
        except Lost as error:
            self.note(f"{method} {path} no answer: {error}")
            return 0, b""
        text = answer.decode("utf-8", "replace")
        self.note(f"{method} {path} answered {status} {text} by {entry.name}")
        return status, json.loads(answer) if answer else {}

    def find_leader(self):
        """Return the entry whose log tells of the latest term."""
        latest = None, 0
        for entry in self.entries:
            for line in (self.folder / f"{entry.name}.log").read_text().splitlines():
                event = json.loads(line) if line.startswith("{") else {}
                if event.get("message") == "term begins":
                    latest = max(latest, (entry, event["at"]), key=lambda one: one[1])
        if latest[0] is None:
            raise CannotRun("no entry leads")
        return latest[0]

    async def _wait_ready(self):
        end_s = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.entries)
        while waiting:
            if time.monotonic() > end_s:
                raise CannotRun(f"not ready: {[e.name for e in waiting]}")
            await asyncio.sleep(0.2)
            for entry in list(waiting):
                try:
                    status, _ = await call(
                        f"{entry.host}:{READY_PORT}", "GET", "/api/readyz", timeout_s=1
                    )
                except Lost:
                    continue
                if status == 200:
                    waiting.remove(entry)

    async def play(self, scenario):
        """Run all beside ``scenario(site)`` and return its value."""
        self.publish()
        host = f"127.{self.block}.0.1"
        tasks = []
        servers = [await serve(host, STORE_PORT, self.store.handle)]
        for worker in self.workers:
            tasks += await worker.open()
            servers.append(worker.server)
        processes = [*self.entries, *self.agents]
        runs = [asyncio.ensure_future(process.run()) for process in processes]
        try:
            await self._wait_ready()
            # Workers register with their first heartbeats.
            await asyncio.sleep(3.0)
            return await scenario(self)
        finally:
            for process in processes:
                process.end()
            await asyncio.gather(*runs, return_exceptions=True)
            for task in tasks:
                task.cancel()
            for server in servers:
                server.close()


def make_route(name, prefix, **changes):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": "non_idempotent",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": SERVICE,
        "MaxAttempts": 3,
        "SlackFactor": 1.5,
    } | changes


def _find_block():
    """Return a block of loopback addresses on which all ports are free."""
    for step in range(BLOCKS):
        block = FIRST_BLOCK + (os.getpid() + step) % BLOCKS
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{block}.1.1", FRONT_PORT))
                probe.listen()
            except OSError:
                continue
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{block}.0.1", STORE_PORT))
            except OSError:
                continue
        return block
    raise CannotRun("no free block of loopback addresses")


async def _play(site, scenario, seconds):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(seconds):
        return await site.play(scenario)


def run_case(folder, make_site, scenario, seconds=100):
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it can't run.

    ``scenario(site, has_trouble)`` returns the lines that tell how the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None

    async def play():
        nonlocal site
        site = make_site()
        return await _play(site, lambda s: scenario(s, has_trouble), seconds)

    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
        verdict = broken or ["the rule held"]
    except (CannotRun, OSError, TimeoutError) as error:
        code, verdict = 2, [f"the case could not run: {type(error).__name__} {error}"]
    lines = [*(site.lines if site else []), *verdict, f"exit {code}"]
    (Path(folder) / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(verdict), file=sys.stderr)
    if site is not None:
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(site.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(site.folder, ignore_errors=True)
    return code
