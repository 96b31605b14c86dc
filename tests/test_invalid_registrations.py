"""Calls to the registry that no worker sends have no effect and end no loop."""

import asyncio
import json

import pytest

from dotterelspread.h1server import H1Request
from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.platform.heartbeats import HeartbeatError, read_heartbeat
from dotterelspread.platform.registry import RegistryHandler
from dotterelspread.platform.worker import PlatformWorker
from dotterelspread.supervision import run_supervised
from tests.builders_invalid import DEEP_JSON, HUGE_INTEGERS
from tests.builders_platform import HEARTBEAT
from tests.builders_standins import HoldStandIn, run_on_loopback

PREFIX = "/api/Instances.Heartbeat/"
LEAVE = "/api/Instances.Deregister/"
INVALID_IDS = {
    "empty": "",
    "not in Latin-1": "i-€",
    "another header": "i-1\r\nX-Other: 1",
    "NUL": "i\0",
    "space": " i-1",
    "too long for a key": "i" * 300,
}
#: Values that are invalid in every field of a heartbeat.
INVALID_VALUES = {
    "deep": DEEP_JSON,
    "negative": b"-1",
    "infinite": b"1e400",
    "not a number": b"NaN",
    "null": b"null",
    "lone surrogate": b'"\\ud800"',
    "invalid UTF-8": b'"\xff"',
    "megabytes": b'"' + b"x" * 2**21 + b'"',
    "mapping": b'{"Cpu":"x"}',
} | {f"integer of {len(str(n))} digits": str(n).encode() for n in HUGE_INTEGERS}
ADDRESSES = ["10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1", "", ":", "a:²"]


def with_raw(field, value):
    """Return a heartbeat in which a field has a value that is JSON or not."""
    rest = {name: value for name, value in HEARTBEAT.items() if name != field}
    return (
        json.dumps(rest).encode()[:-1] + b',"' + field.encode() + b'":' + value + b"}"
    )


@pytest.mark.parametrize("name", INVALID_VALUES)
@pytest.mark.parametrize(
    "field",
    ["Service", "Address", "Zone", "State", "Sequence", "Capacity", "Labels", "born"],
)
def test_a_heartbeat_with_an_invalid_value_is_refused_with_a_short_reason(field, name):
    with pytest.raises(HeartbeatError) as caught:
        read_heartbeat("i-1", with_raw(field, INVALID_VALUES[name]))
    assert len(str(caught.value)) < 500


@pytest.mark.parametrize("body", [b"", b"[]", b"3", b"null", b'"x"', b"{}", b"\xff"])
def test_a_body_that_is_no_heartbeat_is_refused(body):
    with pytest.raises(HeartbeatError):
        read_heartbeat("i-1", body)


@pytest.mark.parametrize("address", ADDRESSES)
def test_a_heartbeat_with_an_invalid_address_is_refused(address):
    body = json.dumps(HEARTBEAT | {"Address": address}).encode()
    with pytest.raises(HeartbeatError, match="Address"):
        read_heartbeat("i-1", body)


def test_a_heartbeat_with_more_labels_than_a_peer_reads_is_refused():
    body = json.dumps(HEARTBEAT | {"Labels": [""] * 70_000}).encode()
    with pytest.raises(HeartbeatError, match="Labels"):
        read_heartbeat("i-1", body)


def run_registry(scenario):
    """Run ``scenario(agent, post)`` with an agent of a worker that holds its runs."""

    async def run(address, standin):
        worker = PlatformWorker(address)
        agent = Agent(worker, 4000)
        handler = RegistryHandler(agent)

        async def post(path, body=b""):
            request = H1Request("POST", path, {}, body, 0.0, path)
            return (await handler.handle(request)).status

        loop = asyncio.ensure_future(run_supervised("agent", agent.run))
        await scenario(agent, post)
        loop.cancel()
        worker.close()

    run_on_loopback(HoldStandIn("i-1", HEARTBEAT["born"]), run)


async def expect(condition):
    deadline_s = clock.now_s() + 4
    while not condition():
        assert clock.now_s() < deadline_s
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("name", INVALID_IDS)
def test_an_invalid_worker_id_does_not_keep_the_agent_from_its_worker(name):
    async def scenario(agent, post):
        body = json.dumps(HEARTBEAT).encode()
        assert await post(PREFIX + INVALID_IDS[name], body) == 400
        assert agent.announcement is None
        assert await post(PREFIX + "i-1", body) == 200
        await expect(lambda: agent.is_reachable)
        assert await post(PREFIX + INVALID_IDS[name], body) == 400
        assert agent.announcement.worker_id == "i-1"

    run_registry(scenario)


def test_a_deregistration_names_the_incarnation_that_ends():
    async def scenario(agent, post):
        born_ms = HEARTBEAT["born"]
        await post(PREFIX + "i-1", json.dumps(HEARTBEAT).encode())
        await expect(lambda: agent.listing is not None)
        calls = []
        agent.leave = lambda worker_id, born_ms: calls.append((worker_id, born_ms))
        assert await post(LEAVE + "i-1") == 200
        assert await post(LEAVE + "i-1", b'{"born":%d}' % born_ms) == 200
        assert calls == [("i-1", 0), ("i-1", born_ms)]
        for body in (
            *INVALID_VALUES.values(),
            b'{"born":-1}',
            b'{"born":"x"}',
            b"\xff",
        ):
            assert await post(LEAVE + "i-1", body) == (
                200 if body == b'{"Cpu":"x"}' else 400
            )
        assert await post(LEAVE, b"") == 400

    run_registry(scenario)
