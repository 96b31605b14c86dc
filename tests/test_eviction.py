from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.eviction import PressureControl, Victim, choose_victims, room_after
from dotterelspread.resources import Resources

CAPACITY = Resources(32_000, 64_000)
SIZE = Resources(8000, 8000)
sizes = st.builds(Resources, st.integers(0, 9), st.integers(0, 9), st.integers(0, 1))
victims = st.lists(
    st.builds(
        Victim,
        st.uuids().map(str),
        sizes,
        st.integers(0, 2),
        st.floats(0, 100),
        st.integers(0, 3),
    ),
    max_size=6,
)


@settings(derandomize=True, max_examples=200)
@given(victims, sizes, sizes)
def test_victims_make_room_and_all_of_them_are_needed(candidates, room, needed):
    chosen = choose_victims(candidates, room, needed)
    if chosen is None:
        assert not needed.fits_in(room_after(room, candidates))
        return
    assert needed.fits_in(room_after(room, chosen))
    for victim in chosen:
        others = [other for other in chosen if other is not victim]
        assert not needed.fits_in(room_after(room, others))


def test_the_least_urgent_and_least_costly_go_first():
    costly = Victim("costly", SIZE, 0, unsaved_s=100)
    often = Victim("often", SIZE, 0, unsaved_s=20, releases=9)
    cheap = Victim("cheap", SIZE, 0, unsaved_s=30)
    urgent = Victim("urgent", SIZE, 1, unsaved_s=0)
    chosen = choose_victims([costly, often, cheap, urgent], Resources(), SIZE)
    assert chosen == [cheap]


def drive(control, used_by_id, until_s):
    """Report the same usage every 5 s; return the times of throttling and eviction."""
    throttled, evicted = [], []
    reserved_by_id = dict.fromkeys(used_by_id, SIZE)
    for now_s in range(0, until_s, 5):
        shares, to_free = control.update(now_s, CAPACITY, used_by_id, reserved_by_id)
        if shares:
            throttled.append(now_s)
        if to_free != Resources():
            evicted.append(now_s)
    return throttled, evicted


def test_throttling_precedes_eviction_with_an_interval_between_changes():
    used_by_id = {f"t{n}": Resources(12_000, 8000) for n in range(4)}
    throttled, evicted = drive(PressureControl(), used_by_id, 120)
    assert throttled[0] == 0
    assert evicted[0] >= 20
    changes = sorted(throttled + evicted)
    assert all(b - a >= 10 for a, b in zip(changes, changes[1:], strict=False))


def test_a_memory_shortage_evicts_without_throttling():
    used_by_id = {f"t{n}": Resources(1000, 20_000) for n in range(4)}
    assert drive(PressureControl(), used_by_id, 5) == ([], [0])


def test_utilization_between_the_thresholds_changes_nothing():
    used_by_id = {f"t{n}": Resources(7500, 8000) for n in range(4)}
    control = PressureControl(shares_by_id={"t0": 0.5})
    assert drive(control, used_by_id, 120) == ([], [])
    low_by_id = {f"t{n}": Resources(2000, 8000) for n in range(4)}
    drive(control, low_by_id, 60)
    assert control.shares_by_id["t0"] == 1.0
