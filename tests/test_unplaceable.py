"""Demands that are left out of a pass since a smaller one found no worker."""

from dotterelspread.jobs.placement.scoring import FillerDemand
from dotterelspread.jobs.placement.unplaceable import UnplaceableDemands
from dotterelspread.resources import Resources
from tests.builders_fleet import make_step


def filler(millicores, memory_mb=100, image="f"):
    return make_step(
        demand=Resources(millicores, memory_mb), is_filler=True, image=image
    )


def need_of(step, min_speed_ratio=0.7):
    return FillerDemand(step.image, step.demand.millicores, min_speed_ratio)


def covers(unplaceable, step, **changes):
    return unplaceable.covers("svc", step, need_of(step, **changes))


def test_a_filler_with_more_processors_is_slower_everywhere():
    # Guards against a search of all workers for each of many fillers that differ.
    unplaceable = UnplaceableDemands()
    unplaceable.add("svc", filler(2000), need_of(filler(2000)))
    assert covers(unplaceable, filler(2000))
    assert covers(unplaceable, filler(2500))


def test_fillers_that_may_find_a_worker_are_tried():
    unplaceable = UnplaceableDemands()
    unplaceable.add("svc", filler(2000), need_of(filler(2000)))
    assert not covers(unplaceable, filler(1900))
    assert not covers(unplaceable, filler(2000, memory_mb=50))
    assert not covers(unplaceable, filler(2000, image="g"))
    assert not covers(unplaceable, filler(2000), min_speed_ratio=0.0)


def test_speed_says_nothing_about_tasks_that_reserve_their_processors():
    unplaceable = UnplaceableDemands()
    unplaceable.add("svc", filler(2000), need_of(filler(2000)))
    batch = make_step(demand=Resources(4000, 100))
    assert not unplaceable.covers("svc", batch, None)


def test_missing_resources_count_for_fillers_and_others():
    unplaceable = UnplaceableDemands()
    unplaceable.add("svc", filler(2000))
    assert covers(unplaceable, filler(100))
    assert unplaceable.covers("svc", make_step(demand=Resources(500, 100)), None)
