"""Client of the platform's log: performs the effects of `stream` and `appending`."""

import asyncio
import contextlib
import random
import time

from .appender import READ_BYTES, Appender, AppendError
from .appending import StreamWriter
from .log import LogError, TruncatedError, open_log
from .reducer import reduce
from .snapshot import ReplicaRead, ReplicaStarted, ReplicaTruncated
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

#: Seconds that an idle read of a replica waits; peers relay the updates that a stalled
#: connection delays.
REPLICA_READ_WAIT_S = 5.0
#: Random bits that distinguish processes started in the same millisecond.
INCARNATION_RANDOM_BITS = 20


def make_incarnation():
    """Return an incarnation number for this process; later starts get larger ones."""
    milliseconds = time.time_ns() // 1_000_000
    random_part = random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return milliseconds << INCARNATION_RANDOM_BITS | random_part


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
        """Open a client of the log at ``base_url``, and close it on exit."""
        async with open_log(base_url) as log:
            client = cls(log, incarnation, random.Random(incarnation), clock)
            try:
                yield client
            finally:
                await client.close()

    async def append(self, stream, record, timeout_s=None):
        """Append ``record`` and return its offset once it is in the stream.

        Records appended to a stream within 20 ms are grouped into one append and share
        an offset.

        Raises
        ------
        AppendError
            When the append is abandoned: it timed out, the log rejected it, or the
            records that would show its outcome have expired. ``is_absent`` tells
            whether the record is known not to be in the stream, now or later.
        """
        return await self._appender(stream).append(record, timeout_s)

    async def follow(
        self,
        stream,
        from_offset,
        sequences=None,
        wait_s=READ_WAIT_S,
        rechecks=False,
    ):
        """Yield a `Batch` for each read, also when it brings nothing new.

        Parameters
        ----------
        stream : str
        from_offset : int
        sequences : WriterSequences, optional
            As of ``from_offset``, from a snapshot.
        wait_s : float
            Seconds that an idle read waits; bounds how long a stalled connection goes
            undetected.
        rechecks : bool
            As for `StreamReader`.

        Raises
        ------
        TruncatedError
            When the records at the position have expired.
        """
        reader = StreamReader(
            stream, from_offset, self.rng, sequences, wait_s, rechecks
        )
        async for batch in self.follow_reader(reader):
            yield batch

    async def follow_reader(self, reader):
        """Like `follow`, for a reader whose state the caller inspects."""
        effects = reduce(FollowStarted(self.clock()), reader)
        while True:
            *delivered, action = effects
            for effect in delivered:
                yield effect.batch
            if isinstance(action, FollowTruncated):
                raise TruncatedError(action.oldest)
            effects = reduce(await self._perform_read(action, reader), reader)

    async def keep(self, replica, dispatch, wait_s=REPLICA_READ_WAIT_S, rechecks=False):
        """Keep a `Replica` up to date until cancelled.

        Parameters
        ----------
        replica : Replica
        dispatch : callable
            Reduces an event with the replica as the state, and performs the effects.
        wait_s, rechecks
            As for `follow`.
        """
        dispatch(ReplicaStarted(self.clock()))
        while True:
            sequences = replica.sequences
            position = (replica.stream, replica.next_offset, sequences)
            follow = self.follow(*position, wait_s, rechecks)
            try:
                async with contextlib.aclosing(follow):
                    async for batch in follow:
                        dispatch(ReplicaRead(self.clock(), batch))
                        if replica.sequences is not sequences:
                            break
            except TruncatedError as error:
                if replica.sequences is sequences:
                    dispatch(ReplicaTruncated(self.clock(), error.oldest))

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
        """Cancel all appends; pending ones are left without a result."""
        for appender in self.appenders_by_stream.values():
            await appender.close()

    def _appender(self, stream):
        if stream not in self.appenders_by_stream:
            writer = StreamWriter(self.incarnation, self.rng)
            self.appenders_by_stream[stream] = Appender(
                self.log, stream, writer, self.clock
            )
        return self.appenders_by_stream[stream]
