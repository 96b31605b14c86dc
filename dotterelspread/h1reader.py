"""Incremental reader of HTTP/1.1 requests with limits on their size.

Parsing is left to ``httptools``, which parses all the bytes that it is given. The
reader therefore gives it no more than one message at a time.
"""

from urllib.parse import unquote

import httptools

from .h1messages import H1Request

__all__ = ["REASONS_BY_STATUS", "H1Reader"]

#: Reasons under which refusals are counted.
REASONS_BY_STATUS = {400: "malformed", 413: "large_body", 431: "large_head"}

#: Each message ends with an empty line or with a body of announced length.
EMPTY_LINE = b"\n\r\n"
#: Approximate memory of a header's two strings and its place in the table, in addition
#: to its characters.
HEADER_OVERHEAD_BYTES = 200
#: Most bytes on the wire per byte of body; chunked encoding adds framing.
MAX_CHUNK_OVERHEAD_RATIO = 8


class H1Reader:
    """Reads the requests of one connection, one after the other.

    Parameters
    ----------
    limits : H1Limits
    """

    __slots__ = (
        "_body",
        "_content_bytes",
        "_headers",
        "_header_cost_bytes",
        "_keep_alive",
        "_limits",
        "_method",
        "_parser",
        "_progress_bytes",
        "_tail",
        "_unproductive_bytes",
        "_url",
        "body_bytes",
        "error_status",
        "has_begun",
        "in_head",
        "is_complete",
        "wire_bytes",
    )

    def __init__(self, limits):
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self.clear()

    def clear(self):
        """Forget the current request; the next byte begins another."""
        self._body = b""
        self._content_bytes = None
        self._headers = {}
        self._header_cost_bytes = 0
        self._keep_alive = False
        self._method = ""
        self._progress_bytes = 0
        self._tail = b""
        self._unproductive_bytes = 0
        self._url = b""
        #: Bytes of the body so far.
        self.body_bytes = 0
        #: Status with which the request has to be refused; 0 for none.
        self.error_status = 0
        #: Whether anything but empty lines was read.
        self.has_begun = False
        self.in_head = True
        self.is_complete = False
        #: Bytes read since the end of the last message.
        self.wire_bytes = 0

    def close(self):
        """Release the parser, which refers to this object."""
        self._parser = None

    @property
    def held_bytes(self):
        """Approximate memory that the current request takes."""
        if not self.has_begun:
            # Empty lines are not kept.
            return 0
        if self.in_head:
            return self.wire_bytes + self._header_cost_bytes
        return len(self._url) + self._header_cost_bytes + self.body_bytes

    def feed(self, data, start, end):
        """Read up to the end of the current request.

        Parameters
        ----------
        data : bytes or bytearray
        start, end : int

        Returns
        -------
        int
            Index of the first byte that was not read. It is less than ``end`` when the
            request is complete or has to be refused.
        """
        view = memoryview(data)
        first, tail = start, self._tail
        while start < end:
            stop = self._next_stop(data, start, end)
            body_bytes = self.body_bytes
            try:
                self._parser.feed_data(view[start:stop])
            except httptools.HttpParserUpgrade:
                self._on_upgrade()
            except httptools.HttpParserError:
                self.error_status = self.error_status or 400
            read_bytes = stop - start
            self.wire_bytes += read_bytes
            start = stop
            if self.error_status or self.is_complete:
                return start
            if self.body_bytes > body_bytes:
                self._unproductive_bytes = 0
            else:
                self._unproductive_bytes += read_bytes
            self._check()
            if self.error_status:
                return start
        self._tail = (tail + bytes(view[max(first, end - 2) : end]))[-2:]
        return start

    def _next_stop(self, data, start, end):
        if self.in_head:
            allowed_bytes = self._limits.max_head_bytes - self.wire_bytes + 1
            if end - start > allowed_bytes:
                end = start + max(1, allowed_bytes)
        elif self._content_bytes is not None:
            return min(end, start + self._content_bytes - self.body_bytes)
        if self._tail:
            # The empty line may have begun in an earlier read.
            tail, self._tail = self._tail, b""
            joined = tail + bytes(data[start : min(end, start + 2)])
            index = joined.find(EMPTY_LINE)
            if index >= 0:
                return start + index + len(EMPTY_LINE) - len(tail)
        index = data.find(EMPTY_LINE, start, end)
        return end if index < 0 else index + len(EMPTY_LINE)

    def _check(self):
        limits = self._limits
        if self.in_head:
            if self.wire_bytes > limits.max_head_bytes:
                self.error_status = 431
        elif self._content_bytes is not None:
            return
        elif self._unproductive_bytes > limits.max_head_bytes:
            # Trailers or chunk extensions.
            self.error_status = 431
        else:
            max_body_bytes = limits.max_body_bytes * MAX_CHUNK_OVERHEAD_RATIO
            if self.wire_bytes > limits.max_head_bytes + max_body_bytes:
                self.error_status = 413

    def _on_upgrade(self):
        """Refuse a request to change the protocol of the connection."""
        self.error_status = self.error_status or 400

    def take(self, received_s):
        """Return the complete request and whether the connection may stay open."""
        request = H1Request(
            self._method,
            unquote(self._url.split(b"?", 1)[0].decode("latin-1")),
            self._headers,
            bytes(self._body),
            received_s,
            self._url.decode("latin-1"),
        )
        keep_alive = self._keep_alive
        self.clear()
        return request, keep_alive

    def take_progress_bytes(self):
        """Return the bytes of the body that were read since the last call."""
        progress_bytes = self.body_bytes - self._progress_bytes
        self._progress_bytes = self.body_bytes
        return progress_bytes

    def on_message_begin(self):
        """Note the first byte of a message; called by the parser."""
        self.has_begun = True

    def on_url(self, url):
        """Collect the target; called by the parser."""
        self._url += url

    def on_header(self, name, value):
        """Collect a header; called by the parser. Trailers are ignored."""
        if not self.in_head:
            return
        self._header_cost_bytes += HEADER_OVERHEAD_BYTES + len(name) + len(value)
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        """End the head; called by the parser."""
        self.in_head = False
        length = self._headers.get("content-length")
        if length is not None:
            self._content_bytes = int(length)
            if self._content_bytes > self._limits.max_body_bytes:
                self.error_status = 413

    def on_body(self, chunk):
        """Append to the body; called by the parser."""
        self.body_bytes += len(chunk)
        if self.body_bytes > self._limits.max_body_bytes:
            self.error_status = self.error_status or 413
            return
        # One buffer instead of a list of chunks: an object for each would take many
        # times the memory of a small chunk.
        if not self._body:
            self._body = chunk
        elif isinstance(self._body, bytes):
            self._body = bytearray(self._body)
            self._body += chunk
        else:
            self._body += chunk

    def on_message_complete(self):
        """Note the end of the message; called by the parser."""
        # The parser forgets both after this call.
        self._method = self._parser.get_method().decode("ascii")
        self._keep_alive = self._parser.should_keep_alive()
        self.is_complete = True
