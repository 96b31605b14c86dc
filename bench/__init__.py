"""Experiments: one module each, run with ``python -m bench NAME``."""
