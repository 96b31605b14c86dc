"""Clients for the platform's log, one module per protocol."""

__all__ = []
