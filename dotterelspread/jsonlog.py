"""JSON log with one line per state change of a process.

Frequent events are counted by `telemetry` instead of being logged.
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
    """Configure JSON logging for this process while the block runs.

    Of libraries only errors are logged, since callers can trigger their warnings at
    will.

    Parameters
    ----------
    settings : DaemonSettings
    stream : file, optional
        Output stream; standard error by default.
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
    """Log a state change.

    Parameters
    ----------
    change : str
        Short constant event text, such as ``instance draining``.
    **fields
        Values that belong to the event.
    """
    _logger.info({**fields, "message": change})


def log_fault(change, error, **fields):
    """Log a fault as a warning, with the error that caused it."""
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
