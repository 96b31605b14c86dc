"""Program entry point; see `dotterelspread.platform.daemon`."""

import signal
import sys

# By default, SIGHUP (reload settings) terminates a process. It is ignored until the
# handler is installed: the imports below take a while, and the settings are read at
# start anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The worker is fenced before these imports.
if sys.argv[1:] == ["agent"]:
    from .earlyfence import start_fencing

    start_fencing()

from .daemon import main  # noqa: E402

sys.exit(main(sys.argv[1:]))
