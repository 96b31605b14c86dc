"""Simulated calls between processes on virtual time."""

import asyncio
import enum

from dotterelspread.frame import (
    MAX_LIST_ELEMENTS,
    FrameError,
    FrameReader,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from dotterelspread.peer import PeerLostError, PeerTimeoutError, PeerUnsentError

__all__ = ["CallOutcome", "Network"]

#: Delay of a late call, which is longer than a lease.
LATE_DELIVERY_S = 5.0


class CallOutcome(enum.Enum):
    """Outcome of a simulated call."""

    ANSWERED = enum.auto()
    NOT_DELIVERED = enum.auto()
    REPLY_LOST = enum.auto()
    #: Executed after `Network.late_delivery_s`, without a reply.
    LATE = enum.auto()


class Network:
    """Simulated calls between processes with delays, partitions and lost replies."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.handlers_by_address = {}
        self.partitioned = set()
        #: Pairs of addresses, as frozensets, that cannot reach each other.
        self.cut_pairs = set()
        #: Addresses of instances without power, to which no connection can be opened.
        self.powered_off = set()
        self.loss = 0.0
        self.late_delivery_s = LATE_DELIVERY_S
        #: Whether orders to agents are not delivered.
        self.lost_orders = False

    def outcome_of(self, method):
        """Draw the `CallOutcome` of a call."""
        if self.lost_orders and method in ("start_run", "stop_run"):
            return CallOutcome.NOT_DELIVERED
        is_lost = self.fleet.rng.random() < self.loss
        return CallOutcome.REPLY_LOST if is_lost else CallOutcome.ANSWERED

    def deliver_late(self, handler, argument):
        """Deliver a call after `late_delivery_s` and discard the reply."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.late_delivery_s, lambda: loop.create_task(handler(argument))
        )

    def is_partitioned(self, left, right):
        is_cut = frozenset({left, right}) in self.cut_pairs
        return is_cut or left in self.partitioned or right in self.partitioned

    def pool(self, address):
        return _VirtualPool(self, address)


def _check_frame(frame, decode):
    """Raise an error if the peer would close the connection at a frame."""
    if len(frame) <= MAX_LIST_ELEMENTS:
        # It is below all limits, and decoding takes time.
        return
    try:
        for message in FrameReader().feed(frame):
            decode(message)
    except FrameError as error:
        raise PeerLostError(str(error)) from error


class _VirtualPool:
    def __init__(self, network, address):
        self.network = network
        self.address = address

    def replace_connection(self, address, abort=False):
        """Do nothing, since there are no real connections."""

    async def call(self, address, method, argument, timeout_s, on_sent=None):
        network = self.network
        rng = network.fleet.rng
        await asyncio.sleep(0.001 * (0.5 + rng.random()))
        if address in network.powered_off:
            await asyncio.sleep(timeout_s)
            raise PeerUnsentError("instance powered off")
        if on_sent is not None:
            on_sent()
        _check_frame(encode_call(method, 0, argument), decode_call)
        if network.is_partitioned(self.address, address):
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError("network partition")
        handlers = network.handlers_by_address.get(address)
        if handlers is None:
            raise PeerUnsentError("connection refused")
        outcome = network.outcome_of(method)
        if outcome is CallOutcome.LATE:
            network.deliver_late(handlers[method], argument)
        if outcome in (CallOutcome.NOT_DELIVERED, CallOutcome.LATE):
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError("call lost")
        work = asyncio.ensure_future(handlers[method](argument))
        if outcome is CallOutcome.REPLY_LOST:
            await asyncio.sleep(timeout_s)
            raise PeerLostError("reply lost")
        try:
            async with asyncio.timeout(timeout_s):
                reply = await asyncio.shield(work)
        except TimeoutError:
            raise PeerTimeoutError("no reply in time") from None
        if network.is_partitioned(self.address, address):
            raise PeerLostError("network partition during the call")
        _check_frame(encode_reply(method, 0, reply), decode_reply)
        await asyncio.sleep(0.0005)
        return reply
