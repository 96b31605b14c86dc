"""Goodput and attempts when a third of the agents fail or become ten times slower.

Entries and agents run in virtual time. The production retry budget is compared with
unlimited retries and with no retries.
"""

import argparse
from statistics import quantiles

from bench.requestsite import SERVICE, Bench
from dotterelspread.configuration import KindConfig, ServiceConfig
from dotterelspread.outcome import Completed
from dotterelspread.retry import RetryBudget

KIND = KindConfig("price", share=1.0, deadline_s=2.0)
SERVICE_S = 0.1
SLOTS_PER_AGENT = 8
#: Time before the faults are injected.
WARM_UP_S = 2.0


class UnlimitedRetries(RetryBudget):
    def take(self):
        return True


class NoRetries(RetryBudget):
    def take(self):
        return False


BUDGETS = {
    "budget": RetryBudget,
    "no budget": UnlimitedRetries,
    "no retries": NoRetries,
}


def fail(bench, agent_id):
    bench.kill_agent(agent_id, is_noticed=False)


def freeze(bench, agent_id):
    bench.agents[agent_id].is_frozen = True


def refuse(bench, agent_id):
    bench.agents[agent_id].state.slots = 0


def slow_down(bench, agent_id):
    bench.slowdown_by_agent[agent_id] = 10.0


FAULTS = {
    "fail": fail,
    "freeze": freeze,
    "refuse all": refuse,
    "10x slower": slow_down,
}


class RetryBench(Bench):
    """Generates idempotent requests of one kind as a Poisson process."""

    def __init__(self, args, budget):
        service = ServiceConfig(SERVICE, {KIND.name: KIND}, KIND.name)
        super().__init__(
            args.seed,
            args.entries,
            args.agents,
            SLOTS_PER_AGENT,
            0.0005,
            service,
            max_action_delay_s=0.0002,
        )
        self.service_s = {KIND.name: SERVICE_S}
        for entry in self.entries.values():
            entry.state.retries = budget()

    def offer(self, per_s):
        self.after(self.rng.expovariate(per_s), self.offer, per_s)
        self.send(self.rng.choice(list(self.entries)), KIND.name)


def measure(args, fault, budget, load):
    """Return the ratio of completed requests, attempts per request and p99 latency."""
    bench = RetryBench(args, budget)
    bench.offer(load * args.agents * SLOTS_PER_AGENT / SERVICE_S)
    bench.run_for(WARM_UP_S)
    sends = bench.sends
    for number in range(args.agents // 3):
        fault(bench, f"a{number}")
    bench.run_for(args.seconds)
    sends = bench.sends - sends
    # Requests sent in the last seconds may not have ended yet.
    sent_by_id = {
        request_id: sent.time_s
        for request_id, sent in bench.history.sent_by_id.items()
        if sent.time_s >= WARM_UP_S
    }
    bench.run_for(KIND.deadline_s + 0.2)
    done_s = [
        seen.time_s - sent_by_id[seen.request_id]
        for seen in bench.history.seen
        if seen.request_id in sent_by_id and isinstance(seen.outcome, Completed)
    ]
    p99_s = quantiles(done_s, n=100)[-1] if len(done_s) > 1 else float("nan")
    return len(done_s) / len(sent_by_id), sends / len(sent_by_id), p99_s


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args(args)
    print(f"{'fault':11} {'load':5} {'retries':11} goodput attempts p99 ms")
    for name, fault in FAULTS.items():
        for load in (0.5, 0.9):
            for label, budget in BUDGETS.items():
                goodput, attempts, p99_s = measure(args, fault, budget, load)
                print(
                    f"{name:11} {load:4.1f}  {label:11}"
                    f"{goodput:7.3f} {attempts:8.2f} {1000 * p99_s:6.0f}"
                )


if __name__ == "__main__":
    main()
