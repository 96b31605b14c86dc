"""The heaviest loads, played on virtual time: what callers of large jobs get."""

from tests.builders_load import LoadModel, filler_step, serving_step

FILLER_RUN_S = 4.0
#: Twice the run time and half a second: the objective of the test queue.
OBJECTIVE_S = 2 * FILLER_RUN_S + 0.5


def heavy_and_light_cost(serving_image, filler_image):
    return 0.3 if filler_image.startswith("heavy") else 0.002


def play_serving_jobs_between_fillers():
    """Play 2 minutes in which serving jobs come and go beside many fillers."""
    model = LoadModel(10, heavy_and_light_cost)
    heavy = []
    serving = []
    for second in range(120):
        number = 10 * second
        if second % 4 == 0:
            # About 20 tasks at a time, 40 % of the processors, of 6 images.
            serving.append(model.submit(number, serving_step(f"s{second % 6}", 2)))
            if len(serving) > 10:
                model.cancel(serving.pop(0))
        if second % 2 == 0:
            light = filler_step(f"light{second % 8}", 16, FILLER_RUN_S)
            model.submit(number + 1, light)
        if second % 6 == 3:
            step = filler_step("heavy", 6, FILLER_RUN_S)
            heavy.append(model.submit(number + 2, step))
        model.run(1)
    model.run(20)
    return model, heavy


def test_heavy_fillers_find_workers_without_serving_tasks():
    model, heavy = play_serving_jobs_between_fillers()
    free = [w for w in model.cell.workers_by_id.values() if not w.serving_count]
    assert len(free) >= 4
    # The first ones come while the costs are learned.
    durations = model.durations_s(heavy[4:])
    late = sum(duration > OBJECTIVE_S for duration in durations)
    assert late <= len(durations) // 10
    assert model.steps_above < 0.01 * model.serving_steps
