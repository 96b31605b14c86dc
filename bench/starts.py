"""Task starts in a cell: appends, void claims, bytes read, processor time and delay.

Runs the production reducers of one cell in virtual time with the fake log and workers
of the tests. Compares claims, as in production, with direct assignment by the reducer,
which needs no claim but waits for the lease to expire when the assigned member has just
died. A second table shows urgent tasks that arrive at a full cell.

Run with ``python -m bench.starts``.
"""

import argparse
import random
import statistics

from bench.fleet import Fleet, job, spec
from dotterelspread.cell import CellState
from dotterelspread.celltask import TaskPhase
from dotterelspread.designation import DesignationTable
from dotterelspread.placement import PlacementView
from dotterelspread.record import TaskClaimed, TaskEnded

STARTS_PER_S = 7.0
WARM_UP_S = 3.0
#: Target for the bytes per second that a member reads.
MAX_BYTES_PER_S = 2000
LEASE_S = 120
#: (append latency, read lag) of the store in seconds.
STORE_DELAYS_S = ((0.02, 0.05), (0.06, 0.1), (0.3, 0.5))
HEARTBEAT_TIMEOUT_S = 3.0


class AssigningCell(CellState):
    """A cell whose reducer assigns each pending task to the member ranked first."""

    __slots__ = ("configuration",)

    def apply(self, offset, envelope):
        is_valid = super().apply(offset, envelope)
        view = PlacementView.from_cell(self, self.configuration)
        table = DesignationTable()
        table.refresh(0.0, view)
        for task_id, designation in table.by_id.items():
            member = self.members_by_id[designation.ranked_ids[0]]
            claim = TaskClaimed(
                task_id,
                member.instance_id,
                member.incarnation,
                designation.demand,
                LEASE_S,
            )
            renewal_offset = member.renewal_offset
            self.assign_owner(self.tasks_by_id[task_id], member, claim, offset)
            member.renewal_offset = renewal_offset
        return is_valid


class LatestRenewal:
    """Gives assigned tasks, which have no claim, the time of the latest renewal."""

    def __init__(self, state):
        self.state = state

    def pop(self, key, default):
        return self.state.renewed_s

    def __setitem__(self, key, value):
        pass


def use_assignment(fleet):
    for agent in fleet.agents:
        cell = AssigningCell()
        cell.configuration = agent.state.configuration
        agent.state.cell = cell
        agent.state.claims_sent_s = LatestRenewal(agent.state)


def percentile(values, part):
    ordered = sorted(values)
    return ordered[int(part * (len(ordered) - 1))] if ordered else float("nan")


def submit_steadily(fleet, duration_s, rate, make_job):
    """Submit jobs as a Poisson process; return the submission times by task."""
    rng = random.Random(fleet.random.random())
    submitted_by_task = {}
    at_s, number = 0.0, 0
    while at_s < duration_s:
        record = make_job(number, rng)
        fleet.after(at_s, fleet.submit, record)
        for task in record.tasks:
            submitted_by_task[task.task_id] = fleet.now_s + at_s
        number += 1
        at_s += rng.expovariate(rate)
    return submitted_by_task


def small_job(number, rng):
    millicores = rng.choice([500, 1000, 1000, 2000, 4000])
    run_time_s = min(60.0, rng.lognormvariate(2.0, 0.8))
    return job(f"j{number:05d}", spec(f"j{number:05d}/0", millicores, 500, run_time_s))


def large_job(number, rng):
    """Return a job of about 64 core-seconds, so that 16 members are overloaded."""
    millicores = rng.choice([4000, 8000, 8000, 16_000])
    run_time_s = min(60.0, rng.lognormvariate(2.2, 0.6))
    return job(f"j{number:05d}", spec(f"j{number:05d}/0", millicores, 500, run_time_s))


def start_delays(fleet, submitted_by_task):
    first_by_task = {}
    for _, run, start_s, _ in fleet.runs():
        first = first_by_task.get(run.task_id, start_s)
        first_by_task[run.task_id] = min(first, start_s)
    return [
        first_by_task.get(task_id, fleet.now_s) - submitted_s
        for task_id, submitted_s in submitted_by_task.items()
    ]


def kill_busiest(fleet):
    victim = max(fleet.agents, key=lambda agent: len(agent.worker.running_by_id))
    fleet.kill(victim, with_worker=True)


def count_claims(fleet, cell):
    """Return the numbers of valid claims, void claims and ended tasks in the log."""
    valid = void = ends = 0
    for offset, envelopes in enumerate(fleet.log.entries):
        for envelope in envelopes:
            is_valid = cell.apply(offset, envelope)
            if isinstance(envelope.record, TaskClaimed):
                valid += is_valid
                void += not is_valid
            ends += isinstance(envelope.record, TaskEnded) and is_valid
    return valid, void, ends


def run_cell(size, store, duration_s, mode, has_kill, seed):
    append_s, lag_s = store
    fleet = Fleet(size, seed, append_s=append_s, lag_s=lag_s, tick_s=0.25)
    if mode == "assign":
        use_assignment(fleet)
    fleet.run(WARM_UP_S)
    appends, size_before = len(fleet.log.entries), fleet.log.bytes_appended
    for agent in fleet.agents:
        agent.reducer_s = 0.0
    make_job = large_job if mode == "full" else small_job
    submitted = submit_steadily(fleet, duration_s, STARTS_PER_S, make_job)
    if has_kill:
        fleet.after(duration_s / 3, kill_busiest, fleet)
        fleet.after(duration_s / 3 + HEARTBEAT_TIMEOUT_S, fleet.send_members)
    fleet.run(duration_s)
    appends = len(fleet.log.entries) - appends
    reducer_s = statistics.mean(agent.reducer_s for agent in fleet.agents)
    bytes_per_s = (fleet.log.bytes_appended - size_before) / duration_s
    fleet.run(20.0)
    delays = start_delays(fleet, submitted)
    valid, void, _ = count_claims(fleet, CellState())
    starts = valid if mode != "assign" else len(submitted)
    return (
        (appends - len(submitted)) / starts,
        appends / starts,
        100 * void / max(valid, 1),
        percentile(delays, 0.5),
        percentile(delays, 0.99),
        max(delays),
        bytes_per_s,
        1000 * reducer_s / duration_s,
    )


def print_cells(sizes, duration_s, seed):
    print(f"{STARTS_PER_S:.0f} starts/s a cell for {duration_s:.0f} s, seed {seed}")
    print(
        "members  append+lag ms  mode     one dies  appends/start  with submission"
        "  void %  start p50  p99 s  max s  B/s read  CPU ms/s"
    )
    middle = sizes[-2]
    cases = [(size, STORE_DELAYS_S[0], "claim", False) for size in sizes]
    cases += [(middle, store, "claim", False) for store in STORE_DELAYS_S[1:]]
    cases += [(middle, store, "full", False) for store in STORE_DELAYS_S]
    cases += [(middle, STORE_DELAYS_S[0], "assign", False)]
    cases += [(middle, STORE_DELAYS_S[0], mode, True) for mode in ("claim", "assign")]
    for size, store, mode, has_kill in cases:
        row = run_cell(size, store, duration_s, mode, has_kill, seed)
        delays = "+".join(f"{1000 * part:.0f}" for part in store)
        print(
            f"{size:7d}  {delays:>13}  {mode:7}  {'yes' if has_kill else 'no':>8}"
            f"  {row[0]:13.2f}  {row[1]:15.2f}  {row[2]:6.1f}  {row[3]:9.2f}"
            f"  {row[4]:5.2f}  {row[5]:5.1f}  {row[6]:8.0f}  {row[7]:8.1f}"
        )
    print("full: tasks arrive faster than the cell can run them, and wait")
    print(f"targets: appends/start < 2, void < 5 %, B/s < {MAX_BYTES_PER_S}")


def urgent_job(number, rng):
    millicores = rng.choice([2000, 8000, 16000])
    task = spec(f"u{number}/0", millicores, 500, 20.0)
    return job(f"u{number}", task, urgency=3)


def run_urgent(size, store, duration_s, rate, seed):
    append_s, lag_s = store
    fleet = Fleet(size, seed, append_s=append_s, lag_s=lag_s, tick_s=0.25)
    fleet.run(WARM_UP_S)
    rng = random.Random(seed)
    for number in range(size * 8):
        fill = spec(f"f{number}/0", rng.choice([2000, 4000, 8000]), 500, 3600.0)
        fleet.submit(job(f"f{number}", fill))
    fleet.run(15.0)
    free = sum(a.state.member.room.millicores for a in fleet.agents)
    submitted = submit_steadily(fleet, duration_s, rate, urgent_job)
    fleet.run(duration_s + 10.0)
    cell = fleet.agents[0].state.cell
    delays = start_delays(fleet, submitted)
    releases = sum(task.releases for task in cell.tasks_by_id.values())
    waiting = sum(
        task.phase is TaskPhase.PENDING and task.urgency == 3
        for task in cell.tasks_by_id.values()
    )
    return len(submitted), free / size, delays, releases, waiting


def print_urgent(size, duration_s, seed):
    print(f"\nurgent tasks at a full cell of {size}, {duration_s:.0f} s, seed {seed}")
    print("append+lag ms  urgent  free/member  p50 s  p99 s  max s  evicted  waiting")
    for store in STORE_DELAYS_S:
        count, free, delays, releases, waiting = run_urgent(
            size, store, duration_s, 1.0, seed
        )
        label = "+".join(f"{1000 * part:.0f}" for part in store)
        print(
            f"{label:>13}  {count:6d}  {free:11.0f}  {percentile(delays, 0.5):5.2f}"
            f"  {percentile(delays, 0.99):5.2f}  {max(delays):5.2f}"
            f"  {releases:7d}  {waiting:7d}"
        )
    print("target: p99 < 6.6 s")


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32])
    parser.add_argument("--duration", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(args)
    print_cells(options.sizes, options.duration, options.seed)
    print_urgent(options.sizes[-2], options.duration, options.seed)


if __name__ == "__main__":
    main()
