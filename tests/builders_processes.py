"""Simulated processes of entries and agents on virtual time."""

import asyncio

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.candidate import LeaderCandidate
from dotterelspread.jobs.configurationfollower import ConfigurationFollower
from dotterelspread.jobs.evacuation import EvacuatedDataCentres
from dotterelspread.jobs.forwarding import Forwarder
from dotterelspread.jobs.journal import JournalError
from dotterelspread.jobs.leadernotices import LeaderView
from dotterelspread.jobs.nodes import NODES_STREAM, encode_node
from dotterelspread.jobs.orderhandler import OrderHandler
from dotterelspread.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_STREAM,
    ConfigurationFormatError,
    read_configuration,
)
from dotterelspread.platform.evacuations import read_evacuated_data_centre
from dotterelspread.processsettings import (
    FleetBounds,
    FleetRole,
    ProcessSettings,
    StoreSettings,
)

__all__ = ["FAR_STORE_DELAY_S", "AgentProcess", "EntryProcess", "make_settings"]

#: Mean delay of calls to the store from another region; the shortest is half of it.
FAR_STORE_DELAY_S = 0.08


def make_settings(role, number, bounds=None, cores=1.0, region="r"):
    return ProcessSettings(
        instance_id=f"{role}-{number}",
        role=role,
        host=f"{role}{number}",
        data_centre="dc",
        region=region,
        peer_ports=(7000, 7010),
        store=StoreSettings("store:1"),
        cores=cores,
        bounds=bounds or FleetBounds(max_lease_ms=4000),
    )


class EntryProcess:
    """Simulated process of an entry, which can be killed and started again."""

    def __init__(self, fleet, number, cores, is_far=False):
        self.fleet = fleet
        region = "far" if is_far else "r"
        self.settings = make_settings(
            FleetRole.ENTRY, number, fleet.bounds, cores, region
        )
        self.address = self.settings.peer_address
        if is_far:
            fleet.store.delay_s_by_node[self.address] = FAR_STORE_DELAY_S
        #: Configuration of this entry if it does not have that of the fleet.
        self.configuration = None
        self.tasks = []

    def start(self):
        fleet = self.fleet
        journal = fleet.store.journal(self.address)
        pool = fleet.network.pool(self.address)
        self.view = LeaderView()
        self.evacuations = EvacuatedDataCentres(
            read_evacuated_data_centre, self._evacuate
        )
        self.candidate = LeaderCandidate(
            self.settings,
            journal,
            pool,
            self.view,
            lambda: self.configuration or fleet.configuration,
            fleet.policy,
            self.evacuations,
        )
        self.forwarder = Forwarder(self.candidate, pool)

        async def lead(notice):
            return self.candidate.receive_notice(notice)

        fleet.network.handlers_by_address[self.address] = {
            "lead": lead,
            "work": self.forwarder.handle,
        }
        self.tasks = [
            asyncio.ensure_future(self.candidate.run()),
            asyncio.ensure_future(_register(journal, self.settings)),
        ]
        if self.settings.bounds.evacuate_ms:
            follower = ConfigurationFollower(
                journal,
                CONFIGURATION_STREAM,
                CONFIGURATION_KEY,
                read_configuration,
                ConfigurationFormatError,
                lambda configuration: None,
                self.evacuations,
                lambda: self.candidate.leader is not None,
            )
            self.tasks.append(asyncio.ensure_future(follower.run()))

    def _evacuate(self, data_centres):
        if self.candidate.leader is not None:
            self.candidate.leader.evacuate(data_centres)

    def kill(self):
        self.fleet.network.handlers_by_address.pop(self.address, None)
        tasks = list(self.tasks)
        if self.candidate._term_task is not None:
            tasks.append(self.candidate._term_task)
        if self.candidate.leader is not None:
            self.candidate.leader.stop()
        for task in tasks:
            task.cancel()


class AgentProcess:
    """Simulated process of an agent, which can be killed and started again."""

    def __init__(self, fleet, number, worker):
        self.fleet = fleet
        self.worker = worker
        self.settings = make_settings(FleetRole.AGENT, number, fleet.bounds)
        self.address = self.settings.peer_address
        #: Start of the clock of the agent's instance.
        self.booted_s = 0.0
        self.tasks = []

    def start(self):
        self.agent = Agent(
            self.worker,
            self.fleet.bounds.max_lease_ms,
            lambda: int((clock.now_s() - self.booted_s) * 1000),
            lambda: int((clock.now_s() + self.worker.time_of_day_step_s) * 1000),
        )
        order_handler = OrderHandler(self.agent)
        self.fleet.network.handlers_by_address[self.address] = {
            "watch": self.agent.watch,
            "start_run": order_handler.start_run,
            "stop_run": order_handler.stop_run,
        }
        journal = self.fleet.store.journal(self.address)
        self.tasks = [
            asyncio.ensure_future(self.agent.run()),
            asyncio.ensure_future(_register(journal, self.settings)),
            asyncio.ensure_future(self._send_heartbeats()),
        ]

    async def _send_heartbeats(self):
        while True:
            if self.worker.is_up:
                self.agent.announce(self.worker.announcement())
            await asyncio.sleep(0.5)

    def kill(self):
        self.fleet.network.handlers_by_address.pop(self.address, None)
        for task in self.tasks:
            task.cancel()


async def _register(journal, settings):
    while True:
        try:
            await journal.append(NODES_STREAM, [encode_node(settings)])
        except JournalError:
            await asyncio.sleep(0.3)
        else:
            return
