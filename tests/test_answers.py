from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.answers import SEGMENT_ID_COUNT, AnswerCache, IdSet
from dotterelspread.outcome import Completed


@settings(derandomize=True)
@given(st.lists(st.integers(0, 60), max_size=40))
def test_answers_are_bounded_by_count_and_bytes(sizes):
    cache = AnswerCache(max_answers=10, max_bytes=100)
    for number, size in enumerate(sizes):
        cache.put(f"r{number}", Completed(200, (), b"x" * size))
        assert len(cache) <= 10
        assert cache.bytes <= 100
        assert cache.get(f"r{number}") is not None


def test_ids_are_kept_for_the_retention_period_and_then_dropped():
    ids = IdSet(retention_s=10.0, max_ids=3 * SEGMENT_ID_COUNT)
    for number in range(3 * SEGMENT_ID_COUNT):
        ids.add(f"r{number}", number / SEGMENT_ID_COUNT)
    assert ids.is_full()
    assert all(f"r{number}" in ids for number in range(0, 3 * SEGMENT_ID_COUNT, 97))
    assert "other" not in ids
    ids.expire(11.5)
    assert "r0" not in ids
    assert f"r{SEGMENT_ID_COUNT * 2}" in ids
    assert not ids.is_full()
