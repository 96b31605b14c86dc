"""Implementations of `backend.Backend`, one module per protocol."""
