"""Connections of the daemon's callers: refusals, time limits and requests that run on.

`BoundedListener` takes the place of uvicorn's protocol, which starts a request at the
end of its head and bounds neither what all connections hold nor unread responses.
"""

import asyncio

from .asgihandler import AsgiHandler, AsgiResponse
from .asgireader import AsgiReader
from .h1connection import H1Connection
from .h1server import MIN_EVICTION_AGE_S, H1Limits, H1Listener
from .outcome import RefusalReason, Refused
from .problem import describe_outcome
from .shedding import Holding, choose_shed

__all__ = ["MAX_HEAD_BYTES", "BoundedListener", "BoundedProtocol"]

#: Largest head of a request, with empty lines before it.
MAX_HEAD_BYTES = 32 << 10
#: Least average data rate of a response that a peer does not read at once, in each
#: interval of ``limits.idle_timeout_s``.
MIN_RESPONSE_BYTES_PER_S = 4096
#: Interim response to a caller that waits with its body.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
RETRY_AFTER_S = 1.0


class BoundedProtocol(H1Connection):
    """One connection of a `BoundedListener`.

    A request that is in progress when its caller disconnects runs to its end. Until
    then it stays charged, and counts as a connection.
    """

    __slots__ = ("_is_lost",)

    reader_class = AsgiReader

    def __init__(self, listener, number):
        super().__init__(listener, number)
        self._is_lost = False

    def connection_made(self, transport):
        """Admit or refuse the connection; called by the transport."""
        self._reader.client = transport.get_extra_info("peername")
        self._reader.server = transport.get_extra_info("sockname")
        super().connection_made(transport)
        if not self._is_refused:
            # The first request is expected sooner than those that follow.
            timeout_s = self._listener.limits.read_timeout_s
            self._timer.set(timeout_s, transport.close)

    def connection_lost(self, exc):
        """Release what the connection holds once no request is in progress."""
        if self._handler_task is None:
            super().connection_lost(exc)
            return
        self._is_lost = True
        self._timer.close()
        self._read_ahead = None
        self._charge(self._request_bytes)
        self._listener.note_complete(self)

    def shutdown(self):
        """Close the connection after the request in progress; called by uvicorn."""
        self._listener.is_closing = True
        self.close_if_idle()

    def give_up_response(self):
        """Abort the connection of a peer that does not read its response."""
        self._listener.count_shed("unread_response")
        self._listener.note_complete(self)
        self._read_ahead = None
        self._charge(0)
        self.transport.abort()

    @property
    def unread_bytes(self):
        """Bytes of a response that the peer has not read."""
        return self.transport.get_write_buffer_size()

    def cancel(self):
        """Abort the connection and cancel its request."""
        self.transport.abort()
        if self._handler_task is not None:
            self._handler_task.cancel()

    async def _run_handler(self, request, keep_alive):
        try:
            await super()._run_handler(request, keep_alive)
        except asyncio.CancelledError:
            self._handler_task = None
            raise
        finally:
            if self._is_lost:
                self._handler_task = None
                super().connection_lost(None)

    def _await_rest(self):
        reader = self._reader
        if reader.in_head:
            super()._await_rest()
            return
        self._listener.note_unfinished(self)
        if self._timer.on_time_up != self._on_slow_body:
            timeout_s = self._listener.body_timeout_s
            self._timer.set(timeout_s, self._on_slow_body)
        if reader.awaits_continue and not reader.body_bytes:
            reader.awaits_continue = False
            self.transport.write(CONTINUE)
            if self._is_write_blocked:
                # It has not read its earlier responses.
                self._listener.count_shed("unread_response")
                self.transport.abort()

    def _on_slow_body(self):
        self.refuse(408, "slow_body")

    def _encode_response(self, response, keep_alive):
        return response.encode(keep_alive, self._listener.default_headers)

    def _encode_refusal(self, status, reason):
        refused = self._listener.describe_refusal(status, reason)
        problem = describe_outcome(refused)
        headers = [
            (name.lower().encode("ascii"), value.encode("ascii"))
            for name, value in problem.headers
        ]
        response = AsgiResponse(problem.status, headers, problem.body)
        return response.encode(False, self._listener.default_headers)


class BoundedListener(H1Listener):
    """The connections of the daemon's address, for uvicorn.

    Parameters
    ----------
    application : ASGI application
    limits : LimitSettings
    quota : H1Quota
    shed_log : ShedLog, optional
    """

    connection_class = BoundedProtocol

    def __init__(self, application, limits, quota, shed_log=None):
        h1_limits = H1Limits(
            max_head_bytes=MAX_HEAD_BYTES,
            max_body_bytes=limits.max_body,
            read_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            min_body_bytes_per_s=MIN_RESPONSE_BYTES_PER_S,
            max_connections_per_address=limits.max_connections_per_address,
        )
        super().__init__(AsgiHandler(application), h1_limits, quota, shed_log)
        self.body_timeout_s = limits.body_timeout_s
        self._server_state = None

    @property
    def default_headers(self):
        """Headers that uvicorn adds to each response, such as the date."""
        return self._server_state.default_headers

    def make_protocol(self, config, server_state, app_state, _loop=None):
        """Return the protocol of a new connection; called by uvicorn."""
        if self._server_state is None:
            self._server_state = server_state
            # uvicorn closes these when it shuts down, and waits for their end.
            server_state.connections = self.connections
        return self.make_connection()

    def describe_refusal(self, status, reason):
        """Return the `Refused` for a status of the connection."""
        if status in (429, 503):
            detail = f"too many clients: {reason}"
            return Refused(RefusalReason.SHED, detail, RETRY_AFTER_S)
        if status == 413:
            detail = f"body: over {self.limits.max_body_bytes} bytes"
            return Refused(RefusalReason.TOO_LARGE, detail)
        if status == 431:
            detail = f"head or trailers: over {self.limits.max_head_bytes} bytes"
            return Refused(RefusalReason.TOO_LARGE, detail)
        if reason == "slow_head":
            detail = f"head: not received within {self.limits.read_timeout_s} s"
        elif reason == "slow_body":
            detail = f"body: not received within {self.body_timeout_s} s"
        else:
            detail = "not a valid HTTP request"
        return Refused(RefusalReason.BAD_REQUEST, detail)

    def shed(self):
        """Give up unfinished requests, then responses that have not been read for 1 s.

        A daemon's responses are as large as its backend servers make them, so that a
        few peers could hold the whole share.
        """
        super().shed()
        if self.share.excess_bytes <= 0:
            return
        latest_s = self._loop.time() - MIN_EVICTION_AGE_S
        # Those that were to be closed after their response may still hold it.
        groups = (self._unread, self._lingering)
        connections_by_number = {
            connection.number: connection
            for group in groups
            for connection, since_s in group.items()
            if since_s <= latest_s
        }
        holdings = [
            Holding(number, connection.unread_bytes)
            for number, connection in connections_by_number.items()
        ]
        for holding in choose_shed(holdings, self.share.excess_bytes):
            connections_by_number[holding.number].give_up_response()

    def cancel(self):
        """Abort all connections and cancel their requests."""
        for connection in list(self.connections):
            connection.cancel()
