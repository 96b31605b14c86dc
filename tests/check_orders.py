"""Play every run of a small fleet: ``python -m tests.check_orders --troubles 3``."""

import logging
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from absl import app, flags

from tests.builders_orders import run_order_scenario
from tests.enumeration import enumerate_choices, partition_choices

FLAGS = flags.FLAGS
flags.DEFINE_integer("troubles", 3, "Most troubles in a run.", lower_bound=0)
flags.DEFINE_integer("jobs", 4, "Shares played at the same time.", lower_bound=1)

#: Choices by which the runs are shared out.
SHARE_DEPTH = 3


def _play_share(troubles, first):
    """Return the number of runs of a share, and what broke in them."""
    violations = []

    def play(choices):
        try:
            run_order_scenario(choices)
        except AssertionError as error:
            violations.append(str(error))

    return enumerate_choices(play, troubles, first), violations


def main(args):
    """Play all runs; return 1 if a promise was broken."""
    del args
    logging.disable()
    beginnings = partition_choices(run_order_scenario, FLAGS.troubles, SHARE_DEPTH)
    runs, failures = 0, 0
    with ProcessPoolExecutor(FLAGS.jobs) as pool:
        play_share = partial(_play_share, FLAGS.troubles)
        for count, violations in pool.map(play_share, beginnings):
            runs += count
            failures += len(violations)
            print(*violations, sep="\n", end="\n" if violations else "", flush=True)
    print(f"{runs} runs with at most {FLAGS.troubles} troubles, {failures} broken")
    return 1 if failures else 0


if __name__ == "__main__":
    app.run(lambda args: sys.exit(main(args)))
