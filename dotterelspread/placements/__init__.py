"""Variants of `dotterelspread.placement.PlacementPolicy`."""
