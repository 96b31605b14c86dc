"""Leader's time by which leases have certainly expired."""

import pytest

from dotterelspread.jobs.leaseend import lease_end_s, residual_lease_end_s
from dotterelspread.jobs.residuallease import ResidualLease

NOW_S = 100.0
MAX_LEASE_MS = 10_000
#: Clock of a worker that runs 2 % slow.
SLOW_CLOCK_RATIO = 0.98


@pytest.mark.parametrize("lease_ms", [1, 4000, 6000, MAX_LEASE_MS, 60_000])
def test_a_lease_on_a_slow_clock_does_not_outlast_the_wait(lease_ms):
    assert lease_end_s(NOW_S, lease_ms) > NOW_S + lease_ms / 1000 / SLOW_CLOCK_RATIO


@pytest.mark.parametrize(
    ("remaining_ms", "longest_ms"),
    [
        (1, 1),
        (4000, 4000),
        # An agent that does not tell may have called an earlier incarnation just now.
        (None, MAX_LEASE_MS / SLOW_CLOCK_RATIO),
    ],
)
def test_an_residual_lease_does_not_outlast_the_wait(remaining_ms, longest_ms):
    end_s = residual_lease_end_s(NOW_S, remaining_ms, MAX_LEASE_MS)
    assert end_s > NOW_S + longest_ms / 1000


def test_no_wait_is_left_of_an_residual_lease_that_has_expired():
    assert residual_lease_end_s(NOW_S, 0, MAX_LEASE_MS) == 0.0


def test_the_margin_for_slow_clocks_is_not_applied_to_an_agents_bound_again():
    lease = ResidualLease(MAX_LEASE_MS, lambda: 0)
    end_s = residual_lease_end_s(NOW_S, lease.remaining_ms(), MAX_LEASE_MS)
    assert end_s == pytest.approx(lease_end_s(NOW_S, MAX_LEASE_MS), abs=0.002)
