"""Experiments, one per module; run one with ``python -m bench NAME``."""
