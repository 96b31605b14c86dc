"""Scheduler for colocated latency-critical and batch work."""

__all__ = ["__version__"]

#: Package version; keep in step with CHANGES.md.
__version__ = "0.1.0"
