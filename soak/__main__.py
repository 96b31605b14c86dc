"""Run soak tests: ``python -m soak --seed 1 --seeds 50 --seconds 12 --jobs 4``."""

import asyncio
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from .faults import FAULTS, choose_faults
from .hopelessjobs import soak_hopeless
from .run import soak

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.", lower_bound=0)
flags.DEFINE_integer("seeds", 1, "Number of consecutive seeds.", lower_bound=1)
flags.DEFINE_integer("jobs", 1, "Number of concurrent soak runs.", lower_bound=1)
flags.DEFINE_integer(
    "seconds", 12, "Seconds of fault injection in each run.", lower_bound=1
)
flags.DEFINE_integer("entries", 2, "Number of entries in each run.", lower_bound=1)
flags.DEFINE_integer(
    "agents", 4, "Number of agents, and of workers, in each run.", lower_bound=1
)
flags.DEFINE_multi_enum(
    "fault",
    [],
    sorted({fault.__name__ for fault in FAULTS}),
    "Fault to inject, may be repeated; all faults if it is not given.",
)
flags.DEFINE_bool(
    "hopeless", False, "Play hopeless jobs beside small ones, and kill entries only."
)
flags.DEFINE_string("keep", "", "Folder for the logs of failed runs.")


async def _soak_seeds(limit, seeds):
    # On SIGTERM, clean up as at a normal end: a leftover process would hold the
    # addresses of a later run.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    failed = []

    async def one(seed):
        async with limit:
            folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            arguments = (FLAGS.seconds, FLAGS.entries, FLAGS.agents)
            faults = choose_faults(FLAGS.fault)
            if FLAGS.hopeless:
                violations, summary = await soak_hopeless(folder, seed, *arguments)
            else:
                violations, summary = await soak(folder, seed, *arguments, faults)
            print(
                f"seed {seed}: {summary}; {violations or 'no violations'}",
                flush=True,
            )
            if violations:
                failed.append(seed)
                if FLAGS.keep:
                    shutil.copytree(folder, Path(FLAGS.keep) / folder.name)
            shutil.rmtree(folder)

    await asyncio.gather(*map(one, seeds))
    return failed


def main(args):
    """Run one soak per seed; return 1 if an invariant was violated."""
    del args
    limit = asyncio.Semaphore(FLAGS.jobs)
    seeds = range(FLAGS.seed, FLAGS.seed + FLAGS.seeds)
    failed = asyncio.run(_soak_seeds(limit, seeds))
    print(f"{len(seeds)} soaks, {len(failed)} violated an invariant: {sorted(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(lambda args: sys.exit(main(args)))
