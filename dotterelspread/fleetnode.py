"""Process of a fleet: assembly, start and shutdown of an entry or an agent.

The ``platform`` package provides the adapters. Each role imports only the modules that
it uses, since start-up time and memory are billed.
"""

import asyncio
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from functools import partial, singledispatch

from .counters import METRICS_PATH, METRICS_TYPE, counters
from .decisionlog import log_decision
from .h1server import H1Limits, H1Response, listen_h1
from .jobs.journal import JournalError
from .jobs.nodes import NODES_STREAM, encode_node
from .nodelimits import NodeLimits
from .peer import PeerPool, serve_peers
from .processsettings import ProcessSettingsError
from .supervision import run_supervised

__all__ = ["AgentAdapters", "EntryAdapters", "serve_node"]

#: Port of the metrics endpoint; the deployment file names the same port.
METRICS_PORT = 9464
MAX_LOGGED_TASKS = 20
#: Delay before a failed registration is retried.
REGISTER_RETRY_INTERVAL_S = 0.3
#: Time for which a stopping entry still accepts connections, so that the load balancer
#: sees two failed readiness checks.
BALANCER_DRAIN_DELAY_S = 2.2
#: Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 1.2
#: Time that a stopping agent leaves for orders in progress.
AGENT_DRAIN_DELAY_S = 0.2


@dataclass(slots=True, frozen=True)
class EntryAdapters:
    """Platform services of an entry other than the journal."""

    #: Stream and key of the configuration that operators publish.
    configuration_stream: str
    configuration_key: str
    #: Parses a record's value into a `FleetConfiguration` or raises ``parse_error``.
    read_configuration: Callable
    parse_error: type
    #: Returns the data centre that a record's key evacuates; empty for other keys.
    read_evacuated_data_centre: Callable
    #: Takes a `Forwarder` and a callable that returns the current configuration, and
    #: returns the handler of callers' requests.
    make_caller_handler: Callable
    #: The `PermitService` for queues with a policy.
    permit_service: object
    #: Path of the load balancer's readiness check.
    ready_path: str


@dataclass(slots=True, frozen=True)
class AgentAdapters:
    """Platform services of an agent other than the journal."""

    #: The `WorkerAdapter` to the worker of this instance.
    worker: object
    #: Takes an `Agent` and returns the handler of its worker's announcements.
    make_registry_handler: Callable


class _Node:
    """Resources and background tasks that both roles share."""

    __slots__ = ("_stop", "_tasks", "journal", "limits", "pool", "settings")

    def __init__(self, settings, journal, pool):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self.limits = NodeLimits(settings.memory_mb, settings.max_fds)
        self._stop = asyncio.get_running_loop().create_future()
        self._tasks = set()

    def spawn(self, name, run):
        """Run a loop in the background; an unexpected error starts it again."""
        task = asyncio.ensure_future(run_supervised(name, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self, name):
        """Request the shutdown of the process."""
        if not self._stop.done():
            self._stop.set_result(name)

    async def wait(self):
        """Wait for a shutdown request and return the name of the signal."""
        return await self._stop

    def cancel(self):
        """Cancel all background tasks."""
        for task in list(self._tasks):
            task.cancel()


async def serve_node(settings, journal, adapters, reread_settings):
    """Run the process until a stop signal, then drain it.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    adapters : EntryAdapters or AgentAdapters
        Their type determines the role.
    reread_settings : callable
        Returns the current settings, or raises `ProcessSettingsError`.
    """
    loop = asyncio.get_running_loop()
    metrics_address = f"{settings.host}:{METRICS_PORT}"
    async with PeerPool.open() as pool:
        node = _Node(settings, journal, pool)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, node.stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, _reload, settings, reread_settings)
        async with (
            listen_h1(
                metrics_address,
                _answer_metrics,
                quota=node.limits.open_reserved_quota(),
            ),
            _open(adapters, node) as drain,
        ):
            log_decision("started", peer_address=settings.peer_address)
            node.spawn("registration", partial(_register, journal, settings))
            name = await node.wait()
            log_decision("stopping", signal=name)
            await drain()
            node.cancel()
    log_decision("stopped", open_tasks=_name_open_tasks())


def _name_open_tasks():
    """Return the names of some tasks that the end of the loop has to wait for."""
    names = (
        task.get_coro().__qualname__
        for task in asyncio.all_tasks()
        if task is not asyncio.current_task()
    )
    return sorted(names)[:MAX_LOGGED_TASKS]


def _reload(settings, reread_settings):
    """Reload the settings; bounds apply at once, addresses only after a restart."""
    try:
        fresh = reread_settings()
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
            log_decision("registration failed; retrying", error=str(error))
            await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)
        else:
            log_decision("registered", peer_address=settings.peer_address)
            return


async def _answer_metrics(request):
    if request.path != METRICS_PATH:
        return H1Response(404)
    body = counters.to_text().encode()
    return H1Response(200, body, content_type=METRICS_TYPE)


@singledispatch
def _open(adapters, node):
    """Return a context manager that runs the role and yields its drain function."""
    raise TypeError(f"no role for adapters of type {type(adapters).__name__}")


@_open.register
@asynccontextmanager
async def _(adapters: EntryAdapters, node):
    from .jobs.candidate import LeaderCandidate
    from .jobs.configurationfollower import ConfigurationFollower
    from .jobs.evacuation import EvacuatedDataCentres
    from .jobs.forwarding import Forwarder
    from .jobs.leadernotices import LeaderView

    settings = node.settings
    limits = H1Limits()
    is_stopping = False

    def on_change(configuration):
        limits.update_from(configuration.limits)
        if candidate.leader is not None:
            candidate.leader.configure(configuration)

    def on_evacuation(data_centres):
        if candidate.leader is not None:
            candidate.leader.evacuate(data_centres)

    def configuration():
        return follower.configuration

    def needs_recent_state():
        return candidate.leader is not None and settings.bounds.evacuate_ms > 0

    evacuations = EvacuatedDataCentres(
        adapters.read_evacuated_data_centre, on_evacuation
    )
    follower = ConfigurationFollower(
        node.journal,
        adapters.configuration_stream,
        adapters.configuration_key,
        adapters.read_configuration,
        adapters.parse_error,
        on_change,
        evacuations,
        needs_recent_state,
    )
    view = LeaderView()
    candidate = LeaderCandidate(
        settings,
        node.journal,
        node.pool,
        view,
        configuration,
        adapters.permit_service,
        evacuations,
    )
    forwarder = Forwarder(candidate, node.pool)
    answer_caller = adapters.make_caller_handler(forwarder, configuration)

    async def answer_ready(request):
        has_leader = candidate.leader is not None or bool(view.current())
        is_ready = configuration().version >= 0 and has_leader and not is_stopping
        is_asked = request.path == adapters.ready_path
        return H1Response(200 if is_asked and is_ready else 503)

    async def take_notice(notice):
        return candidate.receive_notice(notice)

    async def drain():
        nonlocal is_stopping
        is_stopping = True
        loop = asyncio.get_running_loop()
        end_s = loop.time() + settings.bounds.grace_s - EXIT_MARGIN_S
        # The shutdown does not wait for the store and the other entries, which may be
        # unresponsive.
        resigning = asyncio.ensure_future(candidate.resign())
        await asyncio.sleep(BALANCER_DRAIN_DELAY_S)
        unanswered = await callers.drain(max(0.1, end_s - loop.time()))
        resigning.cancel()
        log_decision("drained", unanswered=unanswered)

    handlers = {"lead": take_notice, "work": forwarder.handle}
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        quota = node.limits.open_peer_quota()
        await enter(serve_peers(settings.peer_address, handlers, quota=quota))
        quota = node.limits.open_reserved_quota()
        await enter(listen_h1(settings.readiness_address, answer_ready, quota=quota))
        quota = node.limits.open_main_quota()
        listener = listen_h1(settings.caller_address, answer_caller, limits, quota)
        callers = await enter(listener)
        node.spawn("configuration", follower.run)
        node.spawn("candidate", candidate.run)
        yield drain


@_open.register
@asynccontextmanager
async def _(adapters: AgentAdapters, node):
    from .jobs.agentpart import Agent
    from .jobs.orderhandler import OrderHandler

    settings = node.settings
    agent = Agent(adapters.worker, settings.bounds.max_lease_ms)
    order_handler = OrderHandler(agent)

    async def drain():
        await asyncio.sleep(AGENT_DRAIN_DELAY_S)

    handlers = {
        "watch": agent.watch,
        "start_run": order_handler.start_run,
        "stop_run": order_handler.stop_run,
    }
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        quota = node.limits.open_peer_quota()
        await enter(serve_peers(settings.peer_address, handlers, quota=quota))
        answer_worker = adapters.make_registry_handler(agent)
        quota = node.limits.open_main_quota()
        await enter(listen_h1(settings.control_address, answer_worker, quota=quota))
        node.spawn("agent", agent.run)
        yield drain
