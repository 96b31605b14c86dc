"""Append rate, added latency and idle traffic of the log client.

The stand-in log takes `APPEND_LATENCY_MS` per append and serves one append of a stream
at a time per client. Group commit is compared with one append per record in the same
run. Idle traffic is that of one stream without writers, measured at the sockets.

Run with ``python -m bench.logclient``.
"""

import argparse
import asyncio
import random
import statistics
import time
from contextlib import asynccontextmanager, suppress

from aiohttp import web

from dotterelspread.log import open_log
from dotterelspread.logclient import LogClient
from dotterelspread.record import Envelope, InstanceLeft, encode_record
from standins.log import Faults, LogServer, make_app

APPEND_LATENCY_MS = 20.0
CALLER_COUNTS = (1, 16, 64, 256)
LONG_POLL_TIMEOUTS_S = (2.0, 5.0)
#: TCP and IP headers per packet, and packets per idle read: request, reply and one
#: acknowledgement.
PACKET_HEADER_BYTES = 40
PACKETS_PER_READ = 3


@asynccontextmanager
async def open_stand_in(**faults):
    server = LogServer(Faults(**faults))
    runner = web.AppRunner(make_app(server), access_log=None, shutdown_timeout=0.01)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield server, "http://{}:{}".format(*runner.addresses[0][:2])
    finally:
        await runner.cleanup()


async def measure_latencies(append, callers, seconds):
    """Return the latencies of the appends that completed within ``seconds``."""
    latencies = []

    async def call():
        while True:
            start_s = time.monotonic()
            await append()
            latencies.append(time.monotonic() - start_s)

    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(call() for _ in range(callers)))
    return latencies


def print_row(name, callers, latencies, seconds, appends):
    latencies.sort()
    p50, p99 = (latencies[int(len(latencies) * part)] for part in (0.5, 0.99))
    rate = len(latencies) / seconds
    print(
        f"{name:14} {callers:7} {rate:10.0f} {appends / seconds:10.1f}"
        f" {len(latencies) / appends:9.1f} {p50 * 1e3:8.1f} {p99 * 1e3:8.1f}"
    )


async def compare_commits(seconds):
    print(f"\nAppends of {APPEND_LATENCY_MS:.0f} ms; latency in ms")
    print("client         callers  records/s  appends/s  a append      p50      p99")
    record = InstanceLeft("i1", 1)
    for callers in CALLER_COUNTS:
        async with open_stand_in(slow_ms=APPEND_LATENCY_MS) as (server, url):
            streams = server.streams.streams_by_name
            async with LogClient.from_settings(url, 7) as client:

                async def commit(client=client):
                    await client.append("group", record)

                await commit()
                latencies = await measure_latencies(commit, callers, seconds)
                print_row(
                    "group commit", callers, latencies, seconds, streams["group"].next
                )
            async with open_log(url) as log:
                lock = asyncio.Lock()
                data = encode_record((Envelope(7, 1, record),))

                async def append(log=log, lock=lock, data=data):
                    async with lock:
                        await log.append("single", (data,))

                latencies = await measure_latencies(append, callers, seconds)
                print_row(
                    "one a record", callers, latencies, seconds, streams["single"].next
                )


async def measure_lost_replies(count, seed):
    rng = random.Random(seed)
    plain, lost = [], []
    async with (
        open_stand_in(slow_ms=APPEND_LATENCY_MS) as (server, url),
        LogClient.from_settings(url, 7) as client,
    ):
        for _ in range(count):
            is_lost = rng.random() < 0.3
            server.faults.lose_replies = int(is_lost)
            start_s = time.monotonic()
            await client.append("s", InstanceLeft("i1", 1))
            (lost if is_lost else plain).append(time.monotonic() - start_s)
        written = server.streams.streams_by_name["s"].next
    print(f"\nLost replies: {len(lost)} of {count}, {written} records written")
    for name, latencies in (("answered", plain), ("reply lost", lost)):
        print(f"{name:12} p50 {statistics.median(latencies) * 1e3:6.1f} ms")


class CountingRelay:
    """Relays and counts the bytes between a client and the log."""

    def __init__(self, url):
        self.host, port = url.removeprefix("http://").split(":")
        self.port = int(port)
        self.bytes = 0

    async def serve(self, reader, writer):
        log_reader, log_writer = await asyncio.open_connection(self.host, self.port)
        with suppress(ConnectionError):
            await asyncio.gather(
                self.copy(reader, log_writer), self.copy(log_reader, writer)
            )

    async def copy(self, reader, writer):
        while data := await reader.read(1 << 16):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


async def count_idle(url, wait_s, seconds):
    relay = CountingRelay(url)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    reads = 0
    async with server, LogClient.from_settings(f"http://{host}:{port}", 7) as client:
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                async for _ in client.follow("idle", 0, wait_s=wait_s):
                    reads += 1
        return wait_s, relay.bytes / max(1, reads), reads


async def measure_idle(seconds):
    async with open_stand_in() as (_, url):
        found = await asyncio.gather(
            *(count_idle(url, wait_s, seconds) for wait_s in LONG_POLL_TIMEOUTS_S)
        )
    print("\nIdle following of one stream")
    print("wait s    reads  bytes a read  with TCP and IP  bytes/s")
    for wait_s, size, reads in found:
        packets = size + PACKETS_PER_READ * PACKET_HEADER_BYTES
        print(f"{wait_s:6.1f} {reads:8} {size:13.0f} {packets:16.0f}", end="")
        print(f" {packets / wait_s:8.0f}")


async def run(arguments):
    await compare_commits(arguments.seconds)
    await measure_lost_replies(arguments.count, arguments.seed)
    await measure_idle(arguments.idle_seconds)


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=1.0)
    parser.add_argument("--idle-seconds", type=float, default=10.5)
    parser.add_argument("--count", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(run(parser.parse_args(args)))


if __name__ == "__main__":
    main()
