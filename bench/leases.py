"""Lease duration: recovery after an instance failure against tolerance of outages.

For each lease duration, one run kills an instance, and others make the store
unavailable for 1, 10 and 60 minutes. Long tasks run throughout, so idle time is the
cost of the lease. The last column weights both by their expected number in 30 days.

Run with ``python -m bench.leases``.
"""

import argparse

from bench.fleet import Fleet, job, spec
from dotterelspread.configuration import Configuration, LeaseConfig
from dotterelspread.taskevent import ConfigurationChanged

MEMBER_COUNT = 3
TASK_COUNT = 6
WARM_UP_S = 200.0
RECOVERY_WINDOW_S = 60.0
OUTAGE_DURATIONS_S = (60.0, 600.0, 3600.0)
#: Expected failures of one instance, and expected store outages of each duration.
LOSSES_PER_30_DAYS = 1.0
OUTAGES_PER_30_DAYS = (10.0, 2.0, 0.2)


def start_fleet(lease_s, seed):
    fleet = Fleet(MEMBER_COUNT, seed, tick_s=1.0)
    configuration = Configuration(leases=LeaseConfig(batch_s=lease_s))
    for agent in fleet.agents:
        fleet.send(agent, ConfigurationChanged, configuration)
    fleet.run(3.0)
    for number in range(TASK_COUNT):
        task = spec(f"j{number}/0", 4000 + 8000 * (number % 2), 500, 40_000.0)
        fleet.submit(job(f"j{number}", task))
    fleet.run(WARM_UP_S)
    return fleet


def idle_s(fleet, since_s):
    """Return the mean time per task since ``since_s`` in which it did not run."""
    ran_s = sum(
        stop_s - max(start_s, since_s)
        for _, _, start_s, stop_s in fleet.runs()
        if stop_s > since_s
    )
    return fleet.now_s - since_s - ran_s / TASK_COUNT


def simulate_instance_loss(lease_s, seed):
    """Kill an instance; return (mean restart delay, mean lost work) in seconds."""
    fleet = start_fleet(lease_s, seed)
    victim = max(fleet.agents, key=lambda agent: len(agent.worker.running_by_id))
    lost_by_task = {
        task_id: task.done_s for task_id, task in victim.worker.running_by_id.items()
    }
    lost_at_s = fleet.now_s
    fleet.kill(victim, with_worker=True)
    fleet.send_members()
    fleet.run(lease_s * 1.1 + RECOVERY_WINDOW_S)
    restarts_after_loss = [
        (start_s - lost_at_s, lost_by_task[run.task_id] - run.done_from_s)
        for agent, run, start_s, _ in fleet.runs()
        if run.task_id in lost_by_task and start_s > lost_at_s
    ]
    if len(restarts_after_loss) < len(lost_by_task):
        return float("nan"), float("nan")
    return tuple(
        sum(column) / len(restarts_after_loss)
        for column in zip(*restarts_after_loss, strict=True)
    )


def simulate_outage(lease_s, outage_s, seed):
    """Make the store unavailable; return (idle seconds per task, restarted tasks)."""
    fleet = start_fleet(lease_s, seed)
    outage_start_s, runs = fleet.now_s, len(fleet.runs())
    fleet.log.is_up = False
    fleet.run(outage_s)
    fleet.log.is_up = True
    fleet.run(RECOVERY_WINDOW_S)
    return idle_s(fleet, outage_start_s), len(fleet.runs()) - runs


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--leases", type=float, nargs="+", default=[30.0, 120.0, 600.0, 1200.0, 3600.0]
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(args)
    lengths = "".join(
        f"  idle {outage_s / 60:.0f} min" for outage_s in OUTAGE_DURATIONS_S
    )
    print(
        f"{MEMBER_COUNT} members, {TASK_COUNT} tasks, seed {options.seed};"
        " seconds per task"
    )
    print(f"lease s  recovery  work lost{lengths}  restarts  idle in 30 days")
    for lease_s in options.leases:
        recovery_s, lost_s = simulate_instance_loss(lease_s, options.seed)
        outages = [
            simulate_outage(lease_s, length, options.seed)
            for length in OUTAGE_DURATIONS_S
        ]
        idle = "".join(f"  {outage[0]:10.1f}" for outage in outages)
        restarts = "/".join(str(outage[1]) for outage in outages)
        expected_s = LOSSES_PER_30_DAYS * (recovery_s + lost_s) + sum(
            frequency * outage[0]
            for frequency, outage in zip(OUTAGES_PER_30_DAYS, outages, strict=True)
        )
        print(
            f"{lease_s:7.0f}  {recovery_s:8.1f}  {lost_s:9.1f}{idle}"
            f"  {restarts:>8}  {expected_s:15.0f}"
        )


if __name__ == "__main__":
    main()
