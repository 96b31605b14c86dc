from dotterelspread.outcome import Completed, RefusalReason, Refused
from dotterelspread.refusallog import MAX_REFUSALS, RefusalLog


def test_only_refusals_are_kept_and_the_oldest_are_evicted():
    log = RefusalLog()
    log.note("done", "dispatch", "book", Completed(200))
    for number in range(MAX_REFUSALS + 1):
        refused = Refused(RefusalReason.SHED, f"number {number}")
        log.note(f"r-{number}", "dispatch", "book", refused)
    assert log.find("done") is None
    assert log.find("r-0") is None
    assert log.find("r-1").detail == "number 1"
    assert len(log.views()) == MAX_REFUSALS
