import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.configuration import KindConfig
from dotterelspread.queue import QueueError, WaitingRequest, find_queue

KINDS = {
    "calm": KindConfig("calm", 0, share=0.25),
    "plain": KindConfig("plain", 1, share=0.25),
    "loud": KindConfig("loud", 3, share=0.1),
}


def make_queue(name, *kinds):
    queue = find_queue(name)(4, KINDS)
    for number, kind in enumerate(kinds):
        urgency = KINDS[kind].urgency
        queue.push(WaitingRequest(f"r{number}", kind, urgency, 99.0, number / 100))
    return queue


def served(queue, seconds, service_s):
    """Serve a continuously backlogged queue; return the slot seconds by kind."""
    used_s = dict.fromkeys(KINDS, 0.0)
    step_s = service_s / queue.slots
    for step in range(int(seconds / step_s)):
        now_s = step * step_s
        waiting = queue.pop(now_s)
        if queue.credit(waiting.kind, now_s) > 0:
            queue.charge(waiting.kind, service_s, now_s)
        used_s[waiting.kind] += service_s
        queue.push(waiting)
    return used_s


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.sampled_from([0.02, 0.1, 0.4]), st.permutations(sorted(KINDS)))
def test_each_kind_gets_its_share_and_the_most_urgent_the_rest(service_s, order):
    used_s = served(make_queue("fair", *order), 40.0, service_s)
    total_s = sum(used_s.values())
    for kind, config in KINDS.items():
        assert used_s[kind] >= 0.9 * config.share * total_s
    assert used_s["loud"] >= 0.45 * total_s


def test_strict_starves_lower_urgencies_and_fifo_keeps_the_order():
    used_s = served(make_queue("strict", *KINDS), 4.0, 0.1)
    assert used_s["calm"] == used_s["plain"] == 0
    fifo = make_queue("fifo", "loud", "calm", "plain")
    assert [fifo.pop(0.0).kind for _ in range(3)] == ["loud", "calm", "plain"]
    assert fifo.pop(0.0) is None


@pytest.mark.parametrize("name", ["fair", "fifo", "strict"])
def test_expired_requests_leave_the_queue(name):
    queue = make_queue(name, "calm", "loud")
    queue.push(WaitingRequest("late", "calm", 0, 1.0, 0.5))
    assert [waiting.request_id for waiting in queue.remove_expired(2.0)] == ["late"]
    assert len(queue) == 2


def test_an_unknown_queue_is_an_error():
    with pytest.raises(QueueError, match="'round'"):
        find_queue("round")
