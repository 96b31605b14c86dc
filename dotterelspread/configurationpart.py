"""The part of a process that follows and publishes configurations."""

import asyncio
from dataclasses import dataclass

from .configreader import ConfigurationError, read_configuration
from .log import TruncatedError
from .logclient import AppendError
from .node import Part
from .outcome import RefusalReason, Refused, Unknown
from .record import ConfigurationPublished

__all__ = ["ConfigurationPart", "PublishResult"]

STREAM = "configuration"
NO_VERSION = -1
#: Seconds that publishing may take.
PUBLISH_TIMEOUT_S = 10.0


@dataclass(slots=True, frozen=True)
class PublishResult:
    """What became of a configuration that an operator published."""

    #: ``accepted``, ``superseded`` or ``rejected``.
    result: str
    #: Version in force.
    version: int
    faults: tuple[str, ...] = ()


class ConfigurationPart(Part):
    """Keeps the configuration in force, and its version.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        super().__init__(node)
        self.version = NO_VERSION
        self._text = ""
        self._listeners = []
        self._read_to = 0
        self._progress = asyncio.Condition()

    def on_change(self, listener):
        """Call ``listener`` with each `Configuration` that comes into force."""
        self._listeners.append(listener)

    def current(self):
        """Return the version in force and its text."""
        return self.version, self._text

    async def publish(self, publish):
        """Publish what an operator sent.

        Returns
        -------
        PublishResult or Outcome
            An outcome when it is not known what became of it.
        """
        try:
            read_configuration(publish.text, "configuration")
        except ConfigurationError as error:
            faults = tuple(str(fault) for fault in error.faults)
            return PublishResult("rejected", self.version, faults)
        record = ConfigurationPublished(
            publish.base_version, publish.author, publish.text
        )
        try:
            offset = await self.node.log_client.append(
                STREAM, record, PUBLISH_TIMEOUT_S
            )
        except AppendError as error:
            if not error.is_absent:
                return Unknown("the platform's log did not say what became of it")
            detail = "the platform's log takes no records now"
            return Refused(RefusalReason.STORE_UNAVAILABLE, detail, 5.0)
        async with self._progress:
            await self._progress.wait_for(lambda: self._read_to > offset)
        result = "accepted" if self.version >= offset else "superseded"
        return PublishResult(result, self.version)

    async def run(self):
        """Follow the stream until cancelled."""
        while True:
            try:
                async for batch in self.node.log_client.follow(STREAM, self._read_to):
                    for entry in batch.entries:
                        self._take(entry.offset, entry.envelope.record)
                    async with self._progress:
                        self._read_to = batch.next_offset
                        self._progress.notify_all()
            except TruncatedError as error:
                self._read_to = error.oldest

    def _take(self, offset, record):
        if record.base_offset != self.version:
            return
        try:
            configuration = read_configuration(record.text, f"{STREAM}@{offset}")
        except ConfigurationError:
            return
        self.version = offset
        self._text = record.text
        for listener in self._listeners:
            listener(configuration)
