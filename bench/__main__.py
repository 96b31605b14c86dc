"""Command line of the experiments.

Run all with ``python -m bench``, or some by name with ``python -m bench NAME ...``.
"""

import sys
from importlib import import_module

#: Experiments by name; each is a module of this package with ``main(args)``.
NAMES = (
    "path",
    "logclient",
    "membership",
    "floods",
    "retries",
    "starts",
    "cells",
    "packing",
    "leases",
    "interference",
    "quarantine",
    "quotas",
    "placing",
    "passes",
    "waiting",
)


def main(args):
    """Run the named experiments, or all; return the exit code."""
    unknown = [name for name in args if name not in NAMES]
    if unknown:
        print(f"unknown experiments: {', '.join(unknown)}; known: {', '.join(NAMES)}")
        return 2
    for name in args or NAMES:
        print(f"== {name}", flush=True)
        import_module(f"bench.{name}").main([])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
