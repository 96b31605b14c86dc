"""Fleet in two data centres, one of which is evacuated, on virtual time."""

from dotterelspread.jobs import clock
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.platform.configuration import CONFIGURATION_STREAM
from tests.builders_fleet import make_job, make_step, run_scenario

__all__ = [
    "EVACUATE_S",
    "FIRST_JOB_NUMBER",
    "MAX_START_DELAY_S",
    "NORTH",
    "SOUTH",
    "check_no_late_start",
    "cut_off_workers",
    "delete_records",
    "evacuate",
    "expect_completed_after_healing",
    "keep_submitting",
    "restore",
    "run_evacuation",
    "starts_after",
    "workers_in",
]

NORTH, SOUTH = "north", "south"
EVACUATE_S = 5.0
#: Half of the bound is kept as a margin.
MAX_START_DELAY_S = EVACUATE_S / 2
#: Interval at which jobs are submitted.
SUBMIT_INTERVAL_S = 0.1
FIRST_JOB_NUMBER = 1000


def run_evacuation(scenario, seed=1, agents=4, **sizes):
    """Run a scenario on a fleet whose workers are in two data centres."""
    sizes.setdefault("data_centres", (NORTH, SOUTH))
    evacuate_ms = int(EVACUATE_S * 1000)
    return run_scenario(scenario, seed, agents=agents, evacuate_ms=evacuate_ms, **sizes)


def _append(fleet, name, value):
    record = KeyedRecord(f"evacuate/{name}", value)
    fleet.store.stream(CONFIGURATION_STREAM).records.append(record)
    return clock.now_s()


def evacuate(fleet, name):
    """Evacuate a data centre; return when the store acknowledged it."""
    return _append(fleet, name, b"{}")


def restore(fleet, name):
    """Revoke the evacuation of a data centre; return when."""
    return _append(fleet, name, b"")


def workers_in(fleet, name):
    """Return the workers in a data centre."""
    return [worker for worker in fleet.workers if worker.data_centre == name]


def starts_after(fleet, name, begin_s):
    """Return the delays after ``begin_s`` of later starts in a data centre."""
    return [
        round(start_s - begin_s, 3)
        for worker in workers_in(fleet, name)
        for start_s, _ in worker.starts
        if start_s > begin_s
    ]


def check_no_late_start(fleet, name, begin_s, end_s=float("inf")):
    """Check that nothing started in a data centre long after its evacuation."""
    delays = starts_after(fleet, name, begin_s)
    late = [d for d in delays if MAX_START_DELAY_S < d < end_s - begin_s]
    assert not late, f"{name}: starts {late} s after the evacuation"


def cut_off_workers(fleet, name, is_cut_off):
    """Cut the workers in a data centre off from their agents, or end that."""
    for worker in workers_in(fleet, name):
        worker.is_cut_off = is_cut_off


async def expect_completed_after_healing(fleet):
    """End the faults of store and network, and expect that all jobs complete."""
    fleet.store.mode_by_node.clear()
    fleet.store.unreadable.clear()
    fleet.network.partitioned.clear()
    fleet.network.cut_pairs.clear()
    await fleet.expect_completed(20)


async def keep_submitting(fleet, seconds, number=FIRST_JOB_NUMBER, entry=0, count=3):
    """Submit short jobs for a while, whether they are accepted or not."""
    end_s = clock.now_s() + seconds
    while clock.now_s() < end_s:
        number += 1
        await fleet.submit(make_job(number, (make_step(count=count),)), entry, 800)
        await fleet.settle(SUBMIT_INTERVAL_S)
    return number


def delete_records(fleet):
    """Delete the records of the operators' stream; only newest ones can be read."""
    end = len(fleet.store.stream(CONFIGURATION_STREAM).records)
    fleet.store.first_offset_by_stream[CONFIGURATION_STREAM] = end
