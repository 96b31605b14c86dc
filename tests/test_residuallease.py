"""How long a lease from calls to earlier incarnations of a worker can last."""

import pytest

from dotterelspread.jobs.residuallease import ResidualLease

MAX_LEASE_MS = 10_000
#: Clock of a worker that runs 2 % slow, relative to that of its agent.
SLOW_CLOCK_RATIO = 0.98


class Clock:
    def __init__(self):
        self.now_ms = 50_000

    def __call__(self):
        return self.now_ms


def make_lease():
    clock = Clock()
    return ResidualLease(MAX_LEASE_MS, clock), clock


@pytest.mark.parametrize("waited_ms", [0, 1, 60_000])
def test_a_lease_that_may_still_be_extended_does_not_run_out(waited_ms):
    lease, clock = make_lease()
    clock.now_ms += waited_ms
    assert not lease.is_bounded
    assert lease.remaining_ms() >= MAX_LEASE_MS / SLOW_CLOCK_RATIO


@pytest.mark.parametrize("waited_ms", [0, 1, 5000, 10_000, 10_204])
def test_a_lease_on_a_slow_clock_does_not_outlast_its_bound(waited_ms):
    lease, clock = make_lease()
    lease.bound()
    clock.now_ms += waited_ms
    longest_ms = MAX_LEASE_MS / SLOW_CLOCK_RATIO
    assert lease.remaining_ms() >= longest_ms - waited_ms


def test_the_bound_ends():
    lease, clock = make_lease()
    lease.bound()
    assert lease.is_bounded
    clock.now_ms += int(1.05 * MAX_LEASE_MS)
    assert lease.remaining_ms() == 0


def test_later_calls_of_a_session_do_not_prolong_the_bound():
    lease, clock = make_lease()
    lease.bound()
    clock.now_ms += 4000
    remaining_ms = lease.remaining_ms()
    lease.bound()
    assert lease.remaining_ms() == remaining_ms < MAX_LEASE_MS
