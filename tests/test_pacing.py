"""Tests of pacing and cost learning on a simulated worker with fillers."""

import math

from dotterelspread.gen.peer.ttypes import TaskTraits
from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.pacing import FillerPacer
from dotterelspread.jobs.paircost import CostEstimate, PairCosts

TARGET_MS = 24
#: Relative increase of the baseline tail per filler core, unknown to the pacer.
TRUE_COSTS = {"heavy": 0.25, "light": 0.002}
SAMPLE_INTERVAL_S = 0.5
CAPACITY = 32_000


class Model:
    """A simulated worker with one serving task and fillers, sampled twice a second."""

    def __init__(self, images, swing=0.5, pacer=None):
        self.images = images
        self.swing = swing
        self.pacer = pacer or FillerPacer()
        self.costs = PairCosts()
        self.percents = dict.fromkeys(range(len(images)), 100)
        self.now_s = 0.0
        self.tails = []
        self.work = dict.fromkeys(images, 0.0)
        self.most_work = dict.fromkeys(images, 0.0)

    def undisturbed(self):
        phase = math.sin(2 * math.pi * self.now_s / 10)
        return 8.0 * math.exp(self.swing * phase)

    def step(self):
        self.now_s += SAMPLE_INTERVAL_S
        cores = [3.5 * self.percents[i] / 100 for i in range(len(self.images))]
        rise = sum(
            TRUE_COSTS[image] * c for image, c in zip(self.images, cores, strict=True)
        )
        tail = round(self.undisturbed() * (1 + rise))
        self.tails.append(tail / TARGET_MS)
        for image, used in zip(self.images, cores, strict=True):
            self.work[image] += used * SAMPLE_INTERVAL_S
            self.most_work[image] += 3.5 * SAMPLE_INTERVAL_S
        self.update_pacer(tail, cores)

    def update_pacer(self, tail, cores):
        rows = [RunningTask("s", 1, "", 100, tail)]
        traits = {"s": TaskTraits("s", TARGET_MS, False, "serving", 6400)}
        by_image = {}
        for number, image in enumerate(self.images):
            used = round(1000 * cores[number])
            rows.append(RunningTask(f"f{number}", 1, "", 50, used))
            traits[f"f{number}"] = TaskTraits(f"f{number}", 0, True, image, 3500)
            by_image[image] = by_image.get(image, 0.0) + cores[number]
        listed_ms = int(self.now_s * 1000)
        self.costs.learn("w", 1, listed_ms, {"serving": {"s": tail}}, by_image)
        changes = self.pacer.update(CAPACITY, rows, traits, self.costs.by_pair)
        for change in changes:
            self.percents[int(change.task_id[1:])] = change.percent

    def run(self, seconds):
        for _ in range(int(seconds / SAMPLE_INTERVAL_S)):
            self.step()
        return self

    def share(self, image):
        return self.work[image] / self.most_work[image]


def longest_above(tails):
    longest = current = 0
    for tail in tails:
        current = current + 1 if tail > 1 else 0
        longest = max(longest, current)
    return longest * SAMPLE_INTERVAL_S


def test_heavy_fillers_are_throttled_and_the_tail_stays_within_its_target():
    model = Model(["heavy", "heavy", "heavy"]).run(60)
    assert longest_above(model.tails) < 2.0
    late = model.tails[len(model.tails) // 2 :]
    assert sum(tail > 1 for tail in late) / len(late) < 0.05


def test_light_fillers_run_at_full_speed_beside_the_same_serving_task():
    model = Model(["light", "light", "light"]).run(60)
    assert model.share("light") > 0.9
    # A policy without learned costs would throttle light fillers like heavy ones.
    assert model.share("light") > 1.2 * Model(["heavy"] * 3).run(60).share("heavy")


def test_light_fillers_are_not_throttled_for_heavy_ones():
    model = Model(["light", "heavy", "light"]).run(60)
    assert model.share("light") > 0.85
    assert model.share("heavy") < model.share("light")


def test_a_tail_that_stays_above_its_target_stops_all_fillers():
    pacer = FillerPacer()
    rows = [RunningTask("s", 1, "", 100, 50), RunningTask("f", 1, "", 50, 3500)]
    traits = {
        "s": TaskTraits("s", TARGET_MS, False, "serving", 6400),
        "f": TaskTraits("f", 0, True, "light", 3500),
    }
    costs = {("serving", "light"): CostEstimate(0.0, 0.0)}
    changes = [pacer.update(CAPACITY, rows, traits, costs) for _ in range(3)]
    assert [c.percent for c in changes[-1]] == [0]


def test_fillers_share_the_idle_processors():
    pacer = FillerPacer()
    fillers = [RunningTask(f"f{i}", 1, "", 50, 3500) for i in range(12)]
    traits = {f"f{i}": TaskTraits(f"f{i}", 0, True, "light", 3500) for i in range(12)}
    traits["s"] = TaskTraits("s", TARGET_MS, False, "serving", 8000)
    rows = [RunningTask("s", 1, "", 100, 5), *fillers]
    costs = {("serving", "light"): CostEstimate(0.0, 0.0)}
    changes = {
        c.task_id: c.percent for c in pacer.update(CAPACITY, rows, traits, costs)
    }
    used = sum(35 * changes.get(f"f{i}", 100) for i in range(12))
    assert used <= CAPACITY - 0.75 * 8000 + 35


def test_an_uncertain_cost_is_taken_at_its_best_estimate():
    """A margin for the uncertainty would throttle every filler of an unknown image."""
    pacer = FillerPacer()
    rows = [RunningTask("s", 1, "", 100, 10), RunningTask("f", 1, "", 50, 0)]
    traits = {
        "s": TaskTraits("s", TARGET_MS, False, "serving", 6400),
        "f": TaskTraits("f", 0, True, "unknown", 3500),
    }
    # Without the filler the tail is at 0.44 of its target, and the filler is expected
    # to raise it to 0.67, which is within the pacer's limit of 0.70.
    costs = {("serving", "unknown"): CostEstimate(0.15, 0.12)}
    assert pacer.update(CAPACITY, rows, traits, costs) == []


def test_fillers_without_a_serving_task_beside_them_are_not_paced():
    pacer = FillerPacer()
    rows = [RunningTask("f", 1, "", 50, 3500)]
    traits = {"f": TaskTraits("f", 0, True, "heavy", 3500)}
    assert pacer.update(CAPACITY, rows, traits, {}) == []


def test_costs_are_learned_separately_for_each_pair():
    costs = PairCosts()
    for number in range(60):
        cores = 3.5 if number % 2 else 0.0
        tails = {
            "a": {"a1": round(20 * (1 + 0.2 * cores))},
            "b": {"b1": 20},
        }
        costs.learn("w", 1, number * 500, tails, {"f": cores})
    assert costs.of("a", "f").per_core > 0.15
    assert costs.of("b", "f").per_core < 0.02


def test_listings_of_different_incarnations_are_not_compared():
    costs = PairCosts()
    costs.learn("w", 1, 500, {"a": {"a1": 10}}, {"f": 0.0})
    costs.learn("w", 2, 1000, {"a": {"a1": 100}}, {"f": 3.5})
    assert ("a", "f") not in costs.by_pair


def test_a_filler_that_ran_for_long_goes_before_younger_ones():
    """New fillers keep arriving; the old one would starve beside them."""
    pacer = FillerPacer()
    costs = {
        ("serving", "old"): CostEstimate(0.1, 0.001),
        ("serving", "young"): CostEstimate(0.05, 0.001),
    }
    traits = {"s": TaskTraits("s", TARGET_MS, False, "serving", 6400)}
    traits["old"] = TaskTraits("old", 0, True, "old", 3500)
    percents = []
    for sample in range(30):
        young = [f"young{sample // 4}-{number}" for number in range(4)]
        rows = [
            RunningTask("s", 1, "", 100, 13),
            RunningTask("old", 1, "", 5, 0),
            *(RunningTask(name, 1, "", 50, 0) for name in young),
        ]
        for name in young:
            traits[name] = TaskTraits(name, 0, True, "young", 3500)
        pacer.update(CAPACITY, rows, traits, costs)
        percents.append(pacer.pace_by_run["old", 1])
    assert max(percents[4:14]) == 0
    assert min(percents[20:]) > 0
