"""Client of the platform's log: performs the effects of `stream` and `appending`."""

import asyncio
import contextlib
import itertools
import random
import time

from .appending import StreamWriter
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
    open_log,
)
from .reducer import reduce
from .stream import (
    READ_WAIT_S,
    FollowStarted,
    FollowTruncated,
    ReadFailed,
    ReadReplied,
    ReadRetryDue,
    ReadTimerStarted,
    ReadTruncated,
    StreamReader,
)

__all__ = ["AppendError", "LogClient", "make_incarnation"]

#: Bytes that one read asks for.
READ_BYTES = 256 << 10
#: Random bits that tell apart the processes that start in the same millisecond.
INCARNATION_RANDOM_BITS = 20

FAILURES_BY_ERROR = {
    LogUnavailableError: AppendFailure.NOT_WRITTEN,
    LogRejectedError: AppendFailure.REJECTED,
    LogUncertainError: AppendFailure.UNCERTAIN,
}


class AppendError(LogError):
    """A record is no longer being appended.

    Parameters
    ----------
    is_absent : bool
        True when the record is not in the stream and never will be; False when it
        may be there or still appear.
    """

    def __init__(self, detail, is_absent):
        super().__init__(detail)
        self.is_absent = is_absent


def make_incarnation():
    """Return a number for this start of a process, larger for a later start."""
    milliseconds = time.time_ns() // 1_000_000
    random_part = random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return milliseconds << INCARNATION_RANDOM_BITS | random_part


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
        finally:
            if not future.done():
                self._apply(AppendCancelled(self.clock(), token))
            self.futures_by_token.pop(token, None)
        return future.result()

    async def close(self):
        """Stop all calls; records that wait stay unsettled."""
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


class LogClient:
    """Appends to and follows streams of the platform's log.

    Parameters
    ----------
    log : Log
    incarnation : int
        Of this process; no other process may use it (see `make_incarnation`).
    rng : random.Random
    clock : callable
        Returns seconds on the process's monotonic clock.
    """

    __slots__ = ("appenders_by_stream", "clock", "incarnation", "log", "rng")

    def __init__(self, log, incarnation, rng, clock=time.monotonic):
        self.log = log
        self.incarnation = incarnation
        self.rng = rng
        self.clock = clock
        self.appenders_by_stream = {}

    @classmethod
    @contextlib.asynccontextmanager
    async def from_settings(cls, base_url, incarnation, clock=time.monotonic):
        """Hold open a client of the log at ``base_url``."""
        async with open_log(base_url) as log:
            client = cls(log, incarnation, random.Random(incarnation), clock)
            try:
                yield client
            finally:
                await client.close()

    async def append(self, stream, record, timeout_s=None):
        """Append ``record`` and return its offset once it stands in the stream.

        Records appended to a stream within 20 ms go in one append and share an offset.

        Raises
        ------
        AppendError
            When the record is given up: the time is over, the log rejects it, or the
            records that would tell have expired. ``is_absent`` says whether the
            record is known not to be in the stream, now or later.
        """
        return await self._appender(stream).append(record, timeout_s)

    async def follow(self, stream, from_offset, sequences=None, wait_s=READ_WAIT_S):
        """Yield a `Batch` for each read, also when it brings nothing new.

        Parameters
        ----------
        stream : str
        from_offset : int
        sequences : WriterSequences, optional
            As of ``from_offset``, from a snapshot.
        wait_s : float
            How long an idle read waits; a silent connection is found after this.

        Raises
        ------
        TruncatedError
            When the records at the position have expired.
        """
        reader = StreamReader(stream, from_offset, self.rng, sequences, wait_s)
        async for batch in self.follow_reader(reader):
            yield batch

    async def follow_reader(self, reader):
        """Do as `follow` for a reader whose state the caller wants to see."""
        effects = reduce(FollowStarted(self.clock()), reader)
        while True:
            *delivered, action = effects
            for effect in delivered:
                yield effect.batch
            if isinstance(action, FollowTruncated):
                raise TruncatedError(action.oldest)
            effects = reduce(await self._perform_read(action, reader), reader)

    async def _perform_read(self, action, reader):
        """Perform a reader's effect and return the event that it leads to."""
        if isinstance(action, ReadTimerStarted):
            await asyncio.sleep(action.delay_s)
            return ReadRetryDue(self.clock())
        sent_s = self.clock()
        try:
            reply = await self.log.read(
                reader.stream, action.from_offset, action.wait_s, READ_BYTES
            )
        except TruncatedError as error:
            return ReadTruncated(self.clock(), error.oldest)
        except LogError:
            return ReadFailed(self.clock())
        return ReadReplied(self.clock(), sent_s, reply)

    async def close(self):
        """Stop all appends; those that wait stay unsettled."""
        for appender in self.appenders_by_stream.values():
            await appender.close()

    def _appender(self, stream):
        if stream not in self.appenders_by_stream:
            writer = StreamWriter(self.incarnation, self.rng)
            self.appenders_by_stream[stream] = Appender(
                self.log, stream, writer, self.clock
            )
        return self.appenders_by_stream[stream]
