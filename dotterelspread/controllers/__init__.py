"""The controllers that settings can name."""
