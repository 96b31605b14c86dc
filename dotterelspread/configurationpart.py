"""Follows the configuration in force in a process, and publishes new versions."""

import asyncio
import random
from dataclasses import dataclass

from .configreader import ConfigurationError, read_configuration
from .gen.peer.ttypes import ConfigurationQuery, ConfigurationReply
from .jsonlog import log_change
from .logclient import AppendError
from .node import Part
from .outcome import RefusalReason, Refused, Unknown
from .peer import PeerError
from .publication import (
    STREAM,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationReceived,
    PublicationFate,
    PublicationState,
    VersionRead,
    reconcile,
)
from .record import ConfigurationPublished
from .replicapart import ReplicaPart

__all__ = ["ConfigurationPart", "PublishResult"]

#: Limit for appending a publication; reading it back may take as long again.
PUBLISH_TIMEOUT_S = 10.0
QUERY_TIMEOUT_S = 2.0
#: Longest interval between checks that the stream still has the version in force.
MAX_RECONCILE_INTERVAL_S = 60.0
READ_BACK_POLL_INTERVAL_S = 0.02


@dataclass(slots=True, frozen=True)
class PublishResult:
    """Result of publishing a configuration."""

    #: ``accepted``, ``superseded`` or ``rejected``.
    result: str
    #: Version in force.
    version: int
    faults: tuple[str, ...] = ()


class ConfigurationPart(Part):
    """Keeps the configuration in force and its version.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        super().__init__(node)
        parse = (read_configuration, ConfigurationError)
        self.state = ConfigurationInForce(*parse, node.now_s())
        self._change_listeners = []
        self._fetching_addresses = set()
        self.replica = ReplicaPart(
            node, STREAM, lambda: PublicationState(*parse), self._take_stream_effect
        )

    @property
    def version(self):
        """Version in force; -1 when there is none."""
        return self.state.number

    @property
    def is_ready(self):
        """Whether the process may serve requests with the version in force."""
        return self.state.is_ready(self.node.now_s(), self.replica.state.is_ready)

    def on_change(self, listener):
        """Register a function to call with each `Version` that comes into force."""
        self._change_listeners.append(listener)

    def handlers_by_method(self):
        """Return the handlers of peer calls about configurations."""
        return {"configuration": self._configuration}

    def current(self):
        """Return the version in force and its text; empty text when there is none."""
        version = self.state.version
        return self.version, version.text if version else ""

    async def run(self):
        """Append a version that the stream lost again, at random intervals."""
        rng = random.Random(self.node.incarnation)
        while True:
            await asyncio.sleep(
                rng.uniform(MAX_RECONCILE_INTERVAL_S / 2, MAX_RECONCILE_INTERVAL_S)
            )
            for effect in reconcile(self.replica.state, self.state):
                self.replica.perform(effect)

    def perform(self, effect):
        """Log a `ConfigurationChanged` and notify the listeners."""
        log_change("configuration in force", version=effect.version.number)
        for listener in self._change_listeners:
            listener(effect.version)

    def fetch(self, address):
        """Fetch a peer's configuration in the background, unless a fetch is running."""
        if address not in self._fetching_addresses:
            self._fetching_addresses.add(address)
            self.node.spawn(self._fetch(address))

    async def publish(self, publish):
        """Publish a configuration that an operator sent.

        Returns
        -------
        PublishResult or Outcome
            An outcome when it was not published, or when that is not known.
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
            async with asyncio.timeout(2 * PUBLISH_TIMEOUT_S):
                offset = await self.node.log_client.append(
                    STREAM, record, PUBLISH_TIMEOUT_S
                )
                return await self._read_back(offset)
        except (AppendError, TimeoutError) as error:
            return _publish_failure(error)

    async def _read_back(self, offset):
        stream_replica = self.replica.state
        while stream_replica.next_offset <= offset:
            await asyncio.sleep(READ_BACK_POLL_INTERVAL_S)
        fate = stream_replica.state.result_at(offset).fate
        if fate is PublicationFate.UNKNOWN:
            return Unknown("the result of the publication is not known")
        accepted = fate is PublicationFate.ACCEPTED
        return PublishResult("accepted" if accepted else "superseded", self.version)

    def _take_stream_effect(self, effect):
        if isinstance(effect, VersionRead):
            self.dispatch(ConfigurationAccepted(self.node.now_s(), effect.version))

    async def _fetch(self, address):
        query = ConfigurationQuery(self.version)
        try:
            reply = await self.node.pool.call(
                address, "configuration", query, QUERY_TIMEOUT_S
            )
        except PeerError:
            return
        finally:
            self._fetching_addresses.discard(address)
        received = ConfigurationReceived(
            self.node.now_s(), reply.version, reply.text or ""
        )
        self.dispatch(received)

    async def _configuration(self, query):
        number, text = self.current()
        if number <= (-1 if query.above_version is None else query.above_version):
            return ConfigurationReply(version=-1, text="")
        return ConfigurationReply(version=number, text=text)


def _publish_failure(error):
    if isinstance(error, AppendError) and error.is_absent:
        detail = "the platform's log takes no records"
        return Refused(RefusalReason.STORE_UNAVAILABLE, detail, retry_after_s=5.0)
    return Unknown("the platform's log did not confirm the publication")
