"""The shedding decision gives up what holds the most, and never what runs."""

import pytest

from dotterelspread.shedding import Holding, choose_shed

BIG_OLD = Holding(1, 900)
BIG_NEW = Holding(2, 900)
SMALL = Holding(3, 40)
EMPTY = Holding(4, 0)
RUNNING = Holding(5, 5000, is_in_progress=True)


@pytest.mark.parametrize(
    ("holdings", "excess_bytes", "expected"),
    [
        ([], 100, []),
        ([BIG_OLD, SMALL], 0, []),
        ([BIG_OLD, SMALL], -5, []),
        ([SMALL, BIG_OLD], 1, [BIG_OLD]),
        ([BIG_OLD, BIG_NEW, SMALL], 1, [BIG_NEW]),
        ([BIG_OLD, BIG_NEW, SMALL], 900, [BIG_NEW]),
        ([BIG_OLD, BIG_NEW, SMALL], 901, [BIG_NEW, BIG_OLD]),
        ([SMALL, BIG_OLD, BIG_NEW], 1801, [BIG_NEW, BIG_OLD, SMALL]),
        ([SMALL, EMPTY], 1000, [SMALL]),
        ([RUNNING, SMALL], 1000, [SMALL]),
        ([RUNNING], 1000, []),
    ],
)
def test_what_holds_the_most_is_shed_first(holdings, excess_bytes, expected):
    assert choose_shed(holdings, excess_bytes) == expected
