"""Daemon process that runs an entry or an agent, depending on its settings."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack, asynccontextmanager

import uvloop
from absl import app, flags

from .agentnode import open_agent
from .backend import BackendError
from .entrynode import open_entry
from .jsonlog import log_change, log_fault, open_log
from .log import LogError
from .logclient import LogClient, make_incarnation
from .node import Node, boottime_s
from .peer import PeerError, PeerPool
from .reducer import reduce
from .server import ServerError
from .settings import DaemonSettings, Role, SettingsError
from .telemetry import open_telemetry
from .tracing import TracingError

__all__ = ["main", "run", "serve"]

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "YAML file with the settings of this process.")

#: Exit codes of the daemon.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

#: Errors that prevent a process from starting.
START_ERRORS = (BackendError, LogError, PeerError, ServerError, TracingError)

OPENERS_BY_ROLE = {Role.ENTRY: open_entry, Role.AGENT: open_agent}


@asynccontextmanager
async def open_node(settings):
    """Yield the `Node` of a process, which holds what all roles share."""
    incarnation = make_incarnation()
    async with AsyncExitStack() as stack:
        telemetry = stack.enter_context(open_telemetry(settings))
        log_client = await stack.enter_async_context(
            LogClient.from_settings(settings.log_url, incarnation, clock=boottime_s)
        )
        pool = await stack.enter_async_context(PeerPool.open())
        node = Node(settings, incarnation, log_client, pool, telemetry, reduce)
        try:
            yield node
        finally:
            await node.close()


async def serve(settings):
    """Run the process until SIGTERM or SIGINT, then drain it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with open_node(settings) as node:
        async with OPENERS_BY_ROLE[settings.role](node) as process:
            log_change("started", incarnation=node.incarnation)
            node_task = asyncio.ensure_future(node.run())
            stop_task = asyncio.ensure_future(stop.wait())
            await asyncio.wait(
                (node_task, stop_task), return_when=asyncio.FIRST_COMPLETED
            )
            if node_task.done():
                node_task.result()
            log_change("draining")
            await _drain(process, settings.drain_timeout_s)
            node_task.cancel()
            await asyncio.gather(node_task, return_exceptions=True)
        log_change("stopped")


async def _drain(process, timeout_s):
    try:
        async with asyncio.timeout(timeout_s):
            await process.drain()
    except TimeoutError:
        log_change("drain timed out", timeout_s=timeout_s)


def main(args):
    """Run the daemon and return its exit code."""
    del args
    if FLAGS.settings is None:
        print("dotterelspreadd: --settings FILE is required", file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = DaemonSettings.from_file(FLAGS.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    with open_log(settings):
        try:
            uvloop.run(serve(settings))
        except START_ERRORS as error:
            log_fault("failed", error)
            return EXIT_FAILED
    return EXIT_OK


def run():
    """Start the daemon as a console command."""
    app.run(main)


if __name__ == "__main__":
    run()
