"""Implementations of `dotterelspread.worker.Worker`."""
