"""Entry point of a fleet process: ``python -m dotterelspread.platform ROLE``."""

import asyncio
import sys
import threading
from contextlib import contextmanager

from ..decisionlog import log_decision, open_decision_log
from ..fleetnode import AgentAdapters, EntryAdapters, serve_node
from ..processsettings import FleetRole, ProcessSettingsError
from .settings import read_settings
from .store import PlatformJournal

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


@contextmanager
def _open_entry_adapters(settings):
    from .callers import CallerHandler
    from .configuration import (
        CONFIGURATION_KEY,
        CONFIGURATION_STREAM,
        ConfigurationFormatError,
        read_configuration,
    )
    from .evacuations import read_evacuated_data_centre
    from .jobdocument import READY_PATH
    from .policy import PlatformPermits

    def make_caller_handler(forwarder, configuration):
        return CallerHandler(forwarder, configuration).handle

    permits = PlatformPermits(settings.policy_address)
    try:
        yield EntryAdapters(
            CONFIGURATION_STREAM,
            CONFIGURATION_KEY,
            read_configuration,
            ConfigurationFormatError,
            read_evacuated_data_centre,
            make_caller_handler,
            permits,
            READY_PATH,
        )
    finally:
        permits.close()


@contextmanager
def _open_agent_adapters(settings):
    from .registry import RegistryHandler
    from .worker import PlatformWorker

    def make_registry_handler(agent):
        return RegistryHandler(agent).handle

    worker = PlatformWorker(settings.worker_address)
    try:
        yield AgentAdapters(worker, make_registry_handler)
    finally:
        worker.close()


_ADAPTER_FACTORIES_BY_ROLE = {
    FleetRole.ENTRY: _open_entry_adapters,
    FleetRole.AGENT: _open_agent_adapters,
}


async def _serve(settings):
    journal = PlatformJournal(settings.store.address)
    try:
        with _ADAPTER_FACTORIES_BY_ROLE[settings.role](settings) as adapters:
            await serve_node(
                settings, journal, adapters, lambda: read_settings(settings.role)
            )
    finally:
        journal.close()


def main(args):
    """Run a fleet process and return its exit code.

    Parameters
    ----------
    args : list of str
        The role of the process, one of `FleetRole`.
    """
    if len(args) != 1 or args[0] not in _ADAPTER_FACTORIES_BY_ROLE:
        print(
            f"usage: ROLE, one of {', '.join(_ADAPTER_FACTORIES_BY_ROLE)}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    try:
        settings = read_settings(args[0])
    except ProcessSettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    with open_decision_log(instance_id=settings.instance_id, role=settings.role):
        try:
            asyncio.run(_serve(settings))
        except OSError as error:
            log_decision("failed", error=str(error))
            return EXIT_FAILED
        finally:
            names = [thread.name for thread in threading.enumerate()]
            log_decision("loop closed", threads=names)
    return EXIT_OK
