"""Run all scenarios of a small fleet: ``python -m tests.check_orders --troubles 3``."""

import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from absl import app, flags

from tests.builders_orders import run_order_scenario
from tests.enumeration import enumerate_choices, partition_choices

FLAGS = flags.FLAGS
flags.DEFINE_integer("troubles", 3, "Maximum number of faults in a run.", lower_bound=0)
flags.DEFINE_integer(
    "jobs", 4, "Number of processes that run scenarios.", lower_bound=1
)

#: Number of leading choices by which the runs are partitioned.
PREFIX_LENGTH = 3


def _run_partition(max_faults, prefix):
    """Return the number of runs with a prefix, and the violations in them."""
    violations = []

    def run_scenario(choices):
        try:
            run_order_scenario(choices)
        except AssertionError as error:
            violations.append(str(error))

    return enumerate_choices(run_scenario, max_faults, prefix), violations


def main(args):
    """Execute all runs; return 1 if an invariant was violated."""
    del args
    logging.disable()
    prefixes = partition_choices(run_order_scenario, FLAGS.troubles, PREFIX_LENGTH)
    runs, failures = 0, 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        run_partition = partial(_run_partition, FLAGS.troubles)
        for count, violations in pool.map(run_partition, prefixes):
            runs += count
            failures += len(violations)
            print(*violations, sep="\n", end="\n" if violations else "", flush=True)
    print(f"{runs} runs with at most {FLAGS.troubles} faults, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    app.run(lambda args: sys.exit(main(args)))
