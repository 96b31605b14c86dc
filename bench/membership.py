"""Cost of heartbeats for a node, by its number of peers.

Exchanges run over loopback in the encoding of the peer protocol. Both ends run in this
process, so the processor time of an exchange includes both. The rate of heartbeats is
counted in virtual time. The second table gives the cost of knowing many members, and
the last line the bytes that each process reads from the ``membership`` stream.

Run with ``python -m bench.membership``.
"""

import argparse
import asyncio
import random
import time

from dotterelspread import heartbeat  # noqa: F401 (registers its handlers)
from dotterelspread.gen.peer import ttypes
from dotterelspread.heartbeatevents import (
    AnswerHeartbeat,
    HeartbeatReceived,
    HeartbeatSeen,
    HeartbeatTick,
    MemberLearned,
    SendHeartbeat,
    SubsetChanged,
)
from dotterelspread.liveness import Liveness, heartbeat_interval_s
from dotterelspread.membership import Member, MembershipState
from dotterelspread.peer import PeerPool, TrafficCount, serve_peers
from dotterelspread.record import (
    Envelope,
    InstanceAnnounced,
    encode_record,
)
from dotterelspread.reducer import reduce
from dotterelspread.resources import Resources

PEER_COUNTS = (4, 16, 64)
#: TCP and IP headers per packet, and packets per exchange: request, reply and one
#: acknowledgement.
PACKET_HEADER_BYTES = 40
PACKETS_PER_EXCHANGE = 3
TICK_INTERVAL_S = 0.2
TICKS_PER_S = 5
MAX_BYTES_PER_S = 2000
MAX_CPU_RATIO = 0.022
FIXED_INTERVAL_S = 1.0


def make_member(number, role="agent"):
    announced = InstanceAnnounced(
        f"kumasi-a-{number:03}",
        (1_700_000_000_000 << 20) + number,
        role,
        f"10.0.{number // 250}.{number % 250}:7400",
        "kumasi-a",
        "ashanti",
        f"rack-{number // 3}",
        ("dispatch",),
        8,
        Resources(32000, 125000, 0),
        cell=f"kumasi-a.{number // 30}",
    )
    return Member(announced)


def make_entry(count):
    entry = Liveness(make_member(999, "entry"), "", random.Random(1))
    members = [make_member(number) for number in range(count)]
    for member in members:
        reduce(MemberLearned(0.0, member), entry)
    ids = frozenset(member.instance_id for member in members)
    reduce(SubsetChanged(0.0, ids), entry)
    return entry, members


def answer(agent, now_s, message):
    effects = reduce(HeartbeatReceived(now_s, message), agent)
    reply = next(e.reply for e in effects if isinstance(e, AnswerHeartbeat))
    own = agent.own
    reply.load = ttypes.Load(3, 0, 8, False, own.incarnation, agent.version)
    return reply


def count_rate(count, seconds=300.0):
    """Return the heartbeats per second to ``count`` peers that all answer."""
    entry, members = make_entry(count)
    agents_by_id = {m.instance_id: Liveness(m, "", random.Random(2)) for m in members}
    sent = 0
    now_s = 0.0
    while now_s < seconds:
        now_s += TICK_INTERVAL_S
        for effect in reduce(HeartbeatTick(now_s), entry):
            if isinstance(effect, SendHeartbeat):
                sent += 1
                reply = answer(agents_by_id[effect.instance_id], now_s, effect.message)
                reduce(HeartbeatSeen(now_s, effect.instance_id, reply), entry)
    return sent / seconds


async def measure_exchanges(exchanges):
    """Return the bytes and the processor seconds per exchange with a known peer."""
    entry, (member,) = make_entry(1)
    agent = Liveness(member, "", random.Random(2))
    reduce(MemberLearned(0.0, entry.own), agent)
    instance_id = member.instance_id

    async def handle(message):
        return answer(agent, 1.0, message)

    traffic = TrafficCount()
    async with (
        serve_peers("127.0.0.1:0", {"heartbeat": handle}) as server,
        PeerPool.open(traffic) as pool,
    ):
        address = "{}:{}".format(*server.sockets[0].getsockname())

        async def exchange():
            effect = entry.beat(instance_id, 1.0)
            reply = await pool.call(address, "heartbeat", effect.message, 5.0)
            reduce(HeartbeatSeen(1.0, instance_id, reply), entry)

        await exchange()
        bytes_before = traffic.sent_bytes + traffic.received_bytes
        start_s = time.process_time()
        for _ in range(exchanges):
            await exchange()
        cpu_s = (time.process_time() - start_s) / exchanges
        size = traffic.sent_bytes + traffic.received_bytes - bytes_before
    return size / exchanges, cpu_s


def print_exchanges(exchanges):
    size, cpu_s = asyncio.run(measure_exchanges(exchanges))
    packets = size + PACKETS_PER_EXCHANGE * PACKET_HEADER_BYTES
    print(
        f"one exchange: {size:.0f} bytes, {packets:.0f} with TCP and IP,"
        f" {cpu_s * 1e6:.0f} us of processor at both ends"
    )
    print(
        f"\nlimits of a node: {MAX_BYTES_PER_S} bytes/s, {MAX_CPU_RATIO:.1%} of a core"
    )
    print("peers  interval s  beats/s  bytes/s    cpu   at a fixed 1 s: bytes/s    cpu")
    for count in PEER_COUNTS:
        rate = count_rate(count)
        fixed = count / FIXED_INTERVAL_S
        print(
            f"{count:5} {heartbeat_interval_s(count):11.1f} {rate:8.2f}"
            f" {rate * packets:8.0f} {rate * cpu_s:6.2%}"
            f" {fixed * packets:24.0f} {fixed * cpu_s:6.2%}"
        )


def print_ticks():
    print("\nmembers known  us a tick  cpu at 5 ticks/s")
    for count in (16, 64, 630):
        entry, members = make_entry(count)
        reduce(SubsetChanged(0.0, frozenset()), entry)
        start_s = time.process_time()
        for tick in range(200):
            reduce(HeartbeatTick(1.0 + tick * TICK_INTERVAL_S), entry)
        cpu_s = (time.process_time() - start_s) / 200
        print(f"{count:13} {cpu_s * 1e6:10.0f} {cpu_s * TICKS_PER_S:17.2%}")


def print_stream(count, retention_s):
    state = MembershipState()
    size = 0
    for number in range(count):
        announced = make_member(number).announced
        size += len(encode_record((Envelope(announced.incarnation, 1, announced),)))
        state.apply(number, announced, 0.0)
    snapshot = state.to_snapshot(count, ())
    snapshot_size = len(encode_record((Envelope(1 << 60, 1, snapshot),)))
    rate = (size + snapshot_size) / (retention_s / 3)
    print(
        f"\nmembership stream, {count} members, retention {retention_s / 3600:.1f} h:"
        f" announcements {size} bytes, snapshot {snapshot_size} bytes,"
        f" {rate:.0f} bytes/s to each reader"
    )


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--exchanges", type=int, default=3000)
    parser.add_argument("--members", type=int, default=630)
    parser.add_argument("--retention-s", type=float, default=3600.0)
    arguments = parser.parse_args(args)
    print_exchanges(arguments.exchanges)
    print_ticks()
    print_stream(arguments.members, arguments.retention_s)


if __name__ == "__main__":
    main()
