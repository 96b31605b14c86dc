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

#: Bytes a second that all control of a node may take.
NODE_LIMIT_BYTES_S = 2000


def test_single_misses_far_apart_do_not_add_up():
    entry = Liveness(Member(announced("e", 1, "entry")), "", random.Random(1))
    reduce(MemberLearned(0.0, Member(announced("a"))), entry)
    reply = ttypes.HeartbeatReply(ttypes.Load(incarnation=1))
    for second in range(10):
        reduce(HeartbeatMissed(second, "a"), entry)
        assert entry.peers_by_id["a"].status is PeerStatus.SUSPECT
        reduce(HeartbeatSeen(second + 0.5, "a", reply), entry)
        assert entry.peers_by_id["a"].status is PeerStatus.LIVE


def test_heartbeats_stay_within_the_limit_however_many_members():
    for count in range(1, 700):
        bytes_s = count / heartbeat_interval_s(count) * EXCHANGE_BYTES
        assert bytes_s <= NODE_LIMIT_BYTES_S
