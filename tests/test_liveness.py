import random

from dotterelspread import heartbeat  # noqa: F401 (registers its handlers)
from dotterelspread.gen.peer import ttypes
from dotterelspread.heartbeatevents import (
    HeartbeatMissed,
    HeartbeatSeen,
    MemberLearned,
    PeerStatus,
)
from dotterelspread.liveness import (
    EXCHANGE_BYTES,
    Liveness,
    heartbeat_interval_s,
)
from dotterelspread.membership import Member
from dotterelspread.reducer import reduce
from tests.builders_membership import announced

#: Maximum bytes per second of all control traffic of a node.
NODE_LIMIT_BYTES_S = 2000


def test_isolated_misses_do_not_accumulate():
    entry = Liveness(Member(announced("e", 1, "entry")), "", random.Random(1))
    reduce(MemberLearned(0.0, Member(announced("a"))), entry)
    reply = ttypes.HeartbeatReply(ttypes.Load(incarnation=1))
    for second in range(10):
        reduce(HeartbeatMissed(second, "a"), entry)
        assert entry.peers_by_id["a"].status is PeerStatus.SUSPECT
        reduce(HeartbeatSeen(second + 0.5, "a", reply), entry)
        assert entry.peers_by_id["a"].status is PeerStatus.LIVE


def test_heartbeat_traffic_is_bounded_for_any_number_of_members():
    for count in range(1, 700):
        bytes_s = count / heartbeat_interval_s(count) * EXCHANGE_BYTES
        assert bytes_s <= NODE_LIMIT_BYTES_S
