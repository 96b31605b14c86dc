"""Goodput and latency per kind of request while other kinds overload the site tenfold.

Entries and agents run in virtual time. Kinds that do not flood arrive at the rate of
their guaranteed share. The production queue is compared with FIFO and strict priority.
"""

import argparse
from collections import Counter, defaultdict
from statistics import quantiles

from bench.requestsite import SERVICE, Bench
from dotterelspread.configuration import KindConfig, ServiceConfig, Urgency
from dotterelspread.outcome import Completed, Refused

KINDS = [
    KindConfig("ticket", Urgency.URGENT, share=0.25, deadline_s=2.0),
    KindConfig("renewal", Urgency.HIGH, share=0.25, deadline_s=2.0),
    KindConfig("price", Urgency.NORMAL, share=0.25, deadline_s=2.0),
    KindConfig("report", Urgency.LOW, share=0.25, deadline_s=2.0),
]
SERVICE_S = {"ticket": 0.08, "renewal": 0.1, "price": 0.12, "report": 0.1}
FLOODING_KINDS_BY_NAME = {
    "least urgent": ["report"],
    "most urgent": ["ticket"],
    "both": ["report", "ticket"],
}
#: Standard deviation of the logarithm of the service times.
SERVICE_TIME_SIGMA = 0.4
WARM_UP_S = 1.0
#: Duration of the measurement of the unloaded p99.
UNLOADED_DURATION_S = 40.0


class FloodBench(Bench):
    """Generates requests of each kind as a Poisson process."""

    def __init__(self, seed, queue, agents, entries):
        kinds_by_name = {kind.name: kind for kind in KINDS}
        service = ServiceConfig(SERVICE, kinds_by_name, "ticket")
        super().__init__(seed, entries, agents, 8, 0.0005, service, queue, 0.0002)
        self.service_s = SERVICE_S
        self.kinds_by_id = {}

    def duration_s(self, agent, kind):
        return self.service_s[kind] * self.rng.lognormvariate(
            -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
        )

    def offer(self, kind, per_s):
        self.after(self.rng.expovariate(per_s), self.offer, kind, per_s)
        entry_id = self.rng.choice(list(self.entries))
        self.kinds_by_id[self.send(entry_id, kind)] = kind


def measure(args, queue, flooding, load):
    """Return by kind (goodput per share, p99 of answers, p99 of refusals)."""
    bench = FloodBench(args.seed, queue, args.agents, args.entries)
    slots = 8 * args.agents
    share_per_s = {k.name: k.share * slots / SERVICE_S[k.name] for k in KINDS}
    for kind, per_s in share_per_s.items():
        factor = 10 / KINDS[0].share if kind in flooding else load
        bench.offer(kind, per_s * factor)
    bench.run_for(WARM_UP_S + args.seconds)
    done_s, refused_s = defaultdict(list), defaultdict(list)
    offered = Counter(
        bench.kinds_by_id[sent.request_id]
        for sent in bench.history.sent_by_id.values()
        if sent.time_s >= WARM_UP_S and sent.request_id in bench.kinds_by_id
    )
    for seen in bench.history.seen:
        sent_s = bench.history.sent_by_id[seen.request_id].time_s
        kind = bench.kinds_by_id.get(seen.request_id)
        if sent_s < WARM_UP_S or kind is None:
            continue
        if isinstance(seen.outcome, Completed):
            done_s[kind].append(seen.time_s - sent_s)
        elif isinstance(seen.outcome, Refused):
            refused_s[kind].append(seen.time_s - sent_s)
    return {
        kind: (
            len(done_s[kind]) / min(offered[kind], per_s * args.seconds),
            p99(done_s[kind]),
            p99(refused_s[kind]),
        )
        for kind, per_s in share_per_s.items()
    }


def p99(values):
    return quantiles(values, n=100)[-1] if len(values) > 1 else float("nan")


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--agents", type=int, default=2)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--queues", default="fair,fifo,strict")
    args = parser.parse_args(args)
    quiet = argparse.Namespace(**vars(args) | {"seconds": UNLOADED_DURATION_S})
    unloaded = measure(quiet, "fair", (), 0.2)
    print(f"{'flood':13} {'queue':7} {'kind':8} kept/share p99/unloaded refusal ms")
    for name, flooding in {"none": [], **FLOODING_KINDS_BY_NAME}.items():
        for queue in args.queues.split(","):
            measured = measure(args, queue, flooding, args.load)
            for kind, (kept, done_s, refused_s) in measured.items():
                ratio = done_s / unloaded[kind][1]
                mark = "*" if kind in flooding else " "
                print(
                    f"{name:13} {queue:7} {kind:8}{mark}"
                    f"{kept:9.2f} {ratio:12.2f} {1000 * refused_s:10.1f}"
                )


if __name__ == "__main__":
    main()
