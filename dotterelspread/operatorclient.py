"""HTTP client of the operator API, used by the command-line tool."""

import http.client
import json
from dataclasses import dataclass
from urllib.parse import quote, urlsplit

__all__ = [
    "ReplyLostError",
    "OperatorClient",
    "OperatorClientError",
    "Reply",
    "UnreachableError",
]

MAX_REPLY_BYTES = 64 << 20
PROBLEM_TYPE = "application/problem+json"
_CONNECTION_TYPES = {
    "http": http.client.HTTPConnection,
    "https": http.client.HTTPSConnection,
}


class OperatorClientError(Exception):
    """A request to an entry failed or could not be made."""


class UnreachableError(OperatorClientError):
    """Connecting to the entry failed, so nothing was sent."""


class ReplyLostError(OperatorClientError):
    """The request was sent, but no complete, valid answer arrived."""


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer of an entry."""

    status: int
    #: The JSON document; a problem document when `is_problem`.
    document: object
    is_problem: bool = False


class OperatorClient:
    """Sends one request at a time to the operator API of an entry.

    Parameters
    ----------
    url : str
        HTTP URL of the entry.
    timeout_s : float
        Timeout of connecting, and of each read or write on the connection.

    Raises
    ------
    OperatorClientError
        When ``url`` is not an HTTP URL.
    """

    def __init__(self, url, timeout_s):
        try:
            parts = urlsplit(url)
            self._connection_type = _CONNECTION_TYPES[parts.scheme]
            self._host_and_port = (parts.hostname, parts.port)
        except (KeyError, ValueError) as error:
            raise OperatorClientError(f"not an HTTP URL: {url!r}") from error
        self._prefix = parts.path.rstrip("/")
        self._timeout_s = timeout_s
        #: URL of the entry, for messages.
        self.url = url

    def get(self, *segments):
        """Return the `Reply` to a GET; see `send`."""
        return self.send("GET", segments)

    def send(self, method, segments, document=None, headers=()):
        """Send a request and return its `Reply`.

        Parameters
        ----------
        method : str
        segments : tuple of str
            Path segments below ``/v1``; this method quotes them.
        document : object, optional
            Body, sent as JSON.
        headers : iterable of (str, str)

        Raises
        ------
        UnreachableError
            When no connection could be made; nothing was sent.
        LostError
            When it is not known whether the request took effect.
        """
        connection = self._connection_type(
            *self._host_and_port, timeout=self._timeout_s
        )
        try:
            try:
                connection.connect()
            except OSError as error:
                raise UnreachableError(f"{self.url}: {error}") from error
            return self._exchange(connection, method, segments, document, headers)
        except (OSError, http.client.HTTPException) as error:
            raise ReplyLostError(
                f"{self.url}: {error or type(error).__name__}"
            ) from error
        finally:
            connection.close()

    def _exchange(self, connection, method, segments, document, headers):
        path = "/".join(["v1", *(quote(segment, safe="") for segment in segments)])
        body = None if document is None else json.dumps(document).encode()
        all_headers = {"Accept": "application/json", **dict(headers)}
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        connection.request(method, f"{self._prefix}/{path}", body, all_headers)
        response = connection.getresponse()
        data = response.read(MAX_REPLY_BYTES + 1)
        if len(data) > MAX_REPLY_BYTES:
            raise ReplyLostError(
                f"{self.url}: answer larger than {MAX_REPLY_BYTES} bytes"
            )
        media_type = (response.getheader("Content-Type") or "").partition(";")[0]
        return self._read(response.status, media_type.strip(), data)

    def _read(self, status, media_type, data):
        try:
            document = json.loads(data)
        except (ValueError, RecursionError) as error:
            message = f"{self.url}: status {status} without JSON: {data[:80]!r}"
            raise ReplyLostError(message) from error
        is_problem = media_type == PROBLEM_TYPE and isinstance(document, dict)
        return Reply(status, document, is_problem)
