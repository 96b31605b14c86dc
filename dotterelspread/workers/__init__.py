"""Variants of `dotterelspread.worker.Worker`."""
