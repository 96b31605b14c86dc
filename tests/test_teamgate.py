"""A team with excess demand borrows idle capacity, but other teams go first."""

from bench.fleet import announcement, job, spec
from dotterelspread.cell import CellState
from dotterelspread.celltask import TaskPhase
from dotterelspread.configuration import Configuration, TeamConfig
from dotterelspread.designation import DesignationTable
from dotterelspread.placement import PlacementView
from dotterelspread.quota import QuotaState
from dotterelspread.record import Envelope, TaskClaimed
from dotterelspread.resources import Resources
from dotterelspread.summary import summarize
from dotterelspread.teamgate import TeamGate, team_amounts

CORES = 8000
TASK = Resources(CORES, 1000)
CONFIGURATION = Configuration(
    teams_by_name={
        name: TeamConfig(name, Resources(64_000, 500_000, 0))
        for name in ("flood", "quiet")
    }
)


def flooded_cell(waits_quiet):
    """Return a cell with one member of 4 slots, 3 of them held by team ``flood``."""
    cell = CellState()
    flood = job("flood", *(spec(f"f/{n}", CORES) for n in range(300)), team="flood")
    records = [announcement(0), flood]
    if waits_quiet:
        records.append(job("quiet", spec("q/0", CORES), team="quiet"))
    records += [TaskClaimed(f"f/{n}", "i00", 1, TASK) for n in range(3)]
    for offset, record in enumerate(records):
        assert cell.apply(offset, Envelope(1, offset, record))
    return cell


def designated_ids(cell):
    quota = QuotaState.from_config(CONFIGURATION)
    capacity = cell.members_by_id["i00"].capacity
    amounts = [team_amounts(cell, p) for p in (TaskPhase.OWNED, TaskPhase.PENDING)]
    quota.apply(0, summarize("cell.0", cell.next_offset, capacity, *amounts))
    table = DesignationTable()
    view = PlacementView.from_cell(cell, CONFIGURATION)
    table.refresh(0.0, view, TeamGate(cell, "cell.0", quota))
    return list(table.by_id)


def test_amounts_are_counted_by_team():
    cell = flooded_cell(waits_quiet=True)
    assert team_amounts(cell, TaskPhase.OWNED) == {"flood": Resources(3 * CORES, 3000)}
    assert team_amounts(cell, TaskPhase.PENDING)["quiet"].millicores == CORES


def test_the_last_slot_goes_to_the_team_below_its_share():
    assert designated_ids(flooded_cell(waits_quiet=True)) == ["q/0"]


def test_an_idle_slot_is_lent_to_the_team_with_excess_demand():
    [task_id] = designated_ids(flooded_cell(waits_quiet=False))
    assert task_id.startswith("f/")
