"""One process of a fleet: what an entry and an agent consist of, from start to stop.

The platform's folder gives the edges; each role imports only what it uses, since
start-up time and memory are billed.
"""

import asyncio
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import singledispatch

from .counters import METRICS_PATH, METRICS_TYPE, counters
from .decisionlog import log_decision
from .h1server import H1Limits, H1Response, listen_h1
from .jobs.journal import JournalError
from .jobs.nodes import NODES_STREAM, encode_node
from .peer import PeerPool, serve_peers
from .processsettings import ProcessSettingsError

__all__ = ["AgentEdges", "EntryEdges", "serve_node"]

#: Port of the metrics, as the deploy file names it.
METRICS_PORT = 9464
#: Pause before the registration of a process is repeated.
REGISTER_PAUSE_S = 0.3
#: Seconds for which a stopping entry still takes connections, so that the balancer
#: has seen twice that it is not ready.
BALANCER_LAG_S = 2.2
#: Part of the grace period that is kept for ending the process.
EXIT_RESERVE_S = 1.2
#: Seconds that a stopping agent leaves for orders in progress.
AGENT_DRAIN_S = 0.2


@dataclass(slots=True, frozen=True)
class EntryEdges:
    """What an entry needs of the platform beside the journal."""

    #: Stream and key of the operators' configuration.
    configuration_stream: str
    configuration_key: str
    #: Turns a record's value into a `FleetConfiguration`, or raises ``form_error``.
    read_configuration: Callable
    form_error: type
    #: Takes a `Forwarder` and a callable that returns the configuration in force, and
    #: returns the handler of callers' requests.
    make_caller_handler: Callable
    #: The `PermitService` for queues with a policy.
    permit_service: object
    #: Path at which the balancer asks whether callers may be sent here.
    ready_path: str


@dataclass(slots=True, frozen=True)
class AgentEdges:
    """What an agent needs of the platform beside the journal."""

    #: The `WorkerEdge` to the worker of this instance.
    worker: object
    #: Takes an `Agent` and returns the handler of what its worker announces.
    make_registry_handler: Callable


class _Node:
    """What both roles share while the process runs."""

    __slots__ = ("_stop", "_tasks", "journal", "pool", "settings")

    def __init__(self, settings, journal, pool):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self._stop = asyncio.get_running_loop().create_future()
        self._tasks = set()

    def spawn(self, work):
        """Run a coroutine while the process runs; a fault in it ends the process."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() and not self._stop.done():
            self._stop.set_exception(task.exception())

    def stop(self, name):
        """Begin the planned end of the process."""
        if not self._stop.done():
            self._stop.set_result(name)

    async def wait(self):
        """Wait for the planned end and return the name of the signal."""
        return await self._stop

    def cancel(self):
        """End all that was spawned."""
        for task in list(self._tasks):
            task.cancel()


async def serve_node(settings, journal, edges, reread):
    """Run the process until it is told to stop, then drain it.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    edges : EntryEdges or AgentEdges
        They decide the role.
    reread : callable
        Returns the settings as they are now, or raises `ProcessSettingsError`.
    """
    loop = asyncio.get_running_loop()
    metrics_address = f"{settings.host}:{METRICS_PORT}"
    async with PeerPool.open() as pool:
        node = _Node(settings, journal, pool)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, node.stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, _reload, settings, reread)
        async with (
            listen_h1(metrics_address, _answer_metrics),
            _open(edges, node) as drain,
        ):
            log_decision("started", peer_address=settings.peer_address)
            node.spawn(_register(journal, settings))
            name = await node.wait()
            log_decision("stopping", signal=name)
            await drain()
            node.cancel()
    log_decision("stopped")


def _reload(settings, reread):
    """Read the settings again; bounds change at once, addresses only at a start."""
    try:
        fresh = reread()
    except ProcessSettingsError as error:
        log_decision("reload refused", error=str(error))
        return
    changed = [
        name
        for name in ("bounds", "store", "caller_address", "worker_address")
        if getattr(fresh, name) != getattr(settings, name)
    ]
    settings.bounds = fresh.bounds
    log_decision("reloaded", changed=changed)


async def _register(journal, settings):
    while True:
        try:
            await journal.append(NODES_STREAM, [encode_node(settings)])
        except JournalError as error:
            log_decision("registration repeated", error=str(error))
            await asyncio.sleep(REGISTER_PAUSE_S)
        else:
            log_decision("registered", peer_address=settings.peer_address)
            return


async def _answer_metrics(request):
    if request.path != METRICS_PATH:
        return H1Response(404)
    body = counters.to_text().encode()
    return H1Response(200, body, content_type=METRICS_TYPE)


@singledispatch
def _open(edges, node):
    """Return a context that runs the role and yields how to drain it."""
    raise TypeError(f"no role with {type(edges).__name__}")


@_open.register
@asynccontextmanager
async def _(edges: EntryEdges, node):
    from .jobs.candidate import Candidate
    from .jobs.configurationfollower import ConfigurationFollower
    from .jobs.forwarding import Forwarder
    from .jobs.leadernotices import LeaderView

    settings = node.settings
    limits = H1Limits()
    is_stopping = False

    def on_change(configuration):
        limits.adopt(configuration.limits)
        if candidate.leader is not None:
            candidate.leader.configure(configuration)

    def configuration():
        return follower.configuration

    follower = ConfigurationFollower(
        node.journal,
        edges.configuration_stream,
        edges.configuration_key,
        edges.read_configuration,
        edges.form_error,
        on_change,
    )
    view = LeaderView()
    candidate = Candidate(
        settings, node.journal, node.pool, view, configuration, edges.permit_service
    )
    forwarder = Forwarder(candidate, node.pool)
    answer_caller = edges.make_caller_handler(forwarder, configuration)

    async def answer_ready(request):
        has_leader = candidate.leader is not None or bool(view.current())
        is_ready = configuration().version >= 0 and has_leader and not is_stopping
        is_asked = request.path == edges.ready_path
        return H1Response(200 if is_asked and is_ready else 503)

    async def take_notice(notice):
        return view.receive(notice)

    async def drain():
        nonlocal is_stopping
        is_stopping = True
        loop = asyncio.get_running_loop()
        end_s = loop.time() + settings.bounds.grace_s - EXIT_RESERVE_S
        # The store and other entries may be silent; the stop does not wait for them.
        resigning = asyncio.ensure_future(candidate.resign())
        await asyncio.sleep(BALANCER_LAG_S)
        unanswered = await callers.drain(max(0.1, end_s - loop.time()))
        resigning.cancel()
        log_decision("drained", unanswered=unanswered)

    handlers = {"lead": take_notice, "work": forwarder.handle}
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(serve_peers(settings.peer_address, handlers))
        await enter(listen_h1(settings.readiness_address, answer_ready))
        callers = await enter(listen_h1(settings.caller_address, answer_caller, limits))
        node.spawn(follower.run())
        node.spawn(candidate.run())
        yield drain


@_open.register
@asynccontextmanager
async def _(edges: AgentEdges, node):
    from .jobs.agentpart import Agent
    from .jobs.orderhandler import OrderHandler

    settings = node.settings
    agent = Agent(edges.worker, settings.bounds.max_lease_ms)
    order_handler = OrderHandler(agent)

    async def drain():
        await asyncio.sleep(AGENT_DRAIN_S)

    handlers = {
        "watch": agent.watch,
        "start_run": order_handler.start_run,
        "stop_run": order_handler.stop_run,
    }
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(serve_peers(settings.peer_address, handlers))
        answer_worker = edges.make_registry_handler(agent)
        await enter(listen_h1(settings.control_address, answer_worker))
        node.spawn(agent.run())
        yield drain
