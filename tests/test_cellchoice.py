from bench.fleet import job, spec
from dotterelspread.cellchoice import (
    MAX_CELL_MEMBERS,
    CellMemberView,
    CellView,
    choose_cell,
    choose_cell_to_join,
)
from dotterelspread.configuration import Configuration, SelectorConfig
from dotterelspread.outcome import RefusalReason
from dotterelspread.resources import Resources

SMALL = CellMemberView("i00", Resources(8000, 8000))
LARGE = CellMemberView("i01", Resources(32_000, 8000), {"disk": "fast"})
CELLS = [
    CellView("cell.a", "dc-a", (SMALL,)),
    CellView("cell.b", "dc-b", (LARGE,), used=Resources(24_000)),
    CellView("cell.c", "dc-c", (LARGE,), used=Resources(4000)),
]


def test_a_job_goes_to_the_least_loaded_cell_that_can_hold_it():
    configuration = Configuration()
    assert choose_cell(job("j", spec("j/0", 8000)), CELLS, configuration) == "cell.a"
    assert choose_cell(job("j", spec("j/0", 9000)), CELLS, configuration) == "cell.c"
    refused = choose_cell(job("j", spec("j/0", 64_000)), CELLS, configuration)
    assert refused.reason is RefusalReason.NEVER_FITS
    assert "64000 millicores" in refused.detail and "32000" in refused.detail


def test_selectors_restrict_the_cells():
    selector = SelectorConfig("fast", {"io": "high"}, {"disk": "fast"})
    configuration = Configuration(selectors_by_name={"fast": selector})
    chosen = choose_cell(job("j", labels={"io": "high"}), CELLS, configuration)
    assert chosen == "cell.c"


def test_an_agent_joins_the_fullest_cell_that_is_not_full():
    full = CellView("cell.dc-a.0", "dc-a", (SMALL,) * MAX_CELL_MEMBERS)
    half = CellView("cell.dc-a.1", "dc-a", (SMALL,) * 3)
    assert choose_cell_to_join("dc-a", [full, half]) == "cell.dc-a.1"
    assert choose_cell_to_join("dc-a", [full]) == "cell.dc-a.1"
    assert choose_cell_to_join("dc-b", [full, half]) == "cell.dc-b.0"
