"""Reading of HTTP request bodies with limits on size and time."""

import asyncio

from starlette.requests import ClientDisconnect

from .outcome import RefusalReason, Refused

__all__ = ["BodyError", "read_body"]


class BodyError(Exception):
    """A request body is too large, too slow or incomplete; nothing was run.

    Parameters
    ----------
    reason : RefusalReason
        Reason that is reported to the caller.
    detail : str
    """

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.refused = Refused(reason, detail)


async def read_body(request, limits):
    """Return the complete body of a Starlette request.

    Raises
    ------
    BodyError
        When it exceeds ``limits.max_body`` bytes or ``limits.body_timeout_s`` seconds,
        or the caller disconnects.
    """
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > limits.max_body:
                    detail = f"body: over {limits.max_body} bytes"
                    raise BodyError(RefusalReason.TOO_LARGE, detail)
                chunks.append(chunk)
    except ClientDisconnect as error:
        detail = "body: the caller closed its connection"
        raise BodyError(RefusalReason.BAD_REQUEST, detail) from error
    except TimeoutError as error:
        detail = f"body: not received within {limits.body_timeout_s} s"
        raise BodyError(RefusalReason.BAD_REQUEST, detail) from error
    return b"".join(chunks)
