"""Common part of both sides of a connection between processes."""

import asyncio
from dataclasses import dataclass

from .frame import FrameError, FrameReader

__all__ = ["PeerError", "PeerProtocol", "TrafficCount"]


class PeerError(Exception):
    """A call to a peer returned no value."""


@dataclass(slots=True)
class TrafficCount:
    """Bytes and messages exchanged between this process and its peers."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_messages: int = 0
    received_messages: int = 0


class PeerProtocol(asyncio.Protocol):
    """Splits a connection into frames; subclasses handle each frame."""

    def __init__(self, traffic):
        self.transport = None
        self.reader = FrameReader()
        self._traffic = traffic

    def connection_made(self, transport):
        """Keep the transport; called by it."""
        self.transport = transport

    def data_received(self, data):
        """Handle the frames that are complete; called by the transport."""
        self._traffic.received_bytes += len(data)
        try:
            for frame in self.reader.feed(data):
                self._traffic.received_messages += 1
                self.frame_received(frame)
        except FrameError:
            self.transport.abort()

    def frame_received(self, frame):
        """Handle one frame."""
        raise NotImplementedError

    def send(self, frame):
        """Send one frame."""
        self._traffic.sent_bytes += len(frame)
        self._traffic.sent_messages += 1
        self.transport.write(frame)
