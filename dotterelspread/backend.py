"""How an agent hands a request to the backend server beside it.

Variants live in ``backends`` and are found by the scheme of the backend's URL.
"""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from importlib import import_module
from urllib.parse import urlsplit

__all__ = ["Backend", "BackendError", "BackendRequest", "open_backend"]

#: Module of each URL scheme's variant.
MODULES_BY_SCHEME = {"http": "http"}


class BackendError(Exception):
    """The backend server's URL is of no known kind."""


@dataclass(slots=True, frozen=True)
class BackendRequest:
    """A caller's request as the backend server shall get it."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: False when running the request twice does harm.
    is_idempotent: bool = True


class Backend:
    """A connection to one backend server; base of the variants."""

    async def run(self, request, timeout_s):
        """Run ``request`` and return its `Outcome`.

        `Refused` is returned only when no byte of the request was sent. An answer that
        is cut short or does not come within ``timeout_s`` seconds is `Unknown`.
        """
        raise NotImplementedError

    async def is_ready(self):
        """Tell whether the backend server takes connections."""
        raise NotImplementedError


@asynccontextmanager
async def open_backend(url, connections):
    """Yield the `Backend` for ``url``, with so many connections at the most.

    Raises
    ------
    BackendError
        When no variant knows the URL's scheme.
    """
    module_name = MODULES_BY_SCHEME.get(urlsplit(url).scheme)
    if module_name is None:
        known = ", ".join(sorted(MODULES_BY_SCHEME))
        raise BackendError(f"backend {url!r}: scheme must be one of {known}")
    module = import_module(f".backends.{module_name}", __package__)
    async with module.open_backend(url, connections) as backend:
        yield backend
