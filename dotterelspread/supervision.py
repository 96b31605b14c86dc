"""Background loops that survive an unexpected error.

An error that no code handles ends one round of a loop, not the process or the term of a
leader: it is logged and counted, and the loop starts again after a delay.
"""

import asyncio

from .counters import counters
from .decisionlog import log_decision

__all__ = ["log_unexpected", "run_supervised"]

#: Delay before a loop that failed is started again.
RESTART_DELAY_S = 0.5


def log_unexpected(task, error, **fields):
    """Log and count an error that no code handled, with the task that it ended."""
    counters.add("faults", task=task)
    log_decision("fault", task=task, error=f"{type(error).__name__}: {error}", **fields)


async def run_supervised(task, run, ended_by=(), **fields):
    """Run a loop until it returns, and start it again after each unexpected error.

    Parameters
    ----------
    task : str
        Name of the loop in the log.
    run : coroutine function
        Takes no arguments.
    ended_by : tuple of type
        Exceptions that end the loop.
    **fields
        Values added to the log line of an error.
    """
    while True:
        try:
            return await run()
        except ended_by:
            return None
        except Exception as error:
            log_unexpected(task, error, **fields)
            await asyncio.sleep(RESTART_DELAY_S)
