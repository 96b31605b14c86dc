"""Scheduler for colocated latency-critical and batch work."""

__all__ = ["__version__"]

#: Version of the package, as in CHANGES.md.
__version__ = "0.1.0"
