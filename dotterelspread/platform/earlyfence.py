"""First call of an agent's process to its worker, made while the rest is imported.

A worker that starts again under its id takes calls that were meant for its earlier
incarnation, until the agent has called it under a session of its own (see
`dotterelspread.jobs.workersession`). If the agent starts at the same time, that call
would wait for the imports of the process, which take several times as long as all that
is imported here. This one changes nothing but the fencing token of the worker, for
which the time of day needs no leader. The sessions of the process begin later.
"""

import os
import socket
import threading
import time
import tomllib

__all__ = ["fence_worker", "start_fencing"]

#: The same variable and field as in `settings`, which takes too long to import.
SETTINGS_VARIABLE = "DOTTERELSPREAD_BOOT"
ADDRESS_FIELD = "app"
#: Time after which the calls of the process's sessions have begun.
MAX_FENCING_S = 2.0
#: Timeouts of an attempt, and delays before the next one; the last ones are repeated.
ATTEMPT_TIMEOUTS_S = (0.05, 0.1, 0.2)
RETRY_DELAYS_S = (0.01, 0.02, 0.04, 0.08)
#: Length of the replies' first line up to the status, such as ``HTTP/1.1 200``.
STATUS_BYTES = 12
#: Statuses that show that the worker has taken a token, this one or a later one.
FENCED_STATUSES = (b"200", b"409")


def start_fencing(environment=os.environ):
    """Fence the worker of the settings file, in a thread; see `fence_worker`.

    Settings that cannot be read are left to the process, which names the error.
    """
    try:
        with open(environment[SETTINGS_VARIABLE], "rb") as file:
            address = tomllib.load(file)[ADDRESS_FIELD]
        host, _, port = address.rpartition(":")
        target = host, int(port)
    except (KeyError, OSError, ValueError, AttributeError):
        return
    threading.Thread(target=fence_worker, args=target, daemon=True).start()


def fence_worker(host, port):
    """Call a worker until it has taken the time of day as fencing token.

    Returns
    -------
    bool
        Whether it has; it may not be there.
    """
    end_s = time.monotonic() + MAX_FENCING_S
    attempt = 0
    while time.monotonic() < end_s:
        timeout_s = ATTEMPT_TIMEOUTS_S[min(attempt, len(ATTEMPT_TIMEOUTS_S) - 1)]
        if _call(host, port, timeout_s) in FENCED_STATUSES:
            return True
        time.sleep(RETRY_DELAYS_S[min(attempt, len(RETRY_DELAYS_S) - 1)])
        attempt += 1
    return False


def _call(host, port, timeout_s):
    """Return the status of a call under a new token; empty without a reply."""
    token = time.time_ns() // 1_000_000
    body = f'{{"FencingToken":{token},"LastSeen":0,"WaitMs":0}}'
    head = (
        f"POST /api/hold HTTP/1.1\r\nHost: {host}:{port}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    try:
        with socket.create_connection((host, port), timeout_s) as connection:
            connection.sendall((head + body).encode())
            return _receive(connection, STATUS_BYTES)[-3:]
    except (OSError, ValueError, OverflowError):
        return b""


def _receive(connection, count):
    received = b""
    while len(received) < count:
        data = connection.recv(count - len(received))
        if not data:
            break
        received += data
    return received
