"""Verbs of the command-line tool, one per module; see `dotterelspread.verb`."""
