"""Entry point of ``python -m dotterelspread``, the command-line tool."""

from .cmdline import run

if __name__ == "__main__":
    run()
