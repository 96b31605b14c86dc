"""Shares of 39 teams over 21 cells when one team floods, and the cost of summaries.

A seeded step model: teams submit tasks to some cells, one team floods all of them, and
each cell starts and preempts by what its quota policy says, from summaries that are a
period old. Then the size and processor time of summaries, by teams and by cells.

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

TEAMS = 39
CELLS = 21
CAPACITY = Resources(960_000, 3_750_000, 0)
STEP_S = 3.0
CHECKPOINT_S = 6.0
FLOOD_AT_S = 240.0
FLOOD_TASKS = 150
SIZES_CORES = (8, 16, 32)
LARGEST = Resources(32_000, 32 * 4000)
NOTHING = Resources()


class FirstComeFirstServed:
    """Starts whatever fits; a baseline without quotas."""

    def __init__(self, teams_by_name):
        pass

    def apply(self, offset, summary):
        pass

    def may_start(self, cell, team, used, asked):
        return StartDecision(True, False, "")

    def excess(self, cell, used_by_team, team, asked):
        return []


class FixedSplit(FirstComeFirstServed):
    """Caps each team at its part of every cell, without lending; a baseline."""

    def __init__(self, teams_by_name):
        self.part_by_team = {
            name: config.quota.millicores // CELLS
            for name, config in teams_by_name.items()
        }

    def may_start(self, cell, team, used, asked):
        within = used.millicores < self.part_by_team[team]
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
            used[task.team] = used.get(task.team, NOTHING) + task.size
        return used

    def waiting_sizes(self):
        waiting = {}
        for team, tasks in self.waiting_by_team.items():
            for task in tasks:
                waiting[team] = waiting.get(team, NOTHING) + task.size
        return waiting


@dataclass(slots=True)
class Result:
    idle_core_s: float = 0.0
    core_s: float = 0.0
    preemptions: int = 0
    #: Seconds of each spell in which a team was over its share while others waited.
    spells_s: list[float] = field(default_factory=list)
    #: Seconds that tasks of teams other than the flooding one waited.
    waits_s: list[float] = field(default_factory=list)


def make_teams(rng, teams=TEAMS, cells=CELLS):
    """Return teams whose quotas add up to four fifths of the capacity."""
    weights = [rng.choice((1, 2, 4)) for _ in range(teams)]
    unit = 0.8 * cells / sum(weights)
    teams_by_name = {}
    for index, weight in enumerate(weights):
        quota = Resources(
            int(CAPACITY.millicores * unit * weight),
            int(CAPACITY.memory_mb * unit * weight),
        )
        name = f"team{index:02}"
        teams_by_name[name] = TeamConfig(name, quota, float(weight))
    return teams_by_name


class Fleet:
    """All cells under one policy; ``judge`` gives the shares that it is held to."""

    def __init__(self, kind, seed):
        self.rng = random.Random(seed)
        self.teams_by_name = make_teams(self.rng)
        self.policy = kind(self.teams_by_name)
        self.judge = QuotaState(self.teams_by_name)
        self.cells = [Cell(f"cell{index:02}") for index in range(CELLS)]
        names = sorted(self.teams_by_name)
        self.homes = {
            name: self.rng.sample(self.cells, self.rng.randint(3, 10)) for name in names
        }
        self.flooder = names[0]
        self.submitted_s = {}
        self.over_since_s = {}
        self.offset = 0
        self.result = Result()

    def run(self, length_s):
        for step in range(int(length_s / STEP_S)):
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
        for name, homes in self.homes.items():
            weight = self.teams_by_name[name].weight
            if rng.random() < 0.17 * weight:
                self._add(rng.choice(homes), name, rng, now_s)
        if now_s == FLOOD_AT_S:
            for cell in self.cells:
                for _ in range(FLOOD_TASKS):
                    self._add(cell, self.flooder, rng, now_s)

    def _add(self, cell, team, rng, now_s):
        cores = rng.choice(SIZES_CORES)
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
            cell.name, self.offset, CAPACITY, cell.used_by_team(), cell.waiting_sizes()
        )
        self.policy.apply(self.offset, summary)
        self.judge.apply(self.offset, summary)

    def _start_tasks(self, cell, now_s):
        used = cell.used_by_team()
        room = CAPACITY
        for amount in used.values():
            room -= amount
        teams = sorted(
            (team for team, tasks in cell.waiting_by_team.items() if tasks),
            key=lambda team: (
                used.get(team, NOTHING).millicores / self.teams_by_name[team].weight,
                team,
            ),
        )
        short_by_team = {}
        for team in teams:
            tasks = cell.waiting_by_team[team]
            held = used.get(team, NOTHING)
            for task in list(tasks):
                decision = self.policy.may_start(cell.name, team, held, task.size)
                if not decision.allowed:
                    break
                if task.size.fits_in(room) and team not in short_by_team:
                    tasks.remove(task)
                    room -= task.size
                    self._begin(cell, task, now_s)
                elif decision.may_preempt:
                    short_by_team[team] = short_by_team.get(team, NOTHING) + task.size
                else:
                    break
                held += task.size
        needed = NOTHING
        for team, wanted in short_by_team.items():
            needed += wanted
            self._preempt(cell, team, wanted, needed - room, now_s)

    def _preempt(self, cell, team, wanted, missing, now_s):
        """Stop tasks of teams over their share until what is missing gets free."""
        staying = {}
        for task in cell.running:
            if task.stops_at_s is None:
                staying[task.team] = staying.get(task.team, NOTHING) + task.size
            else:
                missing -= task.size
        if missing.fits_in(NOTHING):
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
            tasks_by_id[task_id].stops_at_s = now_s + CHECKPOINT_S
            self.result.preemptions += 1

    def _begin(self, cell, task, now_s):
        task.end_s = now_s + task.run_s
        cell.running.append(task)
        submitted_s = self.submitted_s.pop(id(task), None)
        if submitted_s is not None and task.team != self.flooder:
            self.result.waits_s.append(now_s - submitted_s)

    def _measure(self, cell, now_s):
        used = cell.used_by_team()
        busy = sum(amount.millicores for amount in used.values()) / 1000.0
        free = CAPACITY.millicores / 1000.0 - busy
        waiting = [task for tasks in cell.waiting_by_team.values() for task in tasks]
        self.result.core_s += CAPACITY.millicores / 1000.0 * STEP_S
        if any(task.size.millicores / 1000.0 <= free for task in waiting):
            self.result.idle_core_s += free * STEP_S
        self._measure_excess(cell, used, now_s)

    def _measure_excess(self, cell, used, now_s):
        """Note spells over the share by more than a task while others are short."""
        short = any(
            tasks and self._is_short(cell, team, used)
            for team, tasks in cell.waiting_by_team.items()
        )
        for team in self.teams_by_name:
            share = self.judge.allowance(cell.name, team).millicores
            above = used.get(team, NOTHING).millicores - share
            key = cell.name, team
            if short and above >= 1000 * max(SIZES_CORES):
                self.over_since_s.setdefault(key, now_s)
            elif key in self.over_since_s:
                self.result.spells_s.append(now_s - self.over_since_s.pop(key))

    def _is_short(self, cell, team, used):
        """Tell whether the largest task would still fit in the team's share."""
        share = self.judge.allowance(cell.name, team)
        return (used.get(team, NOTHING) + LARGEST).fits_in(share)

    def finish(self, now_s):
        """Count the spells that last until the end."""
        self.result.spells_s += [now_s - since for since in self.over_since_s.values()]


def percentile(values, part):
    ordered = sorted(values) or [0.0]
    return ordered[int(part * (len(ordered) - 1))]


def compare(seed, length_s):
    print(
        f"{TEAMS} teams, {CELLS} cells, {length_s:.0f} s, flood at {FLOOD_AT_S:.0f} s"
    )
    print(
        "policy       over share, periods p50 / max   idle %   others' wait p50 / p99 s"
        "   preemptions"
    )
    for name, kind in POLICIES_BY_NAME.items():
        fleet = Fleet(kind, seed)
        result = fleet.run(length_s)
        fleet.finish(length_s)
        most = max(result.spells_s, default=0.0) / SUMMARY_INTERVAL_S
        spells = [spell / SUMMARY_INTERVAL_S for spell in result.spells_s]
        idle = 100.0 * result.idle_core_s / result.core_s
        waits = result.waits_s
        print(
            f"{name:12} {percentile(spells, 0.5):18.1f} / {most:4.1f}"
            f" ({len(spells):4}) {idle:8.2f} {percentile(waits, 0.5):16.0f} /"
            f" {percentile(waits, 0.99):4.0f} {result.preemptions:14}"
        )


def fill_state(rng, teams, cells):
    """Return a state, and the summaries, of a fleet in which every team waits."""
    teams_by_name = make_teams(rng, teams, cells)
    state = QuotaState(teams_by_name)
    summaries = []
    for index in range(cells):
        used, waiting = {}, {}
        for name in teams_by_name:
            part = rng.randrange(CAPACITY.millicores // teams)
            used[name] = Resources(part, part * 3)
            waiting[name] = Resources(part, part * 3)
        summary = summarize(f"cell{index:02}", index, CAPACITY, used, waiting)
        summaries.append(summary)
        state.apply(index, summary)
    return state, summaries


def print_slopes(rng):
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
    print_slopes(random.Random(options.seed))


if __name__ == "__main__":
    main()
