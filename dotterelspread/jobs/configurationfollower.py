"""Keeps an entry's configuration in sync with the log store."""

import asyncio

from ..decisionlog import log_decision
from .journal import JournalError, JournalTruncatedError
from .queues import FleetConfiguration

__all__ = ["ConfigurationFollower"]

#: Longest time that a read waits for records; it also bounds the time in which an
#: unresponsive connection is detected.
POLL_TIMEOUT_S = 2.0
#: Delay before a failed read is retried.
RETRY_INTERVAL_S = 0.2


class ConfigurationFollower:
    """Follows the stream to which operators publish configurations.

    Parameters
    ----------
    journal : Journal
    stream, key : str
        Stream and key of the newest version.
    read : callable
        Parses a record's value into a `FleetConfiguration`; may raise ``parse_error``.
    parse_error : type
    on_change : callable
        Called with each newly applied version.
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
        """Follow the stream indefinitely."""
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
            log_decision("invalid configuration ignored", error=str(error))
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
