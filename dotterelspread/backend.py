"""Interface through which an agent forwards requests to its backend server.

Implementations are modules of ``backends``, selected by the scheme of the URL.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from importlib import import_module
from urllib.parse import urlsplit

__all__ = ["Backend", "BackendError", "BackendRequest", "open_backend"]

#: Module that implements each URL scheme.
MODULES_BY_SCHEME = {"http": "http"}


class BackendError(Exception):
    """The URL of the backend server has an unsupported scheme."""


@dataclass(slots=True, frozen=True)
class BackendRequest:
    """A caller's request in the form sent to the backend server."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: False when the request must not be executed twice.
    is_idempotent: bool = True


class Backend:
    """Client of one backend server; base class of the implementations."""

    async def run(self, request, timeout_s):
        """Run ``request`` and return its `Outcome`.

        `Refused` is returned only when no byte of the request was sent. An answer that
        is truncated or not complete within ``timeout_s`` seconds is `Unknown`.
        """
        raise NotImplementedError

    async def is_ready(self):
        """Return whether the backend server accepts connections."""
        raise NotImplementedError


@asynccontextmanager
async def open_backend(url, connections):
    """Yield the `Backend` for ``url`` with at most ``connections`` connections.

    Raises
    ------
    BackendError
        When the scheme of the URL is not supported.
    """
    module_name = MODULES_BY_SCHEME.get(urlsplit(url).scheme)
    if module_name is None:
        known = ", ".join(sorted(MODULES_BY_SCHEME))
        raise BackendError(f"backend {url!r}: scheme must be one of {known}")
    module = import_module(f".backends.{module_name}", __package__)
    async with module.open_backend(url, connections) as backend:
        yield backend
