"""Untrusted input gives a value or the parser's own error, within bounded memory."""

import json
import re
import tracemalloc
from contextlib import suppress

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.callerrequest import CallerRequestError, read_headers
from dotterelspread.configreader import (
    ConfigurationError,
    read_configuration,
    write_configuration,
)
from dotterelspread.configuration import Configuration
from dotterelspread.document import Fault
from dotterelspread.frame import (
    Call,
    FrameError,
    FrameReader,
    Reply,
    decode_call,
    decode_reply,
    encode_call,
    encode_error,
    encode_reply,
)
from dotterelspread.gen.peer.ttypes import (
    Answer,
    Header,
    Heartbeat,
    Member,
    Result,
    RunRequest,
)
from dotterelspread.jobrequest import JobRequest, read_job
from dotterelspread.outcome import RefusalReason, Refused
from dotterelspread.problem import describe_outcome
from dotterelspread.record import (
    Envelope,
    InstanceAnnounced,
    JobSubmitted,
    OwnerRenewed,
    RecordError,
    TaskSpec,
    decode_record,
    encode_record,
)
from dotterelspread.resources import Resources
from dotterelspread.settings import DaemonSettings, SettingsError

from .builders_fuzz import mutated, trees
from .builders_tools import example_text

MAX_ERROR_BYTES = 200_000
MAX_PEAK_BYTES = 160 << 20
fuzz = settings(max_examples=150, derandomize=True, deadline=None)

CONFIGURATION_KEYS = re.findall(
    r"\w+",
    """services kinds d k default_kind share urgency deadline idempotent selectors work
    instances teams quota cores memory weight labels objectives latency_weight
    batch_weight leases batch service""",
)
SETTINGS_KEYS = re.findall(
    r"\w+",
    """role instance_id data_centre region peer_address http_address log_url entry cells
    agent slots capacity labels limits max_body telemetry spans""",
)
JOB_KEYS = re.findall(
    r"\w+",
    """team urgency labels tasks program arguments cores memory accelerators run_time
    count is_service""",
)
FRAMES = [
    encode_call("run", 7, RunRequest("r1", 1, body=b"x", headers=[Header("a", "b")])),
    encode_call("heartbeat", 8, Heartbeat(news=[Member("i", services=["d"])])),
    encode_reply("run", 7, Answer(Result.COMPLETED, 200, body=b"y" * 40)),
    encode_error("run", 7, "no"),
]
JOB = JobSubmitted("j", "t", 1, {"a": "b"}, (TaskSpec("j.0", "p", Resources(1), 5.0),))
RECORDS = [
    encode_record([Envelope(1, 2, JOB), Envelope(1, 3, OwnerRenewed("i1", 1))]),
    encode_record([Envelope(1, 2, InstanceAnnounced("i", 1, "agent", "a", "k", "r"))]),
]
JOBS = [
    b'{"team": "t", "labels": {"a": "b"}, "tasks": [{"program": "p", "cores": 0.5, '
    b'"memory": "1GiB", "run_time": "5s", "count": 3, "arguments": ["x"]}]}'
]
HEADER_NAMES = [b"idempotency-key", b"traceparent", b"accept"] + [
    b"dotterelspread-" + name for name in (b"deadline", b"kind", b"urgency", b"label")
]


def check_error(error):
    """Check that an error is bounded, encodable and has one line per fault."""
    assert error.faults and all(isinstance(fault, Fault) for fault in error.faults)
    assert len(str(error).encode()) <= MAX_ERROR_BYTES
    assert len(str(error).splitlines()) == len(error.faults)
    refused = Refused(RefusalReason.BAD_REQUEST, str(error))
    assert json.loads(describe_outcome(refused, faults=error.faults).body)


def read_yaml(read, text, error_type, result_type):
    try:
        result = read(text, "f.yaml")
    except error_type as error:
        check_error(error)
    else:
        assert isinstance(result, result_type)
        return result
    return None


def check_configuration(text):
    result = read_yaml(read_configuration, text, ConfigurationError, Configuration)
    if result is not None:
        assert read_configuration(write_configuration(result), "again") == result


def check_settings(text):
    read_yaml(DaemonSettings.from_text, text, SettingsError, DaemonSettings)


texts = st.text(max_size=6) | st.sampled_from(
    [": ", "\n", "- ", "{", "*a", "&a ", "!!"]
)


@fuzz
@given(mutated([example_text("akwaaba.yaml"), example_text("sabor-agil.yaml")], texts))
def test_mutated_configurations(text):
    check_configuration(text)


@fuzz
@given(trees(CONFIGURATION_KEYS))
def test_malformed_configurations(tree):
    check_configuration(yaml.dump(tree, allow_unicode=True))


@fuzz
@given(mutated([example_text("agent.yaml"), example_text("entry.yaml")], texts))
def test_mutated_settings(text):
    check_settings(text)


@fuzz
@given(trees(SETTINGS_KEYS))
def test_malformed_settings(tree):
    check_settings(yaml.dump(tree))


def check_job(body):
    try:
        job = read_job(body)
    except CallerRequestError as error:
        check_error(error)
    else:
        assert isinstance(job, JobRequest)
        record = job.to_record("j")
        assert 1 <= len(record.tasks) <= 1000
        assert (
            decode_record(encode_record([Envelope(1, 1, record)]))[0].record == record
        )


@fuzz
@given(mutated(JOBS) | st.binary(max_size=60))
def test_mutated_jobs(body):
    check_job(body)


@fuzz
@given(trees(JOB_KEYS))
def test_malformed_jobs(tree):
    check_job(json.dumps(tree).encode())


@fuzz
@given(
    st.lists(
        st.tuples(
            st.sampled_from(HEADER_NAMES) | st.binary(max_size=9),
            st.binary(max_size=40) | mutated([b"a=b, c=d", b"250ms", b'"k"', b"high"]),
        ),
        max_size=8,
    )
)
def test_headers(headers):
    try:
        result = read_headers(headers)
    except CallerRequestError as error:
        check_error(error)
    else:
        assert result.deadline_s is None or 0 < result.deadline_s <= 3600
        assert len(result.key) <= 255 and len(result.kind) <= 63


def check_record(data):
    with suppress(RecordError):
        assert all(isinstance(envelope, Envelope) for envelope in decode_record(data))


@fuzz
@given(mutated(RECORDS) | st.binary(max_size=80))
def test_log_records(data):
    check_record(data)


def check_frame(frame):
    for decode, result_type in ((decode_call, Call), (decode_reply, Reply)):
        with suppress(FrameError):
            assert isinstance(decode(frame), result_type)


@fuzz
@given(mutated([frame[4:] for frame in FRAMES]) | st.binary(max_size=60))
def test_thrift_frames(frame):
    check_frame(frame)


@fuzz
@given(st.lists(st.sampled_from(FRAMES), max_size=4), st.data())
def test_frames_are_complete_however_the_stream_is_split(frames, data):
    stream = b"".join(frames)
    reader = FrameReader()
    received = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        received += reader.feed(stream[:size])
        stream = stream[size:]
    assert received == [frame[4:] for frame in frames]


DEEP = 100_000
#: Encoded call up to the start of its argument.
CALL_HEAD = FRAMES[0][4 : FRAMES[0].index(b"run") + 3] + b"\x1c"
MANY_FIELDS = ", ".join(f"f{number}: 1" for number in range(9000))
LONG_KEYS = {"x" * 50_000 + str(number): number for number in range(5)}
LARGE = {
    "long keys in a job": (check_job, json.dumps(LONG_KEYS).encode()),
    "long key above many unknown fields": (
        check_configuration,
        f"teams:\n  {'k' * 1000}: {{{MANY_FIELDS}}}",
    ),
    "many repeated keys": (check_settings, "a: 1\n" * 20_000),
    "deep configuration": (check_configuration, "[" * DEEP),
    "deep record": (check_record, b"\x91" * DEEP),
    "long list without elements in a record": (check_record, b"\xdd\xff\xff\xff\xff"),
    "deep Thrift struct": (check_frame, CALL_HEAD + b"\xfc" + b"\x1c" * DEEP),
    "long Thrift list without elements": (
        check_frame,
        CALL_HEAD + b"\x79\xfc\xff\xff\xff\xff\x07",
    ),
}


def test_jobs_of_any_depth():
    # At some depths parsing succeeds and only the later validation is too deep.
    for depth in range(400, 1000):
        check_job(b'{"team": ' + b"[" * depth + b"]" * depth + b"}")


@pytest.mark.parametrize(("check", "data"), LARGE.values(), ids=LARGE.keys())
def test_large_or_deep_input_takes_bounded_memory(check, data):
    tracemalloc.start()
    try:
        check(data)
        assert tracemalloc.get_traced_memory()[1] <= MAX_PEAK_BYTES
    finally:
        tracemalloc.stop()
