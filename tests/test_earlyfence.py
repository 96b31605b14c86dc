"""The first call of an agent's process does not wait for its imports."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager

import pytest

from dotterelspread.fleetnode import METRICS_PORT
from dotterelspread.platform import earlyfence
from dotterelspread.platform.settings import SETTINGS_VARIABLE
from standins.site import free_hosts, free_port
from tests.builders_platform import PROCESS_SETTINGS

HOST = "127.0.0.1"
#: What the first call may not wait for.
SLOW_MODULES = ("asyncio", "msgspec", "opentelemetry", "dotterelspread.jobs")


def receive_call(connection):
    """Return the head and the body of a request."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(4096)
    head, _, body = data.partition(b"\r\n\r\n")
    while not body.endswith(b"}"):
        body += connection.recv(4096)
    return head.decode(), json.loads(body)


@contextmanager
def serve(port, replies):
    """Give one reply to each call, and yield the list of the calls.

    A worker gives no reply to a call for which there is an empty one.
    """
    calls = []

    def answer():
        for reply in replies:
            connection, _ = listener.accept()
            with connection:
                calls.append(receive_call(connection))
                connection.sendall(reply)

    with socket.create_server((HOST, port)) as listener:
        thread = threading.Thread(target=answer)
        thread.start()
        yield calls
        thread.join(10)


def make_reply(status):
    return f"HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\n{{}}".encode()


def test_the_call_has_the_time_of_day_as_token_and_extends_no_lease():
    port = free_port()
    began_ms = int(time.time() * 1000)
    with serve(port, [make_reply(200)]) as calls:
        assert earlyfence.fence_worker(HOST, port)
    head, body = calls[0]
    assert head.startswith("POST /api/hold HTTP/1.1\r\n")
    assert body.keys() == {"FencingToken", "LastSeen", "WaitMs"}
    assert body["LastSeen"] == body["WaitMs"] == 0
    assert began_ms <= body["FencingToken"] <= time.time() * 1000


@pytest.mark.parametrize("reply", [b"", b"HTTP/1.1", make_reply(503)])
def test_a_call_without_effect_is_repeated(reply):
    # Guards against a worker that is left open since its first reply was lost.
    port = free_port()
    with serve(port, [reply, reply, make_reply(200)]) as calls:
        assert earlyfence.fence_worker(HOST, port)
    assert len(calls) == 3


def test_a_refused_token_is_not_repeated():
    port = free_port()
    with serve(port, [make_reply(409)]) as calls:
        assert earlyfence.fence_worker(HOST, port)
    assert len(calls) == 1


def test_a_worker_that_starts_later_is_fenced():
    port = free_port()
    fencing = threading.Thread(target=earlyfence.fence_worker, args=(HOST, port))
    fencing.start()
    time.sleep(0.3)
    with serve(port, [make_reply(200)]) as calls:
        fencing.join(5)
    assert len(calls) == 1


def test_a_worker_that_does_not_come_is_given_up(monkeypatch):
    monkeypatch.setattr(earlyfence, "MAX_FENCING_S", 0.2)
    assert not earlyfence.fence_worker(HOST, free_port())


@pytest.mark.parametrize("text", ["", "app = 5", 'app = "x"', 'app = "h:y"', "?"])
def test_settings_that_cannot_be_read_are_left_to_the_process(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    threads = threading.active_count()
    earlyfence.start_fencing({SETTINGS_VARIABLE: str(path)})
    earlyfence.start_fencing({SETTINGS_VARIABLE: str(tmp_path / "none")})
    earlyfence.start_fencing({})
    assert threading.active_count() == threads


def test_nothing_slow_is_imported_before_the_call():
    # Guards against a worker that is open to calls to its earlier incarnation for as
    # long as the agent's process takes to import all that it needs (review/9).
    text = "import sys, dotterelspread.platform.earlyfence; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", text], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not set(SLOW_MODULES) & set(found)


def test_an_agent_process_fences_its_worker_before_its_first_session(tmp_path):
    port = free_port()
    (host,) = free_hosts(1, METRICS_PORT)
    path = tmp_path / "agent.toml"
    addresses = dict.fromkeys(("front", "ready", "control"), free_port())
    path.write_text(
        PROCESS_SETTINGS.format(
            name="agent",
            host=host,
            port=free_port(),
            zone="kumasi",
            worker=f"{HOST}:{port}",
            store=f"{HOST}:{free_port()}",
            lease_ms=6000,
            grace_s=6,
            **addresses,
        )
    )
    replies = [make_reply(200), make_reply(200)]
    with serve(port, replies) as calls:
        process = subprocess.Popen(
            [sys.executable, "-m", "dotterelspread.platform", "agent"],
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.DEVNULL,
        )
        until_s = time.monotonic() + 10
        while len(calls) < 2 and time.monotonic() < until_s:
            time.sleep(0.02)
        process.kill()
        process.wait()
    early, first = (body["FencingToken"] for _, body in calls)
    assert early < first
