"""Malformed messages and unexpected errors end one call, not a process or a term."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.counters import counters
from dotterelspread.gen.peer.ttypes import (
    RunningRow,
    StopOrder,
    WatchReply,
    WorkResult,
)
from dotterelspread.h1server import H1Request, H1Response
from dotterelspread.jobs import clock
from dotterelspread.jobs.cell import Event
from dotterelspread.jobs.journal import (
    JournalUncertainError,
    KeyedRecord,
)
from dotterelspread.jobs.records import CELL_STREAM, COSTS_KEY
from dotterelspread.jobs.watchreport import ReportError, check_reply
from dotterelspread.jobs.workeradapter import WorkerReplyError
from dotterelspread.peer import PeerPool, PeerUnsentError, serve_peers
from dotterelspread.platform.callers import MAX_DEADLINE_MS, CallerHandler
from dotterelspread.platform.configuration import (
    ConfigurationFormatError,
    read_configuration,
)
from dotterelspread.platform.heartbeats import HeartbeatError, read_heartbeat
from dotterelspread.platform.jobdocument import JobDocumentError, read_job_document
from dotterelspread.platform.store import PlatformJournal
from dotterelspread.platform.worker import PlatformWorker
from dotterelspread.supervision import run_supervised
from standins.site import free_port
from tests.builders_fleet import QUEUE, make_job, make_step, run_scenario
from tests.builders_platform import CONFIGURATION, HEARTBEAT, JOB
from tests.builders_standins import run_on_loopback
from tests.virtualloop import run_virtually

JOB_ID = "5c0e7a21d94b36f8"
DEEP = b'{"x":' + b"[" * 50_000
fuzz = settings(max_examples=150, derandomize=True, deadline=None)
numbers = st.integers(-(2**70), 2**70) | st.floats(allow_nan=False)
values = st.none() | st.booleans() | numbers | st.text(max_size=5) | st.lists(numbers)


class Replies:
    """Answers every HTTP request with one preset status and body."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    async def handle(self, request):
        return H1Response(self.status, self.body)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Cpu", -1),
        ("Cpu", 2**31),
        ("Cpu", 10**30),
        ("MemMb", -8),
        ("Gpu", -1),
        ("EstimateMs", -5),
        ("AntiAffinity", -1),
        ("TargetMs", -2),
        ("TargetMs", 1e300),
        ("MayMiss", 2**40),
    ],
)
def test_a_step_out_of_range_is_refused_with_the_field_name(field, value):
    body = json.dumps({"Spec": "x", "Steps": [{"Count": 1, field: value}]}).encode()
    with pytest.raises(JobDocumentError, match=field):
        read_job_document(JOB_ID, QUEUE, body, 0)


@pytest.mark.parametrize("field", ["RepeatCount", "IntervalMs", "FirstMs"])
def test_a_negative_time_is_refused_with_the_field_name(field):
    body = json.dumps({"Steps": [{}], field: -1}).encode()
    with pytest.raises(JobDocumentError, match=field):
        read_job_document(JOB_ID, QUEUE, body, 0)


def test_a_deeply_nested_document_is_refused():
    with pytest.raises(JobDocumentError):
        read_job_document(JOB_ID, QUEUE, DEEP, 0)
    with pytest.raises(HeartbeatError):
        read_heartbeat("i-1", DEEP)
    with pytest.raises(ConfigurationFormatError):
        read_configuration(DEEP)


@fuzz
@given(st.sampled_from(sorted(HEARTBEAT)), values)
def test_a_heartbeat_with_any_value_is_decoded_or_refused(field, value):
    body = json.dumps(HEARTBEAT | {field: value}).encode()
    try:
        announcement = read_heartbeat("i-1", body)
    except HeartbeatError:
        return
    assert 0 <= announcement.capacity.millicores < 2**31
    assert 0 <= announcement.born_ms < 2**63


@fuzz
@given(
    st.sampled_from(["Running", "Ended", "ClockMs", "born"]),
    st.lists(st.lists(values, max_size=6), max_size=3) | values,
)
def test_any_lists_of_a_worker_are_decoded_or_refused(field, value):
    lists = {"ClockMs": 5, "born": 3, "Running": [], "Ended": []} | {field: value}

    async def scenario(address, standin):
        worker = PlatformWorker(address)
        try:
            listing = await worker.hold("i-1", 4, 0, 0, 0)
        except WorkerReplyError:
            return
        finally:
            worker.close()
        for row in listing.running:
            assert isinstance(row.checkpoint, str)
            assert max(row.run, row.percent, row.figure) < 2**31

    run_on_loopback(Replies(json.dumps(lists).encode()), scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"\0" * 16 + b"\0\0",
        b"\0" * 16 + b"\0\0\0\x09\x01k",
    ],
)
def test_a_read_that_was_cut_short_is_an_uncertain_error(body):
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        with pytest.raises(JournalUncertainError):
            await journal.follow("s", 0, 0.1)
        journal.close()

    run_on_loopback(Replies(body), scenario)


def test_a_record_whose_key_is_longer_than_the_record_has_no_key():
    body = b"\0" * 16 + b"\0\0\0\x02\x02k"

    async def scenario(address, standin):
        journal = PlatformJournal(address)
        tail = await journal.follow("s", 0, 0.1)
        assert [record.key for record in tail.records] == [""]
        journal.close()

    run_on_loopback(Replies(body), scenario)


@pytest.mark.parametrize(
    "body",
    [b'{"items": [{"Key": "k", "Value": "*"}]}', b'{"items": 3}', DEEP, b"\xff"],
)
def test_a_malformed_snapshot_is_an_uncertain_error(body):
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        with pytest.raises(JournalUncertainError):
            await journal.snapshot("s")
        journal.close()

    run_on_loopback(Replies(body), scenario)


def test_an_empty_reply_to_a_join_is_an_uncertain_error():
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        with pytest.raises(JournalUncertainError):
            await journal.join("g", "me", "cell.0", 1000, 0)
        journal.close()

    run_on_loopback(Replies(b""), scenario)


def ask_entry(forwarder, deadline="500"):
    configuration = read_configuration(json.dumps(CONFIGURATION).encode())
    handler = CallerHandler(forwarder, lambda: configuration)
    headers = {"host": "nony24.example", "x-deadline-ms": deadline}
    body = json.dumps(JOB).encode()
    request = H1Request("POST", f"/lohu930/{JOB_ID}", headers, body, 0.0)
    return asyncio.run(handler.handle(request))


def test_an_unexpected_error_does_not_tell_the_caller_that_nothing_has_run():
    async def ask(request):
        raise RuntimeError("unexpected")

    response = ask_entry(SimpleNamespace(ask=ask))
    assert response.status == 504


@pytest.mark.parametrize("deadline", ["9" * 5000, "9" * 12, "²", "-4", ""])
def test_any_deadline_header_gives_a_deadline_within_bounds(deadline):
    async def ask(request):
        assert 0 < request.remaining_ms <= MAX_DEADLINE_MS
        return SimpleNamespace(result=WorkResult.DONE, reason="")

    assert ask_entry(SimpleNamespace(ask=ask), deadline).status == 200


def test_a_call_that_cannot_be_encoded_was_not_sent():
    async def scenario():
        address = f"127.0.0.1:{free_port()}"
        async with serve_peers(address, {}), PeerPool.open() as pool:
            order = StopOrder(epoch=2**80, task_id="t")
            with pytest.raises(PeerUnsentError, match="stop_run"):
                await pool.call(address, "stop_run", order, 1.0)

    asyncio.run(scenario())


def test_a_loop_that_fails_is_counted_and_started_again():
    rounds = []

    async def loop():
        rounds.append(clock.now_s())
        if len(rounds) < 3:
            raise RuntimeError("unexpected")

    run_virtually(run_supervised("loop", loop))
    assert len(rounds) == 3
    assert rounds[2] > rounds[0]
    assert 'faults_total{task="loop"}' in counters.to_text()


def test_a_reply_without_a_field_is_rejected_with_its_name():
    reply = WatchReply(version=1, clock_ms=1, known=True, epoch=1)
    with pytest.raises(ReportError, match="worker_id"):
        check_reply(reply)
    with pytest.raises(ReportError, match="clock_ms"):
        check_reply(WatchReply(version=1))


def make_fields_missing(fleet, number):
    """Make an agent reply to the leader without the fields of its runs."""
    handlers = fleet.network.handlers_by_address[fleet.agents[number].address]
    watch = handlers["watch"]

    async def reply_malformed(query):
        reply = await watch(query)
        reply.labels = None
        reply.running = [RunningRow(task_id="t")]
        return reply

    handlers["watch"] = reply_malformed
    return lambda: handlers.update(watch=watch)


def current_leader(fleet):
    return next(e.candidate.leader for e in fleet.entries if e.candidate.leader)


def test_an_agent_with_malformed_replies_does_not_end_the_term():
    async def scenario(fleet):
        leader = current_leader(fleet)
        restore = make_fields_missing(fleet, 0)
        await fleet.settle(2)
        for number in range(4):
            await fleet.submit(make_job(number, (make_step(count=3),)))
        await fleet.expect_completed()
        assert current_leader(fleet) is leader
        restore()
        await fleet.settle(2)
        assert len(leader.cell.workers_by_id) == 3

    run_scenario(scenario)


def test_records_that_cannot_be_read_do_not_stop_a_new_leader():
    async def scenario(fleet):
        for number in range(3):
            await fleet.submit(make_job(number, (make_step(count=2),)))
        records = fleet.store.stream(CELL_STREAM).records
        for key in (f"s/{99:016x}", f"p/{1:016x}", COSTS_KEY):
            records.append(KeyedRecord(key, b"\xff\x00not readable"))
        leader = next(e for e in fleet.entries if e.candidate.leader)
        leader.kill()
        await fleet.settle(5)
        # The job with an unreadable record is left alone; the others complete.
        fleet.accepted.discard(f"{1:016x}")
        other = fleet.entries.index(leader) - 1
        await fleet.submit(make_job(7), other)
        for _ in range(50):
            await fleet.settle(0.2)
            states = [await fleet.state(job_id, other) for job_id in fleet.accepted]
            if all(reply.state == "COMPLETED" for reply in states):
                return
        raise AssertionError(states)

    run_scenario(scenario)


class Unhandled(Event):
    """An event for which no handler exists."""


def test_an_error_in_the_reducer_ends_the_term_and_the_next_leader_goes_on():
    async def scenario(fleet):
        await fleet.submit(make_job(1, (make_step(count=4),)))
        leader = current_leader(fleet)
        with pytest.raises(Exception, match="Unhandled"):
            leader.apply(Unhandled(clock.now_s()))
        assert leader.is_deposed
        await fleet.settle(4)
        assert current_leader(fleet) is not leader
        await fleet.expect_completed()

    run_scenario(scenario)
