"""The controllers that settings can select by name."""
