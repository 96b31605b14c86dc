"""Shares of 39 teams in 21 cells when one team overloads them; cost of summaries.

A seeded simulation in fixed steps: teams submit tasks to some cells, and one team
floods all of them. Each cell starts and preempts tasks by its quota policy, from
summaries that are one interval old. A second table gives the size and the processor
time of summaries by the number of teams and cells.

Run with ``python -m bench.quotas``.
"""

import argparse
import random
import time
from dataclasses import dataclass, field

from dotterelspread.configuration import TeamConfig
from dotterelspread.quota import QuotaState, StartDecision
from dotterelspread.quotavictims import PreemptionCandidate, choose_victims
from dotterelspread.record import Envelope, encode_record
from dotterelspread.resources import Resources
from dotterelspread.summary import SUMMARY_INTERVAL_S, summarize

TEAM_COUNT = 39
CELL_COUNT = 21
CELL_CAPACITY = Resources(960_000, 3_750_000, 0)
STEP_S = 3.0
CHECKPOINT_DURATION_S = 6.0
FLOOD_START_S = 240.0
FLOOD_TASKS_PER_CELL = 150
TASK_SIZES_CORES = (8, 16, 32)
LARGEST_TASK = Resources(32_000, 32 * 4000)
NO_RESOURCES = Resources()


class FirstComeFirstServed:
    """Starts every task that fits; a baseline without quotas."""

    def __init__(self, teams_by_name):
        pass

    def apply(self, offset, summary):
        pass

    def may_start(self, cell, team, used, asked):
        return StartDecision(True, False, "")

    def excess(self, cell, used_by_team, team, asked):
        return []


class FixedSplit(FirstComeFirstServed):
    """Caps each team at a fixed part of every cell, without borrowing; a baseline."""

    def __init__(self, teams_by_name):
        self.max_millicores_by_team = {
            name: config.quota.millicores // CELL_COUNT
            for name, config in teams_by_name.items()
        }

    def may_start(self, cell, team, used, asked):
        within = used.millicores < self.max_millicores_by_team[team]
        return StartDecision(within, False, "")


POLICIES_BY_NAME = {
    "first come": FirstComeFirstServed,
    "fixed split": FixedSplit,
    "max-min": QuotaState,
}


@dataclass(slots=True)
class Task:
    team: str
    size: Resources
    end_s: float = 0.0
    run_s: float = 0.0
    stops_at_s: float | None = None


@dataclass(slots=True)
class Cell:
    name: str
    running: list[Task] = field(default_factory=list)
    waiting_by_team: dict[str, list[Task]] = field(default_factory=dict)

    def used_by_team(self):
        used = {}
        for task in self.running:
            used[task.team] = used.get(task.team, NO_RESOURCES) + task.size
        return used

    def waiting_sizes(self):
        waiting = {}
        for team, tasks in self.waiting_by_team.items():
            for task in tasks:
                waiting[team] = waiting.get(team, NO_RESOURCES) + task.size
        return waiting


@dataclass(slots=True)
class Result:
    idle_core_s: float = 0.0
    core_s: float = 0.0
    preemptions: int = 0
    #: Duration of each period in which a team was over its share while others waited.
    overuse_periods_s: list[float] = field(default_factory=list)
    #: Waiting time of each task of the other teams.
    waits_s: list[float] = field(default_factory=list)


def make_teams(rng, teams=TEAM_COUNT, cells=CELL_COUNT):
    """Return teams whose quotas add up to four fifths of the capacity."""
    weights = [rng.choice((1, 2, 4)) for _ in range(teams)]
    unit = 0.8 * cells / sum(weights)
    teams_by_name = {}
    for index, weight in enumerate(weights):
        quota = Resources(
            int(CELL_CAPACITY.millicores * unit * weight),
            int(CELL_CAPACITY.memory_mb * unit * weight),
        )
        name = f"team{index:02}"
        teams_by_name[name] = TeamConfig(name, quota, float(weight))
    return teams_by_name


class Fleet:
    """All cells under one policy; ``reference`` computes the fair shares to compare."""

    def __init__(self, kind, seed):
        self.rng = random.Random(seed)
        self.teams_by_name = make_teams(self.rng)
        self.policy = kind(self.teams_by_name)
        self.reference = QuotaState(self.teams_by_name)
        self.cells = [Cell(f"cell{index:02}") for index in range(CELL_COUNT)]
        names = sorted(self.teams_by_name)
        self.cells_by_team = {
            name: self.rng.sample(self.cells, self.rng.randint(3, 10)) for name in names
        }
        self.flooding_team = names[0]
        self.submitted_s = {}
        self.over_since_s = {}
        self.offset = 0
        self.result = Result()

    def run(self, duration_s):
        for step in range(int(duration_s / STEP_S)):
            now_s = step * STEP_S
            self._submit(now_s)
            for index, cell in enumerate(self.cells):
                self._end_tasks(cell, now_s)
                due = (step + index) % int(SUMMARY_INTERVAL_S / STEP_S) == 0
                if due:
                    self._publish(cell)
                self._start_tasks(cell, now_s)
                self._measure(cell, now_s)
        return self.result

    def _submit(self, now_s):
        rng = self.rng
        for name, cells in self.cells_by_team.items():
            weight = self.teams_by_name[name].weight
            if rng.random() < 0.17 * weight:
                self._submit_task(rng.choice(cells), name, rng, now_s)
        if now_s == FLOOD_START_S:
            for cell in self.cells:
                for _ in range(FLOOD_TASKS_PER_CELL):
                    self._submit_task(cell, self.flooding_team, rng, now_s)

    def _submit_task(self, cell, team, rng, now_s):
        cores = rng.choice(TASK_SIZES_CORES)
        size = Resources(cores * 1000, cores * rng.choice((2000, 4000)))
        task = Task(team, size, run_s=min(rng.lognormvariate(5.5, 0.8), 1800.0))
        cell.waiting_by_team.setdefault(team, []).append(task)
        self.submitted_s[id(task)] = now_s

    def _end_tasks(self, cell, now_s):
        for task in list(cell.running):
            if task.stops_at_s is not None and task.stops_at_s <= now_s:
                cell.running.remove(task)
                task.run_s, task.stops_at_s = task.end_s - now_s, None
                cell.waiting_by_team.setdefault(task.team, []).append(task)
            elif task.end_s <= now_s:
                cell.running.remove(task)

    def _publish(self, cell):
        self.offset += 1
        summary = summarize(
            cell.name,
            self.offset,
            CELL_CAPACITY,
            cell.used_by_team(),
            cell.waiting_sizes(),
        )
        self.policy.apply(self.offset, summary)
        self.reference.apply(self.offset, summary)

    def _start_tasks(self, cell, now_s):
        used = cell.used_by_team()
        room = CELL_CAPACITY
        for amount in used.values():
            room -= amount
        teams = sorted(
            (team for team, tasks in cell.waiting_by_team.items() if tasks),
            key=lambda team: (
                used.get(team, NO_RESOURCES).millicores
                / self.teams_by_name[team].weight,
                team,
            ),
        )
        missing_by_team = {}
        for team in teams:
            tasks = cell.waiting_by_team[team]
            held = used.get(team, NO_RESOURCES)
            for task in list(tasks):
                decision = self.policy.may_start(cell.name, team, held, task.size)
                if not decision.allowed:
                    break
                if task.size.fits_in(room) and team not in missing_by_team:
                    tasks.remove(task)
                    room -= task.size
                    self._start_task(cell, task, now_s)
                elif decision.may_preempt:
                    missing_by_team[team] = (
                        missing_by_team.get(team, NO_RESOURCES) + task.size
                    )
                else:
                    break
                held += task.size
        needed = NO_RESOURCES
        for team, wanted in missing_by_team.items():
            needed += wanted
            self._preempt(cell, team, wanted, needed - room, now_s)

    def _preempt(self, cell, team, wanted, missing, now_s):
        """Preempt tasks of teams over their share until ``missing`` is freed."""
        staying = {}
        for task in cell.running:
            if task.stops_at_s is None:
                staying[task.team] = staying.get(task.team, NO_RESOURCES) + task.size
            else:
                missing -= task.size
        if missing.fits_in(NO_RESOURCES):
            return
        tasks_by_id = {
            str(index): task
            for index, task in enumerate(cell.running)
            if task.stops_at_s is None
        }
        candidates = [
            PreemptionCandidate(task_id, task.team, task.size)
            for task_id, task in tasks_by_id.items()
        ]
        excesses = self.policy.excess(cell.name, staying, team, wanted)
        for task_id in choose_victims(excesses, candidates, missing):
            tasks_by_id[task_id].stops_at_s = now_s + CHECKPOINT_DURATION_S
            self.result.preemptions += 1

    def _start_task(self, cell, task, now_s):
        task.end_s = now_s + task.run_s
        cell.running.append(task)
        submitted_s = self.submitted_s.pop(id(task), None)
        if submitted_s is not None and task.team != self.flooding_team:
            self.result.waits_s.append(now_s - submitted_s)

    def _measure(self, cell, now_s):
        used = cell.used_by_team()
        busy = sum(amount.millicores for amount in used.values()) / 1000.0
        free = CELL_CAPACITY.millicores / 1000.0 - busy
        waiting = [task for tasks in cell.waiting_by_team.values() for task in tasks]
        self.result.core_s += CELL_CAPACITY.millicores / 1000.0 * STEP_S
        if any(task.size.millicores / 1000.0 <= free for task in waiting):
            self.result.idle_core_s += free * STEP_S
        self._measure_excess(cell, used, now_s)

    def _measure_excess(self, cell, used, now_s):
        """Record periods in which a team exceeds its share while another is short.

        Only an excess of at least the largest task counts.
        """
        short = any(
            tasks and self._is_short(cell, team, used)
            for team, tasks in cell.waiting_by_team.items()
        )
        for team in self.teams_by_name:
            share = self.reference.allowance(cell.name, team).millicores
            above = used.get(team, NO_RESOURCES).millicores - share
            key = cell.name, team
            if short and above >= 1000 * max(TASK_SIZES_CORES):
                self.over_since_s.setdefault(key, now_s)
            elif key in self.over_since_s:
                self.result.overuse_periods_s.append(now_s - self.over_since_s.pop(key))

    def _is_short(self, cell, team, used):
        """Return whether the largest task would still fit in the team's share."""
        share = self.reference.allowance(cell.name, team)
        return (used.get(team, NO_RESOURCES) + LARGEST_TASK).fits_in(share)

    def finish(self, now_s):
        """Count the periods that last until the end."""
        self.result.overuse_periods_s += [
            now_s - since for since in self.over_since_s.values()
        ]


def percentile(values, part):
    ordered = sorted(values) or [0.0]
    return ordered[int(part * (len(ordered) - 1))]


def compare(seed, duration_s):
    print(
        f"{TEAM_COUNT} teams, {CELL_COUNT} cells, {duration_s:.0f} s,"
        f" flood at {FLOOD_START_S:.0f} s"
    )
    print(
        "policy       over share, periods p50 / max   idle %   others' wait p50 / p99 s"
        "   preemptions"
    )
    for name, kind in POLICIES_BY_NAME.items():
        fleet = Fleet(kind, seed)
        result = fleet.run(duration_s)
        fleet.finish(duration_s)
        longest = max(result.overuse_periods_s, default=0.0) / SUMMARY_INTERVAL_S
        overuse_intervals = [
            spell / SUMMARY_INTERVAL_S for spell in result.overuse_periods_s
        ]
        idle = 100.0 * result.idle_core_s / result.core_s
        waits = result.waits_s
        print(
            f"{name:12} {percentile(overuse_intervals, 0.5):18.1f} / {longest:4.1f}"
            f" ({len(overuse_intervals):4}) {idle:8.2f}"
            f" {percentile(waits, 0.5):16.0f} /"
            f" {percentile(waits, 0.99):4.0f} {result.preemptions:14}"
        )


def fill_state(rng, teams, cells):
    """Return the state and summaries of a fleet where all teams have waiting tasks."""
    teams_by_name = make_teams(rng, teams, cells)
    state = QuotaState(teams_by_name)
    summaries = []
    for index in range(cells):
        used, waiting = {}, {}
        for name in teams_by_name:
            part = rng.randrange(CELL_CAPACITY.millicores // teams)
            used[name] = Resources(part, part * 3)
            waiting[name] = Resources(part, part * 3)
        summary = summarize(f"cell{index:02}", index, CELL_CAPACITY, used, waiting)
        summaries.append(summary)
        state.apply(index, summary)
    return state, summaries


def print_summary_costs(rng):
    print("\nteams  cells  bytes a summary  ms to apply and share out (median of 5)")
    for teams, cells in ((10, 21), (20, 21), (39, 21), (39, 6), (39, 12), (39, 42)):
        state, summaries = fill_state(rng, teams, cells)
        size = len(encode_record([Envelope(1, 1, summaries[0])]))
        times = []
        for _ in range(5):
            start_s = time.process_time()
            for summary in summaries:
                state.apply(state.offset + 1, summary)
            state.allowance("cell00", "team00")
            times.append(time.process_time() - start_s)
        print(f"{teams:5}  {cells:5}  {size:15}  {1000.0 * sorted(times)[2]:10.2f}")


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--length-s", type=float, default=900.0)
    options = parser.parse_args(args)
    compare(options.seed, options.length_s)
    print_summary_costs(random.Random(options.seed))


if __name__ == "__main__":
    main()
