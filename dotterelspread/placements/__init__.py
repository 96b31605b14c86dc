"""Implementations of `dotterelspread.placement.PlacementPolicy`."""
