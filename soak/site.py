"""Processes and stand-ins of one soak run."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager

from dotterelspread.h1server import listen_h1
from dotterelspread.platform.settings import SETTINGS_VARIABLE
from dotterelspread.processsettings import FleetBounds
from standins.relaycore import Relay
from tests.builders_platform import CONFIGURATION, PROCESS_SETTINGS, ROUTE
from tests.builders_standins import with_query
from tests.fleetchecker import Checker

from .evacuations import Evacuations
from .places import data_centre_of
from .store import SoakStore
from .workers import SoakWorker

__all__ = ["SoakError", "SoakProcess", "SoakSite"]

#: Longest leases that workers accept, by the seed modulo their number. The first is
#: granted in full, the second is longer than any lease that a leader grants.
MAX_LEASES_MS = (4000, 10_000)
GRACE_S = 6
#: Delay after which an exited process is restarted, as the platform does.
RESTART_S = 0.5
#: Ports on the host address of each process or stand-in.
STORE_PORT, WORKER_PORT, PEER_PORT, FRONT_PORT = 8169, 8165, 7720, 8161
#: An entry listens on the first port of the settings, an agent on the next one.
AGENT_PORT = PEER_PORT + 1
READY_PORT, CONTROL_PORT, RELAY_PORT = 8167, 8166, 8171


class SoakError(Exception):
    """A soak cannot be run because its addresses are in use."""


class SoakProcess:
    """One entry or agent process, restarted whenever it exits.

    Parameters
    ----------
    site : SoakSite
    role : str
    number : int
    """

    def __init__(self, site, role, number):
        self.site = site
        self.role = role
        self.name = f"{role}-{number}"
        self.host = f"127.{site.block}.{1 if role == 'entry' else 2}.{number + 1}"
        self.data_centre = data_centre_of(number)
        #: Relay between the process and the store.
        self.relay = Relay(f"{site.store_host}:{STORE_PORT}")
        #: Relay between an agent and the leader.
        self.peer_relay = Relay(f"{self.host}:{AGENT_PORT}")
        self.peer_host = f"127.{site.block}.4.{number + 1}"
        #: Whether a fault is active on the process; other faults then skip it.
        self.has_fault = False
        #: Codes of exits that no fault caused.
        self.unexpected_exit_codes = []
        self._process = None
        self._is_closing = False

    def write_settings(self, grace_s=GRACE_S):
        """Write the settings file."""
        self.path.write_text(
            PROCESS_SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.data_centre,
                port=PEER_PORT,
                worker=f"{self.host}:{WORKER_PORT}",
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                store=f"{self.host}:{RELAY_PORT}",
                lease_ms=self.site.bounds.max_lease_ms,
                grace_s=grace_s,
            )
        )

    @property
    def path(self):
        """Path of the settings file."""
        return self.site.folder / f"{self.name}.toml"

    @property
    def log_path(self):
        """Path of the process's log."""
        return self.site.folder / f"{self.name}.log"

    async def run(self):
        """Keep the process running until the soak ends."""
        self.write_settings()
        while not self._is_closing:
            with self.log_path.open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "dotterelspread.platform", self.role),
                    env=os.environ | {SETTINGS_VARIABLE: str(self.path)},
                    stdout=log,
                    stderr=log,
                )
            code = await self._process.wait()
            if not self.has_fault and not self._is_closing:
                self.unexpected_exit_codes.append(code)
            await asyncio.sleep(RESTART_S)

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def terminate(self):
        """Terminate the process, and kill it after the grace period."""
        process = self._process
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            self.site.checker.violations.append(
                f"{self.name} did not exit within its grace period"
            )
            process.kill()

    def end(self):
        """Kill the process and do not restart it."""
        self._is_closing = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


class SoakSite:
    """Processes, stand-ins and checker of a soak run; the fleet of its workers.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    seed : int
    entries, agents : int
    """

    def __init__(self, folder, seed, entries=2, agents=4):
        self.folder = folder
        self.rng = random.Random(seed)
        self.block = 10 + seed % 200
        self.store_host = f"127.{self.block}.0.1"
        max_lease_ms = MAX_LEASES_MS[seed % len(MAX_LEASES_MS)]
        self.bounds = FleetBounds(max_lease_ms=max_lease_ms)
        self.policy = None
        self.specs = {}
        self.durations = {}
        self.poison = set()
        self.checker = Checker(self)
        self.store = SoakStore(self.rng)
        self.evacuations = Evacuations(self.store, self.checker)
        self.version = 0
        self.entries = [SoakProcess(self, "entry", n) for n in range(entries)]
        self.agents = [SoakProcess(self, "agent", n) for n in range(agents)]
        self.workers = [
            SoakWorker(self, n, f"{agent.host}:{CONTROL_PORT}")
            for n, agent in enumerate(self.agents)
        ]
        self.store.relay_address_by_address = {
            f"{agent.host}:{AGENT_PORT}": f"{agent.peer_host}:{AGENT_PORT}"
            for agent in self.agents
        }
        self.publish()

    @property
    def relays(self):
        """All relays."""
        to_workers = [worker.relay for worker in self.workers]
        to_agents = [agent.peer_relay for agent in self.agents]
        return [process.relay for process in self.processes] + to_agents + to_workers

    @property
    def processes(self):
        """All processes."""
        return [*self.entries, *self.agents]

    @property
    def leader(self):
        """Entry to which the store has assigned the leaders' group; None if none."""
        holder = self.store.holder
        return next((entry for entry in self.entries if entry.name == holder), None)

    def duration_of(self, task_id):
        """Return the run time of a task in seconds."""
        return self.durations.get(task_id.split(".")[0], 0.5)

    def is_poison(self, task_id):
        """Return whether a task fails on every worker."""
        return task_id.split(".")[0] in self.poison

    def publish(self):
        """Publish the next configuration version; return the path of its route."""
        self.version += 1
        path = f"/extra{self.version}/"
        routes = [ROUTE, ROUTE | {"Name": "extra", "PathPrefix": path}]
        document = CONFIGURATION | {"Version": self.version, "Routes": routes}
        self.store.write_key("config", json.dumps(document).encode())
        return path

    def _check_addresses(self):
        """Raise `SoakError` if processes of another soak use this one's addresses."""
        for process in self.processes:
            port = PEER_PORT if process.role == "entry" else AGENT_PORT
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((process.host, port))
                except OSError as error:
                    text = f"{process.host}:{port} is in use by another soak: {error}"
                    raise SoakError(text) from error

    @asynccontextmanager
    async def open(self):
        """Run the processes and stand-ins while the context is open."""
        self._check_addresses()
        tasks = []
        async with AsyncExitStack() as stack:
            store = f"{self.store_host}:{STORE_PORT}"
            await stack.enter_async_context(
                listen_h1(store, with_query(self.store.handle))
            )
            for process in self.processes:
                await _serve_relay(stack, process.relay, process.host, RELAY_PORT)
            for agent in self.agents:
                await _serve_relay(stack, agent.peer_relay, agent.peer_host, AGENT_PORT)
            for worker, agent in zip(self.workers, self.agents, strict=True):
                inner = f"{agent.host}:{WORKER_PORT + 1000}"
                await stack.enter_async_context(listen_h1(inner, worker.handle))
                worker.relay = Relay(inner)
                await _serve_relay(stack, worker.relay, agent.host, WORKER_PORT)
                tasks.append(asyncio.ensure_future(worker.run()))
            tasks.append(asyncio.ensure_future(self._settle_workers()))
            runs = [asyncio.ensure_future(process.run()) for process in self.processes]
            try:
                yield self
            finally:
                for process in self.processes:
                    process.end()
                await asyncio.gather(*runs)
                for task in tasks:
                    task.cancel()
                for relay in self.relays:
                    relay.apply("cut")
                # Give the relays time to notice that their connections are closed.
                await asyncio.sleep(0.1)

    async def _settle_workers(self):
        while True:
            for worker in self.workers:
                worker.end_due_runs()
            await asyncio.sleep(0.03)

    def log_event(self, text):
        """Append a line to the log of the soak run."""
        with (self.folder / "soak.log").open("a") as log:
            log.write(f"{time.time():.3f} {text}\n")


async def _serve_relay(stack, relay, host, port):
    server = await asyncio.start_server(relay.accept, host, port)
    await stack.enter_async_context(server)
