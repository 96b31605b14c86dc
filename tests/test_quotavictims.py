from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.quota import Excess
from dotterelspread.quotavictims import PreemptionCandidate, choose_victims
from dotterelspread.resources import Resources

from .builders_policies import cores

SIZES = st.lists(st.integers(1, 8), max_size=12)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(SIZES, SIZES, st.integers(0, 30), st.integers(1, 30))
def test_preemption_puts_no_team_below_its_share(over, under, above, missing):
    tasks = [
        PreemptionCandidate(f"a{i}", "ana", cores(size)) for i, size in enumerate(over)
    ]
    tasks += [
        PreemptionCandidate(f"k{i}", "kofi", cores(size))
        for i, size in enumerate(under)
    ]
    victims = choose_victims([Excess("ana", cores(above))], tasks, cores(missing))
    sizes = {task.task_id: task.size.millicores for task in tasks}
    freed = sum(sizes[task_id] for task_id in victims)
    assert all(task_id.startswith("a") for task_id in victims)
    assert freed <= above * 1000
    left = [size for task_id, size in sizes.items() if task_id not in victims]
    takeable = [
        s for s in left[: len(over) - len(victims)] if s <= above * 1000 - freed
    ]
    assert freed >= missing * 1000 or not takeable


def test_the_least_urgent_and_cheapest_go_first_for_what_is_missing():
    memory = Resources(1000, 4000)
    tasks = [
        PreemptionCandidate("dear", "ana", memory, 0, unsaved_s=90.0),
        PreemptionCandidate("urgent", "ana", memory, 3),
        PreemptionCandidate("cheap", "ana", memory, 0, unsaved_s=5.0),
    ]
    excesses = [Excess("ana", Resources(0, 8000))]
    assert choose_victims(excesses, tasks, Resources(0, 8000)) == ["cheap", "dear"]
    assert choose_victims(excesses, tasks, Resources(2000, 0)) == []
