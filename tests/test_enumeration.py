"""Tests of the enumeration of choices."""

import itertools

import pytest

from tests.enumeration import (
    Choices,
    enumerate_choices,
    partition_by_first_fault,
    partition_choices,
)

OPTIONS = ("ordinary", "first", "second")


@pytest.mark.parametrize("max_faults", [0, 1, 2, 4])
def test_every_run_with_at_most_so_many_faults_is_executed_once(max_faults):
    executed = []

    def run_scenario(choices):
        executed.append(tuple(choices.choose("here", OPTIONS) for _ in range(4)))

    assert enumerate_choices(run_scenario, max_faults) == len(executed)
    expected = {
        run
        for run in itertools.product(OPTIONS, repeat=4)
        if sum(option != "ordinary" for option in run) <= max_faults
    }
    assert len(executed) == len(expected)
    assert set(executed) == expected


def test_a_choice_may_depend_on_an_earlier_one():
    executed = []

    def run_scenario(choices):
        run = [choices.choose("here", OPTIONS)]
        if run[0] == "first":
            run += [choices.choose("there", OPTIONS) for _ in range(2)]
        executed.append(tuple(run))

    assert enumerate_choices(run_scenario, 3) == 11
    assert len(set(executed)) == 11


def test_the_partitions_cover_all_runs_once():
    executed = []

    def run_scenario(choices):
        executed.append(tuple(choices.choose("here", OPTIONS) for _ in range(4)))

    prefixes = partition_choices(run_scenario, 2, 2)
    executed.clear()
    runs = sum(enumerate_choices(run_scenario, 2, prefix) for prefix in prefixes)
    assert runs == len(set(executed)) == 33


@pytest.mark.parametrize("max_faults", [0, 1, 2, 4])
def test_the_partitions_by_the_first_fault_cover_all_runs_once(max_faults):
    executed = []

    def run_scenario(choices):
        run = [choices.choose("here", OPTIONS) for _ in range(3)]
        if run[1] == "first":
            run += [choices.choose("there", OPTIONS) for _ in range(2)]
        executed.append(tuple(run))

    all_runs = enumerate_choices(run_scenario, max_faults)
    prefixes = partition_by_first_fault(run_scenario, max_faults)
    executed.clear()
    runs = sum(
        enumerate_choices(run_scenario, max_faults, prefix) for prefix in prefixes
    )
    assert runs == len(executed) == len(set(executed)) == all_runs


def test_choices_other_than_the_first_option_are_logged():
    choices = Choices([0, 2], 1)
    assert [choices.choose("here", OPTIONS) for _ in range(2)] == ["ordinary", "second"]
    assert choices.log == ["here 1: second"]
