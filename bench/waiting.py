"""Waiting times of small and large jobs by placement policy, on virtual time.

All policies get the same jobs of `waitingload`.

``python -m bench.waiting [--seeds N] [--seconds N] [--large KIND ...]
[--loads LOAD ...]``
"""

import argparse
import random
from dataclasses import dataclass

from bench.simulatedworker import CAPACITY, SERVING_RATIO
from bench.waitingload import LARGE, LARGE_KINDS, SERVING, SMALL, Outcome, WaitingLoad
from dotterelspread.jobs.placement import reservations
from dotterelspread.jobs.placementpolicy import MAX_RESERVED_JOBS, PlacementPolicy

#: Time after the arrivals in which the jobs complete.
DRAIN_S = 30.0
#: Policy without claims: backfill for the head of each queue only.
NO_CLAIMS = "EASY"
POLICIES = {
    "off": PlacementPolicy(),
    "gaps": PlacementPolicy(0, True),
    "head": PlacementPolicy(1),
    NO_CLAIMS: PlacementPolicy(1),
    "each": PlacementPolicy(MAX_RESERVED_JOBS),
    "two and gaps": PlacementPolicy(2, True),
}


@dataclass(slots=True, frozen=True)
class Arrivals:
    """Events of a load in addition to the steady arrivals."""

    #: Small jobs submitted together just before a large one.
    burst: int = 0
    #: Large jobs submitted together at the begin.
    large_first: int = 0
    estimate_ratio: float = 1.0
    #: Time at which an instance is lost; 0 for never.
    loss_s: float = 0.0


#: Small and large jobs per second, by kind of the large ones: most of the room.
RATES = {"filler": (3.0, 0.18), "batch": (4.5, 0.1), "gang": (4.0, 0.07)}
LOADS = {
    "steady": Arrivals(),
    "small burst ahead": Arrivals(burst=15),
    "large ahead": Arrivals(large_first=4),
    "estimates off by 0.9": Arrivals(estimate_ratio=1.9),
    "instance lost": Arrivals(loss_s=20.0),
}


def simulate(arrivals, large_kind, policy, seed, seconds):
    """Play a load and return the `WaitingLoad`, with all work of its arrivals over."""
    load = WaitingLoad(policy, seed, arrivals.estimate_ratio)
    # The same jobs for each policy, whatever the order of the draws.
    times = random.Random(seed)
    events = [(0.5, "large")] * arrivals.large_first
    if arrivals.burst:
        events += [(5.0, "small")] * arrivals.burst + [(5.5, "large")]
    small_rate, large_rate = RATES[large_kind]
    at_s = 1.0
    while (at_s := at_s + times.expovariate(small_rate)) < seconds:
        events.append((at_s, "small"))
    # Large jobs are few; at random times some runs would have none.
    events += [
        ((number + 0.5) / large_rate, "large")
        for number in range(round(seconds * large_rate))
    ]
    if arrivals.loss_s:
        events.append((arrivals.loss_s, "loss"))
    begin_s = load.now_s
    for at_s, kind in sorted(events):
        load.run(max(0.0, begin_s + at_s - load.now_s))
        if kind == "small":
            load.submit_small()
        elif kind == "large":
            load.submit_large(large_kind)
        else:
            load.lose(load.workers[0])
    load.run(max(0.0, begin_s + seconds - load.now_s))
    room = sum(worker.is_up for worker in load.workers) * (
        CAPACITY.millicores - SERVING_RATIO * SERVING.millicores
    )
    load.used_ratio = load.used_core_s / (room / 1000 * seconds)
    load.run(DRAIN_S)
    return load


def play_policy(name, arrivals, large_kind, seed, seconds):
    """Simulate a load under a policy of `POLICIES`."""
    min_age_s = reservations.MIN_CLAIM_AGE_S
    if name == NO_CLAIMS:
        reservations.MIN_CLAIM_AGE_S = float("inf")
    try:
        return simulate(arrivals, large_kind, POLICIES[name], seed, seconds)
    finally:
        reservations.MIN_CLAIM_AGE_S = min_age_s


def main(args):
    parser = argparse.ArgumentParser(prog="bench.waiting")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--large", nargs="+", default=LARGE_KINDS, choices=LARGE_KINDS)
    parser.add_argument("--loads", nargs="+", default=tuple(LOADS), choices=LOADS)
    options = parser.parse_args(args)
    print(
        "large   load                  policy           large wait p50   p95  in time"
        "  small wait p95  in time  room used"
    )
    for kind in options.large:
        for load_name in options.loads:
            for name in POLICIES:
                _print_row(kind, load_name, name, options)


def _print_row(kind, load_name, name, options):
    large, small, used = Outcome(), Outcome(), 0.0
    for seed in range(options.seeds):
        load = play_policy(name, LOADS[load_name], kind, seed, options.seconds)
        used += load.used_ratio / options.seeds
        for total, queue in ((large, LARGE), (small, SMALL)):
            part = load.outcome(queue)
            total.waits_s += part.waits_s
            total.jobs += part.jobs
            total.in_time += part.in_time
    print(
        f"{kind:6}  {load_name:20}  {name:15}  {large.wait_s(0.5):14.2f}"
        f"  {large.wait_s(0.95):4.2f}  {large.served_ratio:7.2f}"
        f"  {small.wait_s(0.95):14.2f}  {small.served_ratio:7.2f}  {used:9.2f}",
        flush=True,
    )


if __name__ == "__main__":
    main(None)
