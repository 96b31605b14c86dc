"""Stream records that cannot be decoded: they are logged and left out."""

import msgspec

from ..counters import counters
from ..decisionlog import log_decision

__all__ = ["UNREADABLE_ERRORS", "log_unreadable"]

#: Raised on a record that is malformed, out of range or nested too deeply.
UNREADABLE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)


def log_unreadable(key, error):
    """Log and count a record that is left out."""
    counters.add("unreadable_records")
    log_decision("record unreadable", key=key, error=f"{type(error).__name__}: {error}")
