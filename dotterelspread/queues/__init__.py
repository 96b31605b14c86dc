"""Variants of the queue of admitted requests."""
