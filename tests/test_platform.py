"""Adapters of the platform: decoding of its documents, HTTP clients and handlers."""

import json
import subprocess
import sys

import pytest

from dotterelspread.h1server import H1Request, H1Response, listen_h1
from dotterelspread.jobs.placementpolicy import PlacementPolicy
from dotterelspread.platform.callers import CallerHandler
from dotterelspread.platform.configuration import (
    ConfigurationFormatError,
    read_configuration,
)
from dotterelspread.platform.heartbeats import HeartbeatError, read_heartbeat
from dotterelspread.platform.jobdocument import JobDocumentError, read_job_document
from dotterelspread.platform.settings import SETTINGS_VARIABLE, read_settings
from dotterelspread.processsettings import FleetRole, ProcessSettingsError
from dotterelspread.resources import Resources
from standins.site import free_port
from tests.builders_fleet import QUEUE
from tests.builders_platform import CONFIGURATION, HEARTBEAT, JOB, SETTINGS
from tests.builders_standins import PresetWorker, run_on_loopback

JOB_ID = "5c0e7a21d94b36f8"


def decode_job(changes=None, **step):
    document = json.loads(json.dumps(JOB)) | (changes or {})
    document["Steps"][1].update(step)
    return read_job_document(JOB_ID, QUEUE, json.dumps(document).encode(), 7)


def test_a_job_document_is_decoded():
    spec = decode_job()
    first, second = spec.steps
    assert first.demand == Resources(500, 256, 0)
    assert (first.count, first.estimate_ms, first.preferred_rack) == (4, 900, "r1-3")
    assert (second.depends_on, second.is_checkpointing) == ((0,), True)
    assert (spec.program, spec.submitted_ms, spec.occurrences) == ("text", 7, 1)


def test_all_optional_fields_of_a_step_are_decoded():
    spec = decode_job(
        Gang=True,
        SameRack=True,
        Requirements="ssd",
        AntiAffinity=2,
        Speculative=True,
        LongRunning=True,
        Image="i",
        TargetMs=24,
        Fills=True,
        MayMiss=1,
        Gpu=3,
    )
    step = spec.steps[1]
    assert (step.is_gang, step.same_rack, step.required_label) == (True, True, "ssd")
    assert (step.max_per_worker, step.is_speculative, step.is_service) == (
        2,
        True,
        True,
    )
    assert (step.image, step.target_ms, step.is_filler) == ("i", 24, True)
    assert (step.max_unavailable, step.demand.accelerators) == (1, 3)


def test_a_repeated_job_has_its_due_times():
    spec = decode_job({"FirstMs": 1000, "IntervalMs": 500, "RepeatCount": 3})
    assert [spec.due_ms(k) for k in range(spec.occurrences)] == [1000, 1500, 2000]


@pytest.mark.parametrize(
    ("changes", "step", "field"),
    [
        ({"Steps": []}, {}, "Steps"),
        ({"Spec": "x" * 4001}, {}, "Spec"),
        ({}, {"Count": 0}, "Count"),
        ({}, {"DependsOn": [1]}, "DependsOn"),
        ({}, {"Cpu": "many"}, "Cpu"),
        ({}, {"Count": 30_000}, "Steps"),
    ],
)
def test_an_invalid_job_is_refused_with_the_field_name(changes, step, field):
    with pytest.raises((JobDocumentError, IndexError), match=field if step else None):
        if changes.get("Steps") == []:
            body = json.dumps(JOB | changes).encode()
            read_job_document(JOB_ID, QUEUE, body, 0)
        else:
            decode_job(changes, **step)


def test_a_heartbeat_is_decoded():
    announcement = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert announcement.rack == "r1-3"
    assert announcement.labels == {"a", "r1-3"}
    assert announcement.capacity == Resources(16_000, 32_768, 0)
    assert (announcement.born_ms, announcement.is_draining) == (1_700_000, False)


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe",
        b"[]",
        json.dumps(HEARTBEAT | {"State": "tired"}).encode(),
        json.dumps({k: v for k, v in HEARTBEAT.items() if k != "Service"}).encode(),
        json.dumps(HEARTBEAT | {"Sequence": "four"}).encode(),
    ],
)
def test_an_invalid_heartbeat_is_refused(body):
    with pytest.raises(HeartbeatError):
        read_heartbeat("i-1", body)


def test_the_configuration_is_decoded():
    configuration = read_configuration(json.dumps(CONFIGURATION).encode())
    assert configuration.version == 7
    queue = configuration.match("nony24.example", "/lohu930/abc")
    assert (queue.service, queue.max_attempts, queue.slack_factor) == ("svc", 3, 1.5)
    assert configuration.match("nony24.example", "/lohu930/deep/x").name == "deep"
    assert configuration.match("other", "/lohu930/abc") is None
    assert configuration.overload_rejecting_services == {"svc"}
    assert configuration.limits.read_timeout_s == 3.0
    assert configuration.limits.max_connections_per_address == 0
    bounded = CONFIGURATION | {
        "Limits": {"MaxConnectionsPerAddress": 40, "MinBodyBytesPerS": 9}
    }
    limits = read_configuration(json.dumps(bounded).encode()).limits
    assert limits.max_connections_per_address == 40
    assert limits.min_body_bytes_per_s == 9
    with pytest.raises(ConfigurationFormatError):
        read_configuration(b'{"Routes": []}')


def test_settings_are_decoded_or_refused_with_the_field_name(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    environment = {SETTINGS_VARIABLE: str(path)}
    settings = read_settings(FleetRole.ENTRY, environment)
    assert settings.peer_address == "10.1.0.13:7720"
    assert (settings.data_centre, settings.bounds.max_lease_ms) == ("kumasi", 6000)
    assert settings.bounds.evacuate_ms == 5000
    assert settings.store.min_member_ttl_ms == 1000
    with pytest.raises(ProcessSettingsError, match="ListenAddrs.Control"):
        read_settings(FleetRole.AGENT, environment)
    assert (settings.memory_mb, settings.max_fds) == (0, 0)
    path.write_text(SETTINGS + "[Limits]\nMemoryMb = 168\nMaxFds = 4096\n")
    settings = read_settings(FleetRole.ENTRY, environment)
    assert (settings.memory_mb, settings.max_fds) == (168, 4096)
    path.write_text(SETTINGS + "[Limits]\nMaxFds = -1\n")
    with pytest.raises(ProcessSettingsError, match="MaxFds"):
        read_settings(FleetRole.ENTRY, environment)
    path.write_text(SETTINGS.replace("NodeName", "Nodename"))
    with pytest.raises(ProcessSettingsError, match="NodeName"):
        read_settings(FleetRole.ENTRY, environment)
    with pytest.raises(ProcessSettingsError, match=SETTINGS_VARIABLE):
        read_settings(FleetRole.ENTRY, {})


def test_reservations_are_off_unless_the_settings_ask_for_them(tmp_path):
    path = tmp_path / "local.toml"
    environment = {SETTINGS_VARIABLE: str(path)}
    path.write_text(SETTINGS)
    assert not read_settings(FleetRole.ENTRY, environment).placement_policy.is_on
    path.write_text(SETTINGS + "\n[Placement]\nReservedJobs = 2\nKeepsGaps = true\n")
    policy = read_settings(FleetRole.ENTRY, environment).placement_policy
    assert policy == PlacementPolicy(reserved_jobs=2, keeps_gaps=True)


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("ReservedJobs = -1", "Placement.ReservedJobs"),
        ("ReservedJobs = 9", "Placement.ReservedJobs"),
        ('ReservedJobs = "many"', "Placement.ReservedJobs"),
        ("KeepsGaps = 3", "Placement.KeepsGaps"),
        ("KeepGaps = true", "KeepGaps"),
    ],
)
def test_an_invalid_placement_setting_is_refused_with_its_field(tmp_path, line, field):
    path = tmp_path / "local.toml"
    path.write_text(f"{SETTINGS}\n[Placement]\n{line}\n")
    with pytest.raises(ProcessSettingsError, match=field):
        read_settings(FleetRole.ENTRY, {SETTINGS_VARIABLE: str(path)})


def test_replies_of_the_leader_are_mapped_to_responses():
    from dotterelspread.gen.peer.ttypes import WorkReply, WorkResult

    class Leader:
        reply = None

        async def ask(self, request):
            self.request = request
            return self.reply

    leader = Leader()
    configuration = read_configuration(json.dumps(CONFIGURATION).encode())
    handler = CallerHandler(leader, lambda: configuration)

    async def ask(method, path, body=b"", host="nony24.example"):
        headers = {"host": host, "x-deadline-ms": "500"}
        return await handler.handle(H1Request(method, path, headers, body, 0.0))

    async def scenario(address, standin):
        path = f"/lohu930/{JOB_ID}"
        leader.reply = WorkReply(WorkResult.DONE, state="COMPLETED", pending=3)
        assert (await ask("POST", path, json.dumps(JOB).encode())).status == 200
        assert leader.request.remaining_ms < 500
        assert (await ask("GET", path)).body == b'{"State":"complete"}'
        assert (await ask("GET", "/lohu930/")).body == b'{"Pending":3}'
        assert (await ask("POST", path, b"{}")).status == 400
        assert (await ask("GET", path, host="other")).status == 404
        assert (await ask("GET", "/lohu930/not-an-id")).status == 410
        leader.reply = WorkReply(WorkResult.REFUSED, retry_after_ms=1500)
        refused = await ask("DELETE", path)
        assert (refused.status, refused.headers["Retry-After"]) == (503, "2")
        leader.reply = WorkReply(WorkResult.UNKNOWN)
        assert (await ask("POST", path, json.dumps(JOB).encode())).status == 504
        leader.reply = WorkReply(WorkResult.NOT_FOUND)
        assert (await ask("GET", path)).status == 410

    run_on_loopback(PresetWorker(), scenario)


def test_the_server_limits_request_size_and_drains_received_requests():
    import asyncio

    async def scenario(address, standin):
        async def slow(request):
            await asyncio.sleep(0.2)
            return H1Response(200, b"done")

        host, own_port = "127.0.0.1", free_port()
        own = f"{host}:{own_port}"
        async with listen_h1(own, slow) as listener:
            listener.limits.max_body_bytes = 10
            reader, writer = await asyncio.open_connection(host, own_port)
            writer.write(b"POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n" + b"x" * 20)
            assert (await reader.readline()).startswith(b"HTTP/1.1 413")
            reader, writer = await asyncio.open_connection(host, own_port)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await asyncio.sleep(0.05)
            assert await listener.drain(2.0) == 0
            assert b"done" in await reader.read()

    run_on_loopback(PresetWorker(), scenario)


def test_sighup_does_not_terminate_a_starting_process():
    program = (
        "import runpy, signal, sys\n"
        "try:\n"
        "    runpy.run_module('dotterelspread.platform', run_name='__main__')\n"
        "except SystemExit:\n"
        "    print(signal.getsignal(signal.SIGHUP).name)\n"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "SIG_IGN"


def test_a_heartbeat_may_state_a_fraction_of_a_millisecond_that_it_stays_cold():
    """A refused heartbeat would take a healthy worker out of use."""
    document = HEARTBEAT | {"ColdRemainingMs": 12.5}
    announcement = read_heartbeat("i-1", json.dumps(document).encode())
    assert announcement.cold_ms == 13
