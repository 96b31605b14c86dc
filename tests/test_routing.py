import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.entrystate import EntryLocation
from dotterelspread.routing import (
    FULL_LOAD_RATIO,
    Instance,
    Load,
    choose_instance,
    subset_ids,
)

LOCATION = EntryLocation("e0", "kumasi", "ashanti")


def make_instance(name, data_centre="kumasi", region="ashanti", used=0):
    instance = Instance(name, 1, name, data_centre, region, ("dispatch",), 8)
    instance.note_load(Load(used, 0, 8, incarnation=1), 0.0)
    return instance


def chosen_ids(instances, has_link_budget=True, now_s=0.0):
    rng = random.Random(1)
    picks = [
        choose_instance(instances, LOCATION, lambda: has_link_budget, rng, now_s)
        for _ in range(50)
    ]
    return {pick.instance_id for pick in picks if pick}


def test_nearer_instances_are_preferred_and_others_take_overflow():
    full = int(8 * FULL_LOAD_RATIO)
    here = make_instance("a0", used=full)
    near = make_instance("a1", "obuasi")
    far = make_instance("a2", "takoradi", "western")
    assert chosen_ids([here, near, far]) == {"a1"}
    near.note_load(Load(full, 0, 8), 0.0)
    assert chosen_ids([here, near, far]) == {"a2"}
    assert chosen_ids([here, near, far], has_link_budget=False) == {"a0"}
    here.note_load(Load(0, 0, 8), 0.0)
    assert chosen_ids([here, near, far]) == {"a0"}


def test_a_slow_instance_is_avoided_until_its_latency_expires():
    slow, quick = make_instance("a0"), make_instance("a1", used=4)
    slow.note_latency(1.0, 0.0)
    quick.note_latency(0.1, 0.0)
    assert chosen_ids([slow, quick]) == {"a1"}
    quick.note_load(Load(4, 0, 8), 9.0)
    slow.note_load(Load(0, 0, 8), 9.0)
    assert chosen_ids([slow, quick], now_s=9.0) == {"a0"}


def test_load_of_an_earlier_incarnation_is_ignored_and_of_a_later_one_applied():
    instance = make_instance("a0")
    instance.note_load(Load(8, 8, 8, incarnation=3), 1.0)
    instance.note_load(Load(0, 0, 8, draining=True, incarnation=2), 2.0)
    assert (instance.incarnation, instance.reported) == (3, 16)
    assert not instance.draining


@settings(derandomize=True)
@given(st.integers(2, 60), st.integers(1, 20), st.data())
def test_a_subset_changes_only_with_its_members(count, size, data):
    ids = [f"a{number}" for number in range(count)]
    before = set(subset_ids("e0", ids, size))
    gone = data.draw(st.sampled_from(ids))
    after = set(subset_ids("e0", [i for i in ids if i != gone], size))
    assert len(before) == min(size, count)
    assert before - after <= {gone}
