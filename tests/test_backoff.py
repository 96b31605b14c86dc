import random

from dotterelspread.backoff import (
    MAX_RETRY_DELAY_S,
    MAX_SUPPRESSION_DELAY_S,
    Backoff,
    suppression_delay_s,
)

MEMBERS = 630
#: Seconds until members read the first one's snapshot; few may act before that.
SNAPSHOT_READ_S = 0.2


def test_retries_are_spread_and_bounded():
    delays = []
    for seed in range(200):
        backoff = Backoff(random.Random(seed))
        delays.append([backoff.next_delay_s() for _ in range(12)][-1])
    assert max(delays) <= MAX_RETRY_DELAY_S
    assert max(delays) - min(delays) > MAX_RETRY_DELAY_S / 2


def test_few_of_many_members_act_before_they_see_another():
    actors = 0
    for seed in range(50):
        rng = random.Random(seed)
        delays = [suppression_delay_s(rng) for _ in range(MEMBERS)]
        assert max(delays) <= MAX_SUPPRESSION_DELAY_S
        actors += sum(delay < min(delays) + SNAPSHOT_READ_S for delay in delays)
    assert actors / 50 < 4
