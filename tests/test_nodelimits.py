"""The limits of a process stay below the memory and descriptors of its instance."""

import pytest

from dotterelspread import nodelimits
from dotterelspread.nodelimits import NodeLimits

MAX_BODY_BYTES = 262_144


@pytest.fixture(autouse=True)
def soft_limit(monkeypatch):
    def set_limit(max_fds):
        monkeypatch.setattr(
            nodelimits.resource, "getrlimit", lambda what: (max_fds, max_fds)
        )

    set_limit(1_000_000)
    return set_limit


@pytest.mark.parametrize(
    ("memory_mb", "max_fds"), [(168, 4096), (200, 4100), (552, 8192), (0, 0)]
)
def test_quotas_leave_memory_and_descriptors_and_suffice_for_callers(
    memory_mb, max_fds
):
    limits = NodeLimits(memory_mb, max_fds)
    quotas = [limits.open_peer_quota()]
    quotas += [limits.open_reserved_quota() for _ in range(2)]
    quotas.append(limits.open_main_quota())
    main = quotas[-1]
    assert sum(quota.share.max_bytes for quota in quotas) <= limits.budget.max_bytes
    assert limits.budget.max_bytes <= (memory_mb or 200) * 500_000
    # Several hundred connections with the largest submissions are normal.
    assert main.share.max_bytes >= 250 * MAX_BODY_BYTES
    assert main.max_connections >= 2000
    # Calls carry submissions and are not much larger than those.
    assert quotas[0].share.max_bytes >= 16 * MAX_BODY_BYTES
    assert quotas[0].max_connections >= 500
    connections = sum(quota.max_connections for quota in quotas[1:])
    # Own descriptors, and connections that are accepted but not yet refused.
    assert connections <= (max_fds or 4096) * 5 / 8 + 1
    accepted = sum(quota.max_accepted for quota in quotas[1:])
    assert 4 * accepted <= (max_fds or 4096) / 8
    assert all(quota.share.max_bytes >= 4 * MAX_BODY_BYTES for quota in quotas)


def test_the_soft_limit_of_the_process_counts_when_it_is_lower(soft_limit):
    soft_limit(512)
    assert NodeLimits(200, 4100).open_main_quota().max_connections < 384


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(1, 1), (0.5, 16), (10, 40)])
def test_tiny_settings_still_admit_a_caller(memory_mb, max_fds):
    limits = NodeLimits(memory_mb, max_fds)
    quotas = [limits.open_peer_quota()]
    quotas += [limits.open_reserved_quota() for _ in range(2)]
    quotas.append(limits.open_main_quota())
    assert all(quota.max_connections >= 1 for quota in quotas)
    assert all(quota.max_accepted >= 1 for quota in quotas[1:])
    assert quotas[-1].share.max_bytes >= MAX_BODY_BYTES


def test_the_only_listener_of_a_process_has_the_whole_budget(soft_limit):
    limits = NodeLimits(512, 4096)
    quota = limits.open_sole_quota(2000)
    assert quota.share.max_bytes == limits.budget.max_bytes
    assert quota.max_connections == 2000
    # Descriptors that do not suffice for the connections in the settings.
    soft_limit(1024)
    assert NodeLimits(512, 4096).open_sole_quota(2000).max_connections == 640
