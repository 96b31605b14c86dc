"""Exhaustive test of a small fleet with a bounded number of faults."""

import pytest

from tests.builders_orders import run_order_scenario
from tests.enumeration import enumerate_choices, partition_by_first_fault

#: Kept low for the test run; `python -m tests.check_orders --troubles 3` checks more.
MAX_FAULTS = 2


@pytest.mark.parametrize(
    "prefix", partition_by_first_fault(run_order_scenario, MAX_FAULTS), ids=str
)
def test_no_two_faults_violate_an_invariant(prefix):
    enumerate_choices(run_order_scenario, MAX_FAULTS, prefix)
