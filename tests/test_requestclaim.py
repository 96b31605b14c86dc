from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.outcome import Completed, Failed, RefusalReason, Refused, Unknown
from dotterelspread.record import RequestClaimed, RequestSettled
from dotterelspread.requestclaim import (
    CLAIM_RETENTION_S,
    MAX_SETTLED_BODY_BYTES,
    ClaimTable,
    settled_record,
)

IDS = st.sampled_from(["r1", "r2", "r3"])
CLAIMS = st.builds(
    RequestClaimed,
    st.just("dispatch"),
    st.sampled_from(["k1", "k2"]),
    IDS,
    st.sampled_from(["a0", "a1"]),
    st.integers(1, 2),
    st.sampled_from([b"f", b"g"]),
    st.integers(0, 2),
    st.integers(0, 3).map(lambda day: day * CLAIM_RETENTION_S),
)
SETTLEMENTS = st.builds(
    RequestSettled,
    st.just("dispatch"),
    st.sampled_from(["k1", "k2"]),
    IDS,
    st.sampled_from(["completed", "refused"]),
    attempt=st.integers(0, 2),
)


def make_claim(request_id="r1", attempt=0, claimed_at=0, key="k1"):
    return RequestClaimed(
        "dispatch", key, request_id, "a0", 1, b"f", attempt, claimed_at
    )


def make_table(*records):
    table = ClaimTable()
    for offset, record in enumerate(records):
        table.apply(offset, record)
    return table


@settings(derandomize=True)
@given(st.lists(CLAIMS | SETTLEMENTS, max_size=30), st.data())
def test_a_reader_from_a_snapshot_agrees_with_one_from_the_start(records, data):
    # The snapshot's state is older than its offset: other records lie in between.
    as_of = data.draw(st.integers(0, len(records)))
    first = data.draw(st.integers(0, as_of))
    whole = make_table(*records)
    snapshot = make_table(*records[:as_of]).snapshot()
    late = ClaimTable(first_offset=first)
    for offset in range(first, len(records)):
        late.apply(offset, records[offset])
    late.apply(len(records), snapshot)
    assert late.is_complete
    assert late.claims_by_key == whole.claims_by_key


def test_the_first_claim_wins():
    table = make_table(make_claim("r1"), make_claim("r2"))
    assert table.find("dispatch", "k1").record.request_id == "r1"


def test_the_next_attempt_supersedes_a_claim_unless_completed():
    table = make_table(make_claim("r1"), make_claim("r2", attempt=1))
    assert table.find("dispatch", "k1").record.request_id == "r2"
    done = settled_record(make_claim("r1"), Completed(200))
    table = make_table(make_claim("r1"), done, make_claim("r2", attempt=1))
    assert table.find("dispatch", "k1").outcome == Completed(200)


def test_a_claim_expires_by_the_median_of_recent_clocks():
    later = [
        make_claim(f"r{n}", 0, CLAIM_RETENTION_S + 9, f"k{n}") for n in range(2, 9)
    ]
    assert make_table(make_claim(), later[0]).find("dispatch", "k1") is not None
    assert make_table(make_claim(), *later).find("dispatch", "k1") is None


def test_a_truncated_stream_is_incomplete_until_a_snapshot():
    table = make_table(make_claim())
    table.truncate(5)
    assert not table.is_complete
    table.apply(6, make_table(*[make_claim()] * 5).snapshot())
    assert table.is_complete


def test_outcomes_round_trip_through_the_log():
    small, large = (
        Completed(200, (), b"x" * n) for n in (9, MAX_SETTLED_BODY_BYTES + 1)
    )
    for outcome in (small, Failed("no vans left")):
        table = make_table(make_claim(), settled_record(make_claim(), outcome))
        assert table.find("dispatch", "k1").outcome == outcome
    table = make_table(make_claim(), settled_record(make_claim(), large))
    assert table.find("dispatch", "k1").outcome is None
    assert table.find("dispatch", "k1").settled.body_at_instance
    refused = settled_record(make_claim(), Refused(RefusalReason.SHED))
    assert make_table(make_claim(), refused).find("dispatch", "k1").was_not_run
    assert settled_record(make_claim(), Unknown()) is None
