"""Steps of policies.feature."""

import math
import random

from pytest_bdd import given, parsers, scenarios, then, when

from dotterelspread.configuration import ObjectiveConfig, TeamConfig
from dotterelspread.controllers.feedback import FeedbackController
from dotterelspread.quarantine import QuarantineState
from dotterelspread.quota import QuotaState

from ..builders_policies import batch, cores, sample, summary

scenarios("policies.feature")

TARGET_LATENCY_S = 0.25


class CellSimulation:
    """Runs jobs one at a time, each with up to six attempts on admitting workers."""

    def __init__(self, count):
        self.workers = [f"w{index}" for index in range(count)]
        self.faulty_workers = set()
        self.ever_quarantined = set()
        self.refusals = {}
        self.state = QuarantineState()
        self.rng = random.Random(11)
        self.offset = 0
        self.jobs = 0
        for worker in self.workers:
            self.state.add_worker(worker)

    def run_jobs(self, count, bad_job="", noise=0.0):
        for _ in range(count):
            self.jobs += 1
            self._run_job(f"job{self.jobs}", noise)
            if bad_job and bad_job not in self.refusals:
                self._run_job(bad_job, 1.0)

    def _run_job(self, job_id, noise):
        for _ in range(6):
            self.offset += 10
            task_id = f"{job_id}.0"
            refusal = self.state.refusal(job_id, task_id)
            if refusal:
                self.refusals[job_id] = refusal
                return
            self.rng.shuffle(self.workers)
            for worker in self.workers:
                if self.state.admit(worker, job_id, task_id, 0).allowed:
                    break
            else:
                return
            self.state.started(self.offset, job_id, worker)
            failed = worker in self.faulty_workers or self.rng.random() < noise
            end = self.state.failure if failed else self.state.success
            end(self.offset + 1, job_id, task_id, worker)
            self.ever_quarantined.update(self.state.quarantined_ids())
            if not failed:
                return


@given(parsers.parse("a cell of {count:d} workers"), target_fixture="cell")
def _(count):
    return CellSimulation(count)


@when(parsers.parse("{bad:d} worker fails every task it starts during {count:d} jobs"))
@when(parsers.parse("{bad:d} workers fail every task they start during {count:d} jobs"))
def _(cell, bad, count):
    cell.faulty_workers = set(cell.workers[:bad])
    cell.run_jobs(count)


@when(parsers.parse("all workers are healthy during {count:d} jobs"))
def _(cell, count):
    cell.faulty_workers = set()
    cell.run_jobs(count)


@when(parsers.parse('job "{job_id}" fails on every worker during {count:d} jobs'))
def _(cell, job_id, count):
    cell.run_jobs(count, bad_job=job_id)


@when(parsers.parse("{bad:d} of 10 jobs fail on every worker during {count:d} jobs"))
def _(cell, bad, count):
    for index in range(count):
        cell.run_jobs(1, noise=1.0 if index % 10 < bad else 0.0)


@when(parsers.parse("{percent:d} % of all starts fail during {count:d} jobs"))
def _(cell, percent, count):
    cell.run_jobs(count, noise=percent / 100.0)


@then(parsers.parse("{count:d} worker is quarantined"))
@then(parsers.parse("{count:d} workers are quarantined"))
def _(cell, count):
    assert len(cell.state.quarantined_ids()) == count


@then("no healthy worker is quarantined")
def _(cell):
    assert cell.ever_quarantined <= cell.faulty_workers


@then(parsers.parse('job "{job_id}" is refused with the workers it failed on'))
def _(cell, job_id):
    assert "failed on w" in cell.refusals[job_id]


@given(
    parsers.parse('teams "{one}" and "{other}" with quotas of {quota:d} cores each'),
    target_fixture="quota",
)
def _(one, other, quota):
    return QuotaState({name: TeamConfig(name, cores(quota)) for name in (one, other)})


@given(
    parsers.parse(
        'cell "{cell}" of {size:d} cores, all held by "{team}", '
        "which waits for {waiting:d} more"
    ),
    target_fixture="backlog",
)
def _(cell, size, team, waiting):
    return size, {team: size}, {team: waiting}


@given(
    parsers.parse('cell "{cell}" of {size:d} cores, of which "{team}" holds {held:d}')
)
def _(quota, cell, size, team, held):
    quota.apply(0, summary(cell, size, used={team: held}))


@when(parsers.parse('"{team}" waits for {amount:d} cores in "{cell}"'))
def _(quota, backlog, team, amount, cell):
    size, used, waiting = backlog
    quota.apply(0, summary(cell, size, used, {**waiting, team: amount}))


@then(
    parsers.parse(
        '"{team}" may preempt there and "{other}" is to give back {amount:d} cores'
    )
)
def _(quota, backlog, team, other, amount):
    size, _, _ = backlog
    assert quota.may_start("north", team, cores(0), cores(4)).may_preempt
    victims = quota.excess("north", {other: cores(size)}, team, cores(amount))
    assert [(v.team, v.amount) for v in victims] == [(other, cores(amount))]


@then(parsers.parse('"{team}" may not start there, because its share is in use'))
def _(quota, backlog, team):
    decision = quota.may_start("north", team, cores(backlog[0]), cores(4))
    assert not decision.allowed
    assert "whole share of millicores" in decision.reason


@then(parsers.parse('"{team}" may start a task of {amount:d} cores in "{cell}"'))
def _(quota, team, amount, cell):
    assert quota.may_start(cell, team, cores(40), cores(amount)).allowed


@given(
    parsers.parse(
        'a feedback controller that has run "{one}" and "{other}" for an hour'
    ),
    target_fixture="controller",
)
def _(one, other):
    controller = FeedbackController(TARGET_LATENCY_S, ObjectiveConfig())
    pending_samples = []
    for step in range(360):
        now_s = step * 10.0
        tasks = batch(one, 12.0) if step // 6 % 2 else batch(other, 12.0)
        shares = controller.decide(now_s, 0.5, tasks).share_by_program
        running = 12.0 * shares.get(one, 0.0)
        pending_samples.append(sample(now_s + 10.0, 0.12 * math.exp(0.08 * running)))
        if len(pending_samples) > 2:
            controller.report(pending_samples.pop(0))
    return controller


@when(
    parsers.parse('"{one}" and "{other}" start again after a pause'),
    target_fixture="decision",
)
def _(controller, one, other):
    controller.decide(3700.0, 0.5, [])
    return controller.decide(3800.0, 0.5, batch(one, 12.0) + batch(other, 12.0))


@then(parsers.parse('"{quiet}" gets a larger share than "{noisy}" at once'))
def _(decision, quiet, noisy):
    shares = decision.share_by_program
    assert shares[quiet] > 1.5 * shares[noisy]


@then("the service's expected latency is within target")
def _(decision):
    running = 12.0 * decision.share_by_program["noisy"]
    assert 0.12 * math.exp(0.08 * running) <= TARGET_LATENCY_S
