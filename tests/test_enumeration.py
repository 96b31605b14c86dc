"""The enumeration of choices."""

import itertools

import pytest

from tests.enumeration import Choices, enumerate_choices, partition_choices

OPTIONS = ("ordinary", "first", "second")


@pytest.mark.parametrize("troubles", [0, 1, 2, 4])
def test_every_run_with_so_many_troubles_is_played_once(troubles):
    played = []

    def play(choices):
        played.append(tuple(choices.choose("here", OPTIONS) for _ in range(4)))

    assert enumerate_choices(play, troubles) == len(played)
    expected = {
        run
        for run in itertools.product(OPTIONS, repeat=4)
        if sum(option != "ordinary" for option in run) <= troubles
    }
    assert len(played) == len(expected)
    assert set(played) == expected


def test_a_choice_may_depend_on_an_earlier_one():
    played = []

    def play(choices):
        run = [choices.choose("here", OPTIONS)]
        if run[0] == "first":
            run += [choices.choose("there", OPTIONS) for _ in range(2)]
        played.append(tuple(run))

    assert enumerate_choices(play, 3) == 11
    assert len(set(played)) == 11


def test_the_shares_make_up_the_whole():
    played = []

    def play(choices):
        played.append(tuple(choices.choose("here", OPTIONS) for _ in range(4)))

    beginnings = partition_choices(play, 2, 2)
    played.clear()
    runs = sum(enumerate_choices(play, 2, first) for first in beginnings)
    assert runs == len(set(played)) == 33


def test_what_was_chosen_instead_of_the_ordinary_is_told():
    choices = Choices([0, 2], 1)
    assert [choices.choose("here", OPTIONS) for _ in range(2)] == ["ordinary", "second"]
    assert choices.log == ["here 1: second"]
