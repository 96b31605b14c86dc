"""Matching of work to instances by selectors."""

from dataclasses import replace

from hypothesis import given, settings
from msgspec.structs import replace as replace_struct

from bench.fleet import announcement, job
from dotterelspread.cell import CellState
from dotterelspread.configuration import Configuration, SelectorConfig, Urgency
from dotterelspread.labels import instance_labels, match_work
from dotterelspread.placement import PlacementView, rank_members
from dotterelspread.record import Envelope, InstanceAnnounced

from .builders_tools import configurations, labels

PLANT = SelectorConfig("plant", {"plant": "recife"}, {"region": "pernambuco"})
FAST = SelectorConfig(
    "fast", {"job": "check"}, {"gpu": "yes"}, Urgency.URGENT, refusable=False
)
CONFIGURATION = Configuration(selectors_by_name={"plant": PLANT, "fast": FAST})


def test_every_matching_selector_must_be_satisfied():
    work = {"plant": "recife", "job": "check", "other": "x"}
    match = match_work(CONFIGURATION, work, {"region": "pernambuco"}, Urgency.LOW)
    assert not match.allowed
    assert (
        match.explanation == "selector fast requires gpu=yes; the instance has no gpu"
    )
    there = {"region": "bahia", "gpu": "yes"}
    match = match_work(CONFIGURATION, work, there, Urgency.LOW)
    assert (
        "requires region=pernambuco; the instance has region=bahia" in match.explanation
    )
    match = match_work(CONFIGURATION, work, {**there, "region": "pernambuco"})
    assert (match.allowed, match.urgency) == (True, Urgency.URGENT)
    assert not match.refusable


def test_work_without_selectors_runs_anywhere_with_its_own_urgency():
    match = match_work(CONFIGURATION, {"plant": "salvador"}, {}, Urgency.HIGH)
    assert (match.allowed, match.urgency, match.refusable) == (True, Urgency.HIGH, True)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(configuration=configurations, work=labels, instance=labels)
def test_adding_selectors_never_allows_more_instances(configuration, work, instance):
    allowed = match_work(configuration, work, instance).allowed
    for name, selector in configuration.selectors_by_name.items():
        one = replace(configuration, selectors_by_name={name: selector})
        assert match_work(one, work, instance).allowed or not allowed


def test_operator_labels_override_announced_ones_but_not_the_location():
    announced = InstanceAnnounced(
        *("i1", 1, "agent", "10.0.0.1:1", "kumasi", "ashanti", "rack-1"),
        services=("dispatch",),
        labels={"disk": "none", "gpu": "no"},
    )
    given_labels = instance_labels(announced, {"gpu": "yes", "region": "western"})
    assert given_labels == {
        "data-centre": "kumasi",
        "disk": "none",
        "gpu": "yes",
        "rack": "rack-1",
        "region": "ashanti",
        "role": "agent",
        "service": "dispatch",
    }


def test_selectors_can_match_the_location_of_instances_in_a_cell():
    cell = CellState()
    jobs = [
        job("near", labels={"plant": "recife"}),
        job("fast", labels={"job": "check"}),
    ]
    there = announcement(1, labels={"region": "bahia"})
    here = replace_struct(announcement(2), region="pernambuco")
    for offset, record in enumerate([there, here, *jobs]):
        assert cell.apply(offset, Envelope(1, offset, record))
    view = PlacementView.from_cell(cell, CONFIGURATION)
    ranked = {key: rank_members(task, view) for key, task in cell.tasks_by_id.items()}
    assert ranked == {"near/0": ["i02"], "fast/0": []}
