import pytest

from bench.fleet import announcement
from dotterelspread.heartbeatevents import PeerStatus
from dotterelspread.record import InstanceAnnounced
from dotterelspread.subset import monitored_ids

AGENTS = [announcement(number, cell="cell.0") for number in range(4)]
OTHER_CELL = announcement(9, cell="cell.1")


@pytest.mark.parametrize(
    ("own", "gone", "monitored"),
    [
        (0, set(), "i01"),
        (3, set(), "i00"),
        (0, {"i01"}, "i02"),
        (2, {"i03", "i00"}, "i01"),
    ],
)
def test_each_agent_monitors_the_next_live_one_of_its_cell(own, gone, monitored):
    def status_of(instance_id):
        return PeerStatus.GONE if instance_id in gone else PeerStatus.LIVE

    others = [agent for agent in AGENTS if agent is not AGENTS[own]]
    ids = monitored_ids(AGENTS[own], [*others, OTHER_CELL], status_of)
    assert ids == {monitored}


def test_an_entry_monitors_a_bounded_number_at_each_distance():
    entry = InstanceAnnounced("e", 1, "entry", "10.0.9.9:1", "dc-a", "region-a")
    agents = [announcement(number, cell="cell.0") for number in range(60)]
    assert len(monitored_ids(entry, agents, lambda _: PeerStatus.LIVE)) == 16
