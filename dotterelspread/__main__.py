"""Run the command-line tool: ``python -m dotterelspread``."""

from .cmdline import run

if __name__ == "__main__":
    run()
