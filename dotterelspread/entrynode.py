"""Assembly of an entry process from its parts."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

from .callerhttp import CallerHttp
from .configurationpart import ConfigurationPart
from .entrypart import EntryPart
from .evacuationhttp import EvacuationHttp
from .evacuationpart import ENTRY_READ_WAIT_S, EvacuationPart
from .gen.peer.ttypes import Load
from .jobpart import JobPart
from .memberpart import MemberPart
from .operatorhttp import OperatorHttp
from .peer import serve_peers
from .record import InstanceAnnounced
from .refusallog import RefusalLog
from .server import make_shed_log, serve_http
from .statepart import StatePart, join_parts
from .viewpart import ViewPart

__all__ = ["EntryProcess", "open_entry"]

#: Seconds that a draining entry keeps serving, so that the load balancer removes it.
BALANCER_WAIT_S = 0.5
#: Seconds between checks for requests in progress.
DRAIN_POLL_INTERVAL_S = 0.05


class EntryProcess:
    """A running entry; drain it before stopping it."""

    def __init__(self, members, entry, callers):
        self._members = members
        self._entry = entry
        self._callers = callers

    async def drain(self):
        """Let the load balancer remove the entry, finish open requests, and leave."""
        self._callers.is_draining = True
        self._members.start_drain()
        await asyncio.sleep(BALANCER_WAIT_S)
        while self._entry.in_progress:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._members.leave()


def announcement(node):
    """Return the `InstanceAnnounced` of an entry."""
    settings = node.settings
    return InstanceAnnounced(
        settings.instance_id,
        node.incarnation,
        settings.role.value,
        str(settings.peer_address),
        settings.data_centre,
        settings.region,
        settings.rack,
    )


@asynccontextmanager
async def open_entry(node):
    """Start the servers of an entry and yield its `EntryProcess`."""
    settings = node.settings
    members = MemberPart(node, announcement(node), Load)
    configuration = ConfigurationPart(node)
    evacuations = EvacuationPart(node, ENTRY_READ_WAIT_S)
    join_parts(members, configuration, evacuations)
    entry = EntryPart(node, members)
    jobs = JobPart(node, members)
    refusal_log = RefusalLog()
    views = ViewPart(
        node, members, entry, jobs, configuration, evacuations, refusal_log
    )
    members.on_event(entry.dispatch)
    configuration.on_change(entry.configure)
    configuration.on_change(jobs.configure)
    evacuations.on_change(entry.evacuate)
    evacuations.on_change(jobs.evacuate)
    node.parts = [
        members,
        members.replica,
        configuration,
        configuration.replica,
        evacuations,
        evacuations.replica,
        StatePart(node, (members.replica, configuration.replica, evacuations.replica)),
        entry,
    ]
    callers = CallerHttp(node, entry, jobs, configuration, refusal_log)
    operators = OperatorHttp(node, configuration, views)
    changes = EvacuationHttp(node, members, evacuations)
    async with AsyncExitStack() as stack:
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
                [*callers.routes(), *changes.routes(), *operators.routes()],
                settings.limits,
                settings.drain_timeout_s,
                make_shed_log(node.telemetry),
            )
        )
        process = EntryProcess(members, entry, callers)
        members.on_drain(process.drain)
        yield process
