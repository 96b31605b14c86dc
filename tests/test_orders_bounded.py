"""Every run of a small fleet in which so many things go wrong with its orders."""

from tests.builders_orders import run_order_scenario
from tests.enumeration import enumerate_choices

#: `python -m tests.check_orders --troubles 3` goes further by hand.
TROUBLES = 2


def test_no_two_troubles_break_a_promise():
    enumerate_choices(run_order_scenario, TROUBLES)
