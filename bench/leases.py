"""Lease length: recovery after a lost instance against riding through store outages.

For each lease, one run loses an instance and others take the store away for 1, 10 and
60 minutes. Long tasks run throughout, so that idle time is what the lease costs. The
last column weighs both by how often they are expected in 30 days.

Run with ``python -m bench.leases``.
"""

import argparse

from bench.fleet import Fleet, job, spec
from dotterelspread.configuration import Configuration, LeaseConfig
from dotterelspread.taskevent import ConfigurationChanged

MEMBERS = 3
TASKS = 6
WARM_UP_S = 200.0
AFTER_S = 60.0
OUTAGES_S = (60.0, 600.0, 3600.0)
#: Expected in 30 days: losses of one instance, and store outages of each length.
LOSSES = 1.0
OUTAGES = (10.0, 2.0, 0.2)


def start_fleet(lease_s, seed):
    fleet = Fleet(MEMBERS, seed, tick_s=1.0)
    configuration = Configuration(leases=LeaseConfig(batch_s=lease_s))
    for agent in fleet.agents:
        fleet.send(agent, ConfigurationChanged, configuration)
    fleet.run(3.0)
    for number in range(TASKS):
        task = spec(f"j{number}/0", 4000 + 8000 * (number % 2), 500, 40_000.0)
        fleet.submit(job(f"j{number}", task))
    fleet.run(WARM_UP_S)
    return fleet


def idle_s(fleet, since_s):
    """Return the mean seconds per task since then in which it did not run."""
    ran_s = sum(
        stop_s - max(start_s, since_s)
        for _, _, start_s, stop_s in fleet.runs()
        if stop_s > since_s
    )
    return fleet.now_s - since_s - ran_s / TASKS


def lose_instance(lease_s, seed):
    """Return (seconds until its tasks run again, seconds of work lost) of a loss."""
    fleet = start_fleet(lease_s, seed)
    victim = max(fleet.agents, key=lambda agent: len(agent.worker.running_by_id))
    lost_by_task = {
        task_id: task.done_s for task_id, task in victim.worker.running_by_id.items()
    }
    lost_at_s = fleet.now_s
    fleet.kill(victim, with_worker=True)
    fleet.tell_members()
    fleet.run(lease_s * 1.1 + AFTER_S)
    again = [
        (start_s - lost_at_s, lost_by_task[run.task_id] - run.done_from_s)
        for agent, run, start_s, _ in fleet.runs()
        if run.task_id in lost_by_task and start_s > lost_at_s
    ]
    if len(again) < len(lost_by_task):
        return float("nan"), float("nan")
    return tuple(sum(column) / len(again) for column in zip(*again, strict=True))


def ride_outage(lease_s, outage_s, seed):
    """Return (idle seconds per task, tasks stopped) by an outage of the store."""
    fleet = start_fleet(lease_s, seed)
    began_s, runs = fleet.now_s, len(fleet.runs())
    fleet.log.is_up = False
    fleet.run(outage_s)
    fleet.log.is_up = True
    fleet.run(AFTER_S)
    return idle_s(fleet, began_s), len(fleet.runs()) - runs


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--leases", type=float, nargs="+", default=[30.0, 120.0, 600.0, 1200.0, 3600.0]
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(args)
    lengths = "".join(f"  idle {outage_s / 60:.0f} min" for outage_s in OUTAGES_S)
    print(f"{MEMBERS} members, {TASKS} tasks, seed {options.seed}; seconds per task")
    print(f"lease s  recovery  work lost{lengths}  restarts  idle in 30 days")
    for lease_s in options.leases:
        recovery_s, lost_s = lose_instance(lease_s, options.seed)
        rides = [ride_outage(lease_s, length, options.seed) for length in OUTAGES_S]
        idle = "".join(f"  {ride[0]:10.1f}" for ride in rides)
        restarts = "/".join(str(ride[1]) for ride in rides)
        expected_s = LOSSES * (recovery_s + lost_s) + sum(
            often * ride[0] for often, ride in zip(OUTAGES, rides, strict=True)
        )
        print(
            f"{lease_s:7.0f}  {recovery_s:8.1f}  {lost_s:9.1f}{idle}"
            f"  {restarts:>8}  {expected_s:15.0f}"
        )


if __name__ == "__main__":
    main()
