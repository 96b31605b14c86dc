"""Connection of the HTTP/1.1 server: states, timers and back-pressure."""

import asyncio

from .h1messages import H1Response, encode_refusal, encode_response
from .h1reader import REASONS_BY_STATUS, H1Reader
from .h1timer import StateTimer

__all__ = ["H1Connection"]

#: Size of a read. All connections read into one buffer, since what was read is parsed
#: or copied at once.
READ_BYTES = 65_536
#: Time for which a refused peer may go on sending, so that it reads the response and
#: does not lose it to a reset, and most bytes that are discarded meanwhile.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1_048_576

_buffer = bytearray(READ_BYTES)
_view = memoryview(_buffer)


class H1Connection(asyncio.BufferedProtocol):
    """One connection of an `H1Listener`.

    At most one request is in progress. What arrives meanwhile is kept unparsed, at most
    one read of it.
    """

    __slots__ = (
        "_charged_bytes",
        "_closes_after_response",
        "_handler_task",
        "_is_refused",
        "_is_write_blocked",
        "_linger_bytes",
        "_listener",
        "_loop",
        "_read_ahead",
        "_reader",
        "_request_bytes",
        "_share",
        "_timer",
        "address",
        "group",
        "number",
        "transport",
    )

    #: Class of the reader of requests, and encoder of responses.
    reader_class = H1Reader
    _encode_response = staticmethod(encode_response)

    def __init__(self, listener, number):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._reader = self.reader_class(listener.limits)
        self._charged_bytes = 0
        self._closes_after_response = False
        self._handler_task = None
        self._is_refused = False
        self._is_write_blocked = False
        self._linger_bytes = 0
        #: Bytes received during a request, and index of the first that is not parsed.
        self._read_ahead = None
        #: Bytes held for the request, or for its response while the peer does not read.
        self._request_bytes = 0
        self._share = listener.share
        self._timer = StateTimer(self._loop)
        #: Address of the peer if connections are counted by address.
        self.address = None
        #: Connections in the same state; kept by the listener.
        self.group = None
        #: Rank of the connection by the time at which it was opened.
        self.number = number
        self.transport = None

    @property
    def is_in_progress(self):
        """Whether the handler runs."""
        return self._handler_task is not None

    @property
    def sheddable_bytes(self):
        """Bytes of a request that is unfinished, or of what follows another one."""
        if self._read_ahead is not None:
            return len(self._read_ahead[0])
        is_unfinished = self._handler_task is None and not self._is_write_blocked
        return self._request_bytes if is_unfinished else 0

    def connection_made(self, transport):
        """Admit or refuse the connection; called by the transport."""
        self.transport = transport
        # Any byte that the kernel does not take pauses the connection.
        transport.set_write_buffer_limits(0)
        refusal = self._listener.admit(self)
        if refusal is not None:
            self._is_refused = True
            transport.write(self._encode_refusal(*refusal))
            transport.close()
            return
        self._timer.set(self._listener.limits.idle_timeout_s, self.transport.close)

    def connection_lost(self, exc):
        """Release all that the connection holds; called by the transport."""
        self._timer.close()
        self._read_ahead = None
        self._charge(0)
        self._reader.close()
        self._listener.remove(self)
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self):
        """Wait for the peer to read; called by the transport."""
        self._is_write_blocked = True
        self._charge(self.transport.get_write_buffer_size())
        if not self._is_refused:
            self._listener.note_unread(self)
        self._timer.set(self._listener.limits.idle_timeout_s, self._on_unread_response)

    def resume_writing(self):
        """Go on after the peer has read the response; called by the transport."""
        self._is_write_blocked = False
        self._charge(0)
        if not self.transport.is_closing() and not self._is_refused:
            self._await_request()

    def get_buffer(self, sizehint):
        """Return the buffer for the next read; called by the transport."""
        return _view

    def buffer_updated(self, nbytes):
        """Take a read of ``nbytes``; called by the transport."""
        if self.transport.is_closing():
            return
        if self._is_refused:
            self._linger_bytes += nbytes
            if self._linger_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
        elif self._handler_task is not None or self._is_write_blocked:
            self._keep_read_ahead(bytes(_view[:nbytes]), 0)
        else:
            self._read(_buffer, 0, nbytes)

    def _read(self, data, start, end):
        reader = self._reader
        start = reader.feed(data, start, end)
        if reader.error_status:
            self.refuse(reader.error_status, REASONS_BY_STATUS[reader.error_status])
            return
        self._charge(reader.held_bytes)
        if reader.is_complete:
            # Unfinished requests are given up first.
            self._listener.note_complete(self)
        else:
            self._await_rest()
        if self._share.used_bytes > self._share.max_bytes:
            self._listener.shed()
            if self._is_refused:
                return
            if reader.is_complete and self._share.excess_bytes > 0:
                # Other requests in progress hold the whole share; this one never runs.
                self.refuse(503, "memory")
                return
        if reader.is_complete:
            self._start_handler()
            if start < end:
                if data is _buffer:
                    data, start = bytes(_view[start:end]), 0
                self._keep_read_ahead(data, start)

    def _start_handler(self):
        self._timer.cancel()
        request, keep_alive = self._reader.take(self._loop.time())
        run = self._run_handler(request, keep_alive)
        self._handler_task = asyncio.ensure_future(run)

    def _keep_read_ahead(self, data, start):
        if self._closes_after_response:
            return
        self._read_ahead = (data, start)
        self._charge(self._request_bytes)
        if not self._is_write_blocked:
            self._listener.note_unfinished(self)
        self.transport.pause_reading()
        if self._share.used_bytes > self._share.max_bytes:
            self._listener.shed()

    async def _run_handler(self, request, keep_alive):
        try:
            response = await self._listener.handler(request)
        except Exception:
            self._send(H1Response(500), False)
            raise
        self._handler_task = None
        self._charge(0)
        if self.transport.is_closing():
            return
        keep_alive &= not (self._listener.is_closing or self._closes_after_response)
        self._send(response, keep_alive)
        if keep_alive and not self._is_write_blocked:
            self._await_request()

    def _await_request(self):
        """Go on with what was read ahead, or wait for the next request."""
        # Also with bytes read ahead, which may be no more than an empty line.
        self._listener.note_idle(self)
        self._timer.set(self._listener.limits.idle_timeout_s, self.transport.close)
        if self._read_ahead is None:
            return
        (data, start), self._read_ahead = self._read_ahead, None
        self._read(data, start, len(data))
        if self._read_ahead is None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _await_rest(self):
        """Set the timer for the rest of an unfinished request."""
        reader = self._reader
        if not reader.has_begun:
            return
        on_time_up = self._on_slow_head if reader.in_head else self._on_body_window
        self._listener.note_unfinished(self)
        if self._timer.on_time_up != on_time_up:
            self._timer.set(self._listener.limits.read_timeout_s, on_time_up)

    def shed(self):
        """Give up what has not begun to run, to free memory."""
        if self._handler_task is None and not self._is_write_blocked:
            self.refuse(503, "memory")
            return
        # What is in progress is finished; what follows never runs.
        self._listener.count_shed("memory")
        self._listener.note_complete(self)
        self._closes_after_response = True
        self._read_ahead = None
        self._charge(self._request_bytes)
        if self._handler_task is None:
            self._listener.note_lingering(self)
            self.transport.close()

    def evict(self):
        """Close the connection to make room for another one."""
        if self._reader.has_begun and not self._is_write_blocked:
            self.refuse(503, "connections")
            return
        if not self._is_refused:
            self._listener.count_shed("connections")
        self._listener.note_complete(self)
        self.transport.abort()

    def refuse(self, status, reason):
        """Give up the request that is being read, which never runs, and close.

        Parameters
        ----------
        status : int
            Status of the response.
        reason : str
            Reason under which the connection is counted.
        """
        self._is_refused = True
        self._listener.count_shed(reason)
        self._listener.note_lingering(self)
        self._reader.clear()
        self._read_ahead = None
        self._charge(0)
        if self.transport.is_closing():
            return
        self.transport.write(self._encode_refusal(status, reason))
        self.transport.resume_reading()
        self.transport.write_eof()
        self._timer.set(LINGER_S, self.transport.abort)

    def close_if_idle(self):
        """Close the connection unless a request is in progress or being read."""
        if not (self._handler_task or self._read_ahead or self._reader.has_begun):
            self.transport.close()

    def _send(self, response, keep_alive):
        self.transport.write(self._encode_response(response, keep_alive))
        if not keep_alive:
            self.transport.close()

    def _encode_refusal(self, status, reason):
        return encode_refusal(status)

    def _charge(self, request_bytes):
        self._request_bytes = held_bytes = request_bytes
        if self._read_ahead is not None:
            held_bytes += len(self._read_ahead[0])
        self._share.used_bytes += held_bytes - self._charged_bytes
        self._charged_bytes = held_bytes

    def _on_slow_head(self):
        self.refuse(408, "slow_head")

    def _on_body_window(self):
        limits = self._listener.limits
        min_bytes = limits.min_body_bytes_per_s * limits.read_timeout_s
        if self._reader.take_progress_bytes() < min_bytes:
            self.refuse(408, "slow_body")
        else:
            self._timer.set(limits.read_timeout_s, self._on_body_window)

    def _on_unread_response(self):
        limits = self._listener.limits
        left_bytes = self.transport.get_write_buffer_size()
        read_bytes = self._request_bytes - left_bytes
        if read_bytes < limits.min_body_bytes_per_s * limits.idle_timeout_s:
            self._listener.count_shed("unread_response")
            self.transport.abort()
        else:
            self._charge(left_bytes)
            self._timer.set(limits.idle_timeout_s, self._on_unread_response)
