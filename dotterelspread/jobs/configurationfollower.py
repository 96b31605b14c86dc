"""Keeps an entry's configuration as new as the store's."""

import asyncio

from ..decisionlog import log_decision
from .journal import JournalError, JournalTruncatedError
from .queues import FleetConfiguration

__all__ = ["ConfigurationFollower"]

#: Seconds that a read waits for news; a silent connection is found after it.
POLL_TIMEOUT_S = 2.0
#: Pause after a read that failed.
RETRY_INTERVAL_S = 0.2


class ConfigurationFollower:
    """Follows the stream in which operators publish.

    Parameters
    ----------
    journal : Journal
    stream, key : str
        Where the newest version stands.
    read : callable
        Turns a record's value into a `FleetConfiguration`; may raise ``parse_error``.
    form_error : type
    on_change : callable
        Called with each version that comes into force.
    """

    def __init__(self, journal, stream, key, read, parse_error, on_change):
        self.journal = journal
        self.stream = stream
        self.key = key
        self.configuration = FleetConfiguration()
        self._read = read
        self._parse_error = parse_error
        self._on_change = on_change

    async def run(self):
        """Follow the stream, for good."""
        offset = None
        while True:
            try:
                if offset is None:
                    offset = await self._load_snapshot()
                tail = await self.journal.follow(self.stream, offset, POLL_TIMEOUT_S)
            except JournalTruncatedError:
                offset = None
            except JournalError as error:
                log_decision("configuration not read", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                offset = tail.next_offset
                for record in tail.records:
                    self._apply_record(record)

    async def _load_snapshot(self):
        snapshot = await self.journal.snapshot(self.stream)
        for record in snapshot.records_by_key.values():
            self._apply_record(record)
        return snapshot.end

    def _apply_record(self, record):
        if record.key != self.key or not record.value:
            return
        try:
            configuration = self._read(record.value)
        except self._parse_error as error:
            log_decision("configuration not understood", error=str(error))
            return
        if configuration.version <= self.configuration.version:
            return
        log_decision(
            "configuration in force",
            version=configuration.version,
            earlier_version=self.configuration.version,
            queues=len(configuration.queues_by_name),
        )
        self.configuration = configuration
        self._on_change(configuration)
