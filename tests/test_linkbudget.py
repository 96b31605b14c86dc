from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.linkbudget import LINK_BITS_PER_S, MAX_BURST_S, LinkBudget

STEPS = st.lists(st.tuples(st.floats(0, 2), st.integers(1, 400_000)), max_size=60)


@settings(derandomize=True)
@given(STEPS, st.integers(1, 4))
def test_entries_together_stay_within_the_link(steps, entries):
    budget = LinkBudget.from_entries(entries)
    now_s = 0.0
    for wait_s, size in steps:
        now_s += wait_s
        if budget.has_room(size, now_s):
            budget.charge(size, now_s)
        allowed = LINK_BITS_PER_S / 8 * (now_s + MAX_BURST_S)
        assert entries * budget.used_bytes <= allowed


def test_answers_overdraw_the_budget_until_it_refills():
    budget = LinkBudget(1000.0)
    budget.charge(1500, 0.0)
    assert not budget.has_room(1, 0.9)
    assert budget.has_room(1, 1.1)


def test_more_entries_share_the_link():
    budget = LinkBudget.from_entries(1)
    alone = budget.bytes_per_s
    budget.share_with(4)
    assert budget.bytes_per_s == alone / 4
