from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.interference import CoreHistory, InterferenceModel

from .builders_policies import sample

TARGET_S = 0.25


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(1, 9), st.integers(0, 24)), min_size=1, max_size=8),
    st.integers(0, 20),
    st.integers(1, 20),
)
def test_the_history_averages_the_cores_that_ran_in_the_interval(
    steps, start_s, length_s
):
    history, by_second, now_s = CoreHistory(), [], 0
    for duration_s, cores in steps:
        history.record(float(now_s), {"p": float(cores)})
        by_second += [cores] * duration_s
        now_s += duration_s
    by_second += [steps[-1][1]] * (start_s + length_s)
    expected = sum(by_second[start_s : start_s + length_s]) / length_s
    average = history.average(start_s, start_s + length_s).get("p", 0.0)
    assert abs(average - expected) < 1e-6


def learn(model, lag_s, slowdown, minutes=60):
    """Run two programs alternately and report each sample ``lag_s`` after its end."""
    late = []
    for step in range(minutes * 6):
        now_s = step * 10.0
        running = {
            "noisy": 12.0 if step // 3 % 2 else 0.0,
            "quiet": 12.0 if step // 6 % 2 else 0.0,
        }
        model.history.record(now_s, running)
        p99_s = 0.1 * (1.0 + slowdown * running["noisy"])
        late.append(sample(now_s + 10.0, p99_s))
        while late and late[0].end_s + lag_s <= now_s:
            model.observe(late.pop(0))


@settings(derandomize=True, max_examples=8, deadline=None)
@given(st.sampled_from((5.0, 15.0, 30.0)), st.floats(0.02, 0.06))
def test_late_reports_are_attributed_to_the_program_that_ran(lag_s, slowdown):
    model = InterferenceModel(TARGET_S)
    learn(model, lag_s, slowdown)
    noisy, quiet = (
        model.slowdown_estimate("noisy", 0.5),
        model.slowdown_estimate("quiet", 0.5),
    )
    assert noisy.slowdown > 0.5 * slowdown / (1.0 + 12.0 * slowdown)
    assert abs(quiet.slowdown) < 0.2 * noisy.slowdown
    assert noisy.uncertainty < model.slowdown_estimate("unseen", 0.5).uncertainty
