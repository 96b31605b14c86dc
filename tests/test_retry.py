from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.retry import MAX_SAVED_RETRIES, RETRY_RATIO, RetryBudget


@settings(derandomize=True)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_a_tenth_of_first_attempts(wishes):
    budget = RetryBudget()
    first = retries = 0
    for is_retry in wishes:
        if is_retry:
            retries += budget.take()
        else:
            budget.note_first_attempt()
            first += 1
        assert retries <= RETRY_RATIO * first + MAX_SAVED_RETRIES
    assert RETRY_RATIO == 0.1
