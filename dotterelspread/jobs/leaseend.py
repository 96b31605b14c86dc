"""Leader's time by which the leases of a worker have certainly expired."""

__all__ = ["MAX_CLOCK_DRIFT_RATIO", "lease_end_s", "residual_lease_end_s"]

#: Largest factor by which a slow worker clock may stretch a lease.
MAX_CLOCK_DRIFT_RATIO = 1.03
#: Time added to the end of a lease before its tasks are started elsewhere.
LEASE_EXPIRY_MARGIN_S = 0.5


def lease_end_s(sent_clock_s, lease_ms):
    """Return the time on the leader's clock by which a lease has certainly expired.

    Parameters
    ----------
    sent_clock_s : float
        Leader's time at which it received the agent's clock reading from which the
        lease is counted.
    lease_ms : int
    """
    return (
        sent_clock_s + lease_ms / 1000 * MAX_CLOCK_DRIFT_RATIO + LEASE_EXPIRY_MARGIN_S
    )


def residual_lease_end_s(now_s, remaining_ms, max_lease_ms):
    """Return the same for leases from calls to earlier incarnations of a worker.

    Parameters
    ----------
    now_s : float
    remaining_ms : int or None
        Longest time that such a lease may last by the agent's reply; None if the agent
        does not tell.
    max_lease_ms : int
        Longest lease that the worker accepts.
    """
    if remaining_ms is None:
        return lease_end_s(now_s, max_lease_ms)
    return now_s + remaining_ms / 1000 + LEASE_EXPIRY_MARGIN_S if remaining_ms else 0.0
