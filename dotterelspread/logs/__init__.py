"""Ways to reach the platform's log, one module each."""

__all__ = []
