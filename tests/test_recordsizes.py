"""Refusal of jobs with a record that the store may not take."""

import pytest

from dotterelspread.jobs.recordsizes import find_oversized_record
from tests.builders_fleet import make_job, make_step
from tests.builders_store import MAX_RECORD_BYTES

WIDE = (make_step(count=20_000),)
MANY_STEPS = (make_step(),) * 20_000


@pytest.mark.parametrize(
    "steps, limit_bytes, obstacle",
    [
        (WIDE, MAX_RECORD_BYTES, ""),
        ((make_step(count=160),), 65_536, ""),
        (WIDE, 65_536, "progress"),
        (MANY_STEPS, MAX_RECORD_BYTES, "specification"),
    ],
)
def test_a_job_is_refused_that_records_may_not_hold(steps, limit_bytes, obstacle):
    found = find_oversized_record(make_job(1, steps), limit_bytes)
    assert found.partition(":")[0] == obstacle


def test_each_occurrence_of_a_job_counts():
    job = make_job(1, (make_step(count=2),), repeat_count=1000)
    assert find_oversized_record(job, 65_536).startswith("progress: ")
