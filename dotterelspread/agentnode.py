"""Assembly of an agent process from its parts."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .backend import open_backend
from .configurationpart import ConfigurationPart
from .evacuationpart import AGENT_READ_WAIT_S, EvacuationPart
from .interferencepart import InterferencePart
from .memberpart import MemberPart
from .node import boottime_s
from .peer import serve_peers
from .record import InstanceAnnounced
from .requestpart import RequestPart
from .server import make_shed_log, serve_http
from .statepart import StatePart, join_parts
from .summarypart import SummaryPart
from .taskpart import TaskPart
from .telemetry import EXPOSITION_TYPE
from .worker import get_worker_class

__all__ = ["AgentProcess", "open_agent"]

#: Variant of the protocol used to reach the platform's worker.
WORKER_VARIANT = "http"
#: Seconds to keep running after leaving, to answer requests already in flight.
IN_FLIGHT_WAIT_S = 0.2


class AgentProcess:
    """A running agent; drain it before stopping it."""

    def __init__(self, node, members, requests, tasks):
        self.node = node
        self.members = members
        self.requests = requests
        self.tasks = tasks

    async def drain(self):
        """Announce the drain, finish requests, release tasks and leave."""
        self.requests.drain()
        self.members.start_drain()
        self.tasks.start_drain()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.requests.drained.wait())
            group.create_task(self.tasks.wait_drained())
        await self.members.leave()
        await asyncio.sleep(IN_FLIGHT_WAIT_S)

    def observe(self, configuration):
        """Export the state of the instance as gauges."""
        observe = self.node.telemetry.observe
        slots, tasks = self.requests.state, self.tasks.state.locals_by_id
        observe("slots_running", "1", "Slots in use", lambda: slots.running)
        observe("requests_queued", "1", "Requests that wait", lambda: slots.queued)
        observe("tasks_running", "1", "Tasks on the worker", lambda: len(tasks))
        observe(
            "configuration_version",
            "1",
            "Version in force",
            lambda: configuration.version,
        )

    def routes(self):
        """Return the Starlette routes for health and metrics."""
        return [
            Route("/healthz", self._health),
            Route("/readyz", self._readiness),
            Route("/metrics", self._metrics),
        ]

    async def _health(self, request):
        return JSONResponse({"status": "ok"})

    async def _readiness(self, request):
        is_ready = self.requests.is_ready and not self.requests.state.draining
        return JSONResponse({"ready": is_ready}, 200 if is_ready else 503)

    async def _metrics(self, request):
        exposition = self.node.telemetry.exposition()
        return Response(exposition, media_type=EXPOSITION_TYPE)


def announcement(node):
    """Return the `InstanceAnnounced` of an agent."""
    settings = node.settings
    agent = settings.agent
    return InstanceAnnounced(
        settings.instance_id,
        node.incarnation,
        settings.role.value,
        str(settings.peer_address),
        settings.data_centre,
        settings.region,
        settings.rack,
        (agent.service,),
        agent.slots,
        agent.capacity,
        agent.labels,
        agent.cell,
    )


def _join_evacuations(evacuations, requests, tasks, data_centre):
    """Let the evacuated data centres decide whether an instance starts work."""

    def update(names):
        requests.evacuate(evacuations.state.describe(data_centre))
        tasks.update_withholding()

    evacuations.on_change(update)
    requests.has_evacuations = lambda: evacuations.is_known
    tasks.find_withholding = partial(evacuations.find_withholding, data_centre)


@asynccontextmanager
async def open_agent(node):
    """Start the servers of an agent and yield its `AgentProcess`."""
    settings = node.settings
    agent = settings.agent
    announced = announcement(node)
    async with AsyncExitStack() as stack:
        backend = await stack.enter_async_context(
            open_backend(agent.backend_url, agent.connections)
        )
        worker_class = get_worker_class(WORKER_VARIANT)
        worker = await stack.enter_async_context(
            worker_class.open(agent.worker_url, boottime_s)
        )
        requests = RequestPart(node, backend)
        tasks = TaskPart(node, worker, announced)
        interference = InterferencePart(node, requests, tasks)
        summaries = SummaryPart(node, tasks)
        members = MemberPart(node, announced, requests.load)
        members.on_event(tasks.record_member)
        configuration = ConfigurationPart(node)
        configuration.on_change(requests.configure)
        configuration.on_change(tasks.configure)
        configuration.on_change(interference.configure)
        configuration.on_change(summaries.configure)
        evacuations = EvacuationPart(node, AGENT_READ_WAIT_S)
        _join_evacuations(evacuations, requests, tasks, settings.data_centre)
        join_parts(members, configuration, evacuations)
        node.parts = [
            members,
            members.replica,
            configuration,
            configuration.replica,
            evacuations,
            evacuations.replica,
            StatePart(
                node, (members.replica, configuration.replica, evacuations.replica)
            ),
            requests,
            tasks,
            interference,
            summaries,
        ]
        process = AgentProcess(node, members, requests, tasks)
        process.observe(configuration)
        members.on_drain(process.drain)
        await stack.enter_async_context(
            serve_peers(
                str(settings.peer_listen_address),
                node.handlers_by_method(),
                node.pool.traffic,
            )
        )
        await stack.enter_async_context(
            serve_http(
                settings.http_address,
                process.routes(),
                settings.limits,
                settings.drain_timeout_s,
                make_shed_log(node.telemetry),
            )
        )
        yield process
