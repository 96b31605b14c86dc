"""Puts together the parts of an entry."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

from .callerhttp import CallerHttp
from .configurationpart import ConfigurationPart
from .entrypart import EntryPart
from .gen.peer.ttypes import Load
from .jobpart import JobPart
from .memberpart import MemberPart
from .operatorhttp import OperatorHttp
from .peer import serve_peers
from .record import InstanceAnnounced
from .refusallog import RefusalLog
from .server import serve_http
from .statepart import StatePart, join_parts
from .viewpart import ViewPart

__all__ = ["EntryProcess", "open_entry"]

#: Seconds for which a stopping entry is still there for its balancer to see it leave.
BALANCER_WAIT_S = 0.5
#: Seconds between looks at whether requests are in progress.
DRAIN_POLL_INTERVAL_S = 0.05


class EntryProcess:
    """An entry whose parts run; drain it before it stops."""

    def __init__(self, members, entry, callers):
        self._members = members
        self._entry = entry
        self._callers = callers

    async def drain(self):
        """Leave: let the balancer see it, then finish what is in progress."""
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
    """Yield the `EntryProcess` of a node, with its servers listening."""
    settings = node.settings
    members = MemberPart(node, announcement(node), Load)
    configuration = ConfigurationPart(node)
    join_parts(members, configuration)
    entry = EntryPart(node, members)
    jobs = JobPart(node, members)
    refusal_log = RefusalLog()
    views = ViewPart(node, members, entry, jobs, configuration, refusal_log)
    members.on_event(entry.dispatch)
    configuration.on_change(entry.configure)
    configuration.on_change(jobs.configure)
    node.parts = [
        members,
        members.replica,
        configuration,
        configuration.replica,
        StatePart(node, (members.replica, configuration.replica)),
        entry,
    ]
    callers = CallerHttp(node, entry, jobs, configuration, refusal_log)
    operators = OperatorHttp(node, configuration, views)
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
                [*callers.routes(), *operators.routes()],
                settings.limits,
                settings.drain_timeout_s,
            )
        )
        process = EntryProcess(members, entry, callers)
        members.on_drain(process.drain)
        yield process
