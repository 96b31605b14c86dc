"""Appends to one stream: performs the effects of `appending`."""

import asyncio
import itertools

from .appendmessages import (
    AppendCancelled,
    AppendDropped,
    AppendFailed,
    AppendFailure,
    AppendReplied,
    AppendRequested,
    AppendSent,
    AppendSettled,
    BackReadFailed,
    BackReadReplied,
    BackReadSent,
    BackReadTruncated,
    CommitDue,
    CommitTimerStarted,
    TailLocated,
    TailRequested,
)
from .log import (
    LogError,
    LogRejectedError,
    LogUnavailableError,
    LogUncertainError,
    TruncatedError,
)
from .reducer import reduce

__all__ = ["READ_BYTES", "AppendError", "Appender"]

#: Bytes that one read asks for.
READ_BYTES = 256 << 10

FAILURES_BY_ERROR = {
    LogUnavailableError: AppendFailure.NOT_WRITTEN,
    LogRejectedError: AppendFailure.REJECTED,
    LogUncertainError: AppendFailure.UNCERTAIN,
}


class AppendError(LogError):
    """An append was abandoned.

    Parameters
    ----------
    is_absent : bool
        True when the record is not in the stream and never will be; False when it
        may have been written or may still be written.
    """

    def __init__(self, detail, is_absent):
        super().__init__(detail)
        self.is_absent = is_absent


class Appender:
    """Appends to one stream: a `StreamWriter` with its timers and calls."""

    __slots__ = (
        "calls",
        "clock",
        "futures_by_token",
        "log",
        "stream",
        "tokens",
        "writer",
    )

    def __init__(self, log, stream, writer, clock):
        self.log = log
        self.stream = stream
        self.writer = writer
        self.clock = clock
        self.calls = set()
        self.futures_by_token = {}
        self.tokens = itertools.count()

    async def append(self, record, timeout_s):
        """Append ``record`` and return its offset, or raise `AppendError`."""
        token = next(self.tokens)
        future = asyncio.get_running_loop().create_future()
        self.futures_by_token[token] = future
        try:
            self._apply(AppendRequested(self.clock(), token, record))
            await asyncio.wait((future,), timeout=timeout_s)
        except asyncio.CancelledError:
            future.cancel()
            self._apply(AppendCancelled(self.clock(), token))
            raise
        finally:
            if not future.done():
                self._apply(AppendCancelled(self.clock(), token))
            self.futures_by_token.pop(token, None)
        return future.result()

    async def close(self):
        """Cancel all calls; pending records are left without a result."""
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)

    def _apply(self, event):
        for effect in reduce(event, self.writer):
            self._perform(effect)

    def _perform(self, effect):
        match effect:
            case CommitTimerStarted(delay_s=delay_s):
                self._start(self._sleep(delay_s))
            case AppendSent():
                self._start(self._send(effect))
            case TailRequested(attempt=attempt):
                self._start(self._locate(attempt))
            case BackReadSent():
                self._start(self._read_back(effect))
            case AppendSettled(token=token, offset=offset):
                self._finish(token, offset)
            case AppendDropped(token=token, detail=detail, is_absent=is_absent):
                self._finish(token, AppendError(detail, is_absent))

    def _finish(self, token, result):
        future = self.futures_by_token.pop(token, None)
        if future is None or future.done():
            return
        if isinstance(result, AppendError):
            future.set_exception(result)
        else:
            future.set_result(result)

    def _start(self, call):
        task = asyncio.get_running_loop().create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def _sleep(self, delay_s):
        await asyncio.sleep(delay_s)
        self._apply(CommitDue(self.clock()))

    async def _send(self, effect):
        try:
            extent = await self.log.append(self.stream, (effect.data,))
        except LogError as error:
            failure = FAILURES_BY_ERROR.get(type(error), AppendFailure.UNCERTAIN)
            self._apply(AppendFailed(self.clock(), effect.attempt, failure))
        else:
            self._apply(AppendReplied(self.clock(), effect.attempt, extent))

    async def _locate(self, attempt):
        try:
            extent = await self.log.extent(self.stream)
        except LogError:
            failure = AppendFailure.NOT_WRITTEN
            self._apply(AppendFailed(self.clock(), attempt, failure))
        else:
            self._apply(TailLocated(self.clock(), attempt, extent))

    async def _read_back(self, effect):
        try:
            reply = await self.log.read(
                self.stream, effect.from_offset, 0.0, READ_BYTES
            )
        except TruncatedError:
            self._apply(BackReadTruncated(self.clock(), effect.attempt))
        except LogError:
            self._apply(BackReadFailed(self.clock(), effect.attempt))
        else:
            self._apply(BackReadReplied(self.clock(), effect.attempt, reply))
