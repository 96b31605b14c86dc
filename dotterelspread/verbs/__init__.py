"""The verbs of the command-line tool, one module each; see `dotterelspread.verb`."""
