"""Runs `dotterelspread.platform.daemon` as a program."""

import signal
import sys

# The signal to read the settings again would end a process that has not installed its
# handler yet; they are read at the start anyway. The imports below take a while.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .daemon import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
