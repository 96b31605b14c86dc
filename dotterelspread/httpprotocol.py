"""HTTP connections with limits on the size and the read time of requests.

uvicorn limits neither the size of a request's head nor the time to receive it.
"""

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from .outcome import RefusalReason, Refused
from .problem import describe_outcome

__all__ = ["MAX_HEAD_BYTES", "MAX_PIPELINED_REQUESTS", "BoundedProtocol"]

#: Largest head of a request; exceeded by up to one read, as it is checked per read.
MAX_HEAD_BYTES = 32 << 10
#: Most requests that wait behind one in progress on a connection. uvicorn reads on
#: after each response, so that their number would grow without end.
MAX_PIPELINED_REQUESTS = 16
#: Open connections, as a multiple of ``limits.max_connections``, above which new ones
#: are closed without a response.
MAX_CONNECTIONS_RATIO = 1.25
#: Most bytes on the wire per byte of body; chunked encoding adds framing.
MAX_CHUNK_OVERHEAD_RATIO = 8


class PipelineError(Exception):
    """A client has sent too many requests without waiting for responses."""


class BoundedProtocol(HttpToolsProtocol):
    """A caller's connection, closed when a request exceeds the limits.

    Parameters
    ----------
    limits : LimitSettings
    **options
        Passed on to `HttpToolsProtocol`.
    """

    def __init__(self, limits, **options):
        super().__init__(**options)
        self._limits = limits
        self._max_message_bytes = (
            MAX_HEAD_BYTES + limits.max_body * MAX_CHUNK_OVERHEAD_RATIO
        )
        self._head_timer = None
        self._has_received = False
        # Bytes received since the read in which the current request began.
        self._received_bytes = 0

    def connection_made(self, transport):
        """Start the timer for the first head, or close a connection above the limit."""
        super().connection_made(transport)
        max_connections = self._limits.max_connections
        # uvicorn answers requests above the limit with 503, but keeps any number of
        # connections open.
        if len(self.connections) > max_connections * MAX_CONNECTIONS_RATIO:
            transport.close()
            return
        self._start_head_timer()

    def connection_lost(self, exc):
        """Cancel the timer."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse ``data`` and refuse the request when it exceeds the limits."""
        if self.transport.is_closing():
            return
        self._has_received = True
        self._received_bytes += len(data)
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self._head_timer is not None and self._received_bytes > MAX_HEAD_BYTES:
            self._refuse(RefusalReason.TOO_LARGE, f"head: over {MAX_HEAD_BYTES} bytes")
        elif self._received_bytes > self._max_message_bytes:
            detail = f"request: over {self._max_message_bytes} bytes"
            self._refuse(RefusalReason.TOO_LARGE, detail)

    def on_message_begin(self):
        """Start the timer for the head unless it is running."""
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            # The parser ends with an error, and the connection is closed.
            raise PipelineError(f"over {MAX_PIPELINED_REQUESTS} pipelined requests")
        super().on_message_begin()
        self._received_bytes = 0
        if self._head_timer is None:
            self._start_head_timer()

    def on_headers_complete(self):
        """Cancel the timer for the head."""
        self._cancel_head_timer()
        super().on_headers_complete()

    def send_400_response(self, msg):
        """Refuse malformed HTTP."""
        self._refuse(RefusalReason.BAD_REQUEST, msg)

    def _start_head_timer(self):
        timeout_s = self._limits.header_timeout_s
        self._head_timer = self.loop.call_later(timeout_s, self._on_head_timeout)

    def _cancel_head_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self):
        self._head_timer = None
        detail = f"head: not received within {self._limits.header_timeout_s} s"
        self._refuse(RefusalReason.BAD_REQUEST, detail)

    def _refuse(self, reason, detail):
        """Refuse the request being read and close the connection.

        No error response is written while another response is in progress or before the
        first byte was received.
        """
        self._cancel_head_timer()
        is_idle = self.cycle is None or self.cycle.response_complete
        if is_idle and self._has_received:
            self.transport.write(_response(Refused(reason, detail)))
        self.transport.close()


def _response(refused):
    problem = describe_outcome(refused)
    length = ("Content-Length", str(len(problem.body)))
    lines = [
        f"{name}: {value}\r\n".encode("ascii")
        for name, value in (*problem.headers, length, ("Connection", "close"))
    ]
    return b"".join([STATUS_LINE[problem.status], *lines, b"\r\n", problem.body])
