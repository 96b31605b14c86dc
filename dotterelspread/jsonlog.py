"""Log lines in JSON, one for each change of state of a process.

What happens often is counted by `telemetry` and gives no line.
"""

import logging
import sys
from contextlib import contextmanager

from pythonjsonlogger.json import JsonFormatter

__all__ = ["log_change", "log_fault", "open_log"]

LOGGER_NAME = "dotterelspread"

_logger = logging.getLogger(LOGGER_NAME)


@contextmanager
def open_log(settings, stream=None):
    """Write the lines of this process as JSON while the block runs.

    Libraries' errors come out the same way; what they warn of, callers can cause.

    Parameters
    ----------
    settings : DaemonSettings
    stream : file, optional
        Where lines go; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_formatter(settings))
    root = logging.getLogger()
    previous = root.handlers, root.level, _logger.level
    root.handlers = [handler]
    root.setLevel(logging.ERROR)
    _logger.setLevel(logging.INFO)
    try:
        yield
    finally:
        root.handlers = previous[0]
        root.setLevel(previous[1])
        _logger.setLevel(previous[2])
        handler.flush()


def log_change(change, **fields):
    """Log a change of state with its fields.

    Parameters
    ----------
    change : str
        What changed, as a short fixed text such as ``instance draining``.
    **fields
        Values that belong to it.
    """
    _logger.info({**fields, "message": change})


def log_fault(change, error, **fields):
    """Log a change of state for the worse, with the error that caused it."""
    _logger.warning({**fields, "message": change, "error": str(error)})


def _formatter(settings):
    return JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level"},
        static_fields={
            "instance_id": settings.instance_id,
            "role": str(settings.role),
        },
        timestamp=True,
    )
