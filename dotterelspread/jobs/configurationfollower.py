"""Keeps what operators publish, as an entry knows it, in sync with the log store."""

import asyncio

from ..decisionlog import log_decision
from . import clock
from .journal import JournalError, JournalTruncatedError
from .queues import FleetConfiguration

__all__ = ["ConfigurationFollower"]

#: Longest time that a read waits for records; it also bounds the time in which an
#: unresponsive connection is detected.
POLL_TIMEOUT_S = 2.0
#: The same in the leader, which sends starts only if it has read recently which data
#: centres are evacuated.
LEADER_POLL_TIMEOUT_S = 0.8
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
    evacuations : EvacuatedDataCentres, optional
        Gets the records of the stream too.
    needs_recent_state : callable, optional
        Whether the entry leads, and needs to know at any time how recent its state is.
    """

    def __init__(
        self,
        journal,
        stream,
        key,
        read,
        parse_error,
        on_change,
        evacuations=None,
        needs_recent_state=bool,
    ):
        self.journal = journal
        self.stream = stream
        self.key = key
        self.configuration = FleetConfiguration()
        self._read = read
        self._parse_error = parse_error
        self._on_change = on_change
        self._evacuations = evacuations
        self._needs_recent_state = needs_recent_state

    async def run(self):
        """Follow the stream indefinitely."""
        offset = None
        while True:
            try:
                if offset is None:
                    offset = await self._load_snapshot()
                sent_s = clock.elapsed_s()
                wait_s = self._poll_timeout_s()
                tail = await self.journal.follow(self.stream, offset, wait_s)
            except JournalTruncatedError:
                offset = None
            except JournalError as error:
                log_decision("configuration not read", error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                offset = tail.next_offset
                for record in tail.records:
                    self._apply_record(record)
                if self._evacuations is not None:
                    known_s = _known_s(tail, sent_s, wait_s)
                    self._evacuations.update(tail.records, known_s)

    def _poll_timeout_s(self):
        is_urgent = self._needs_recent_state()
        return LEADER_POLL_TIMEOUT_S if is_urgent else POLL_TIMEOUT_S

    async def _load_snapshot(self):
        sent_s = clock.elapsed_s()
        snapshot = await self.journal.snapshot(self.stream)
        records = snapshot.records_by_key.values()
        for record in records:
            self._apply_record(record)
        if self._evacuations is not None:
            self._evacuations.replace(records, sent_s)
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


def _known_s(tail, sent_s, wait_s):
    """Return a time by which the records of a read were complete, on `clock.elapsed_s`.

    The store answers without records only at the end of the wait.
    """
    has_waited = not tail.records and clock.elapsed_s() - sent_s >= wait_s
    return sent_s + wait_s if has_waited else sent_s
