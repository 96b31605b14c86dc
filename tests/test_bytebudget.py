"""Shares of a byte budget are separate and cannot exceed it together."""

import pytest

from dotterelspread.bytebudget import ByteBudget


def test_shares_are_parts_of_one_budget():
    budget = ByteBudget(100)
    reserved = budget.open_share(30)
    rest = budget.open_rest()
    assert (reserved.max_bytes, rest.max_bytes) == (30, 70)
    with pytest.raises(ValueError, match="only 0 left"):
        budget.open_share(1)


def test_the_excess_of_a_share_leaves_the_others_alone():
    budget = ByteBudget(100)
    first, second = budget.open_share(40), budget.open_rest()
    first.used_bytes += 45
    assert (first.excess_bytes, second.excess_bytes) == (5, -60)
