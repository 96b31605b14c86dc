"""Which entries are near the store and large, as an entry reads it from the store."""

import random

import pytest

from dotterelspread.jobs.entrysizes import EntrySizes
from dotterelspread.jobs.nodes import NODES_STREAM, encode_node
from dotterelspread.processsettings import FleetRole
from tests.builders_processes import FAR_STORE_DELAY_S, make_settings
from tests.builders_store import VirtualStore
from tests.virtualloop import run_virtually

OTHERS = {
    "large": make_settings(FleetRole.ENTRY, 1, cores=2.0),
    "small": make_settings(FleetRole.ENTRY, 2, cores=0.3),
    "other region": make_settings(FleetRole.ENTRY, 3, cores=8.0, region="far"),
    "agent": make_settings(FleetRole.AGENT, 4, cores=8.0),
}


def read_sizes(cores, delay_s=0.004, mode=None):
    """Return the `EntrySizes` of an entry after a refresh, and the reply of that."""

    async def run():
        store = VirtualStore(random.Random(1))
        settings = make_settings(FleetRole.ENTRY, 9, cores=cores)
        store.delay_s_by_node["own"] = delay_s
        records = [encode_node(other) for other in (settings, *OTHERS.values())]
        await store.journal("other").append(NODES_STREAM, records)
        store.mode_by_node["own"] = mode
        sizes = EntrySizes(settings, store.journal("own"))
        return sizes, await sizes.refresh()

    return run_virtually(run())


@pytest.mark.parametrize(
    ("cores", "delay_s", "is_suitable"),
    [
        (2.0, 0.004, True),
        (1.5, 0.004, True),
        (1.3, 0.004, False),
        (9.0, FAR_STORE_DELAY_S, False),
    ],
)
def test_near_and_large_entries_are_suitable(cores, delay_s, is_suitable):
    # Entries of other regions and agents do not count for the size.
    sizes, _ = read_sizes(cores, delay_s)
    assert sizes.is_suitable is is_suitable


@pytest.mark.parametrize(
    ("other", "is_suitable"),
    [("large", True), ("small", False), ("other region", False)],
)
def test_a_small_or_distant_leader_is_not_suitable(other, is_suitable):
    sizes, _ = read_sizes(2.0)
    assert sizes.is_suitable_leader(OTHERS[other].peer_address) is is_suitable


def test_a_leader_whose_record_is_not_known_yet_is_left_in_place():
    sizes, _ = read_sizes(2.0)
    assert sizes.is_suitable_leader("entry77:7000")


def test_agents_of_the_store_are_known():
    sizes, has_replied = read_sizes(2.0)
    assert has_replied
    assert sizes.agent_addresses == {OTHERS["agent"].peer_address}


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_a_failed_read_is_reported_and_leaves_the_entry_suitable(mode):
    sizes, has_replied = read_sizes(0.3, mode=mode)
    assert not has_replied
    assert sizes.is_suitable
