"""A short soak of the shipped processes, and what its checks find."""

import asyncio
import json
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest

from dotterelspread.h1client import H1Reply
from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.workeradapter import StartAnswer, WorkerReplyError
from soak.callers import Callers
from soak.evacuationfaults import evacuate
from soak.hopelessjobs import soak_hopeless
from soak.run import soak
from soak.site import PEER_PORT, SoakError, SoakSite
from soak.workerfaults import restart_and_cut_off
from tests.builders_evacuation import EVACUATE_S

#: Seeds of soaks that broke a promise once, each with a line on the cause.
REGRESSIONS = Path(__file__).parent.parent / "soak" / "seeds.txt"


def listed_seeds():
    lines = REGRESSIONS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


@pytest.mark.parametrize("seed", [1, *listed_seeds()])
def test_nothing_is_broken_under_faults(tmp_path, seed):
    broken, _ = asyncio.run(soak(tmp_path, seed, seconds=6, entries=2, agents=3))
    assert not broken, (tmp_path / "soak.log").read_text()


def test_nothing_is_broken_when_restarted_workers_are_cut_off(tmp_path):
    # Guards against leases that a worker got from calls to its earlier incarnation.
    seed, faults = 3083, (restart_and_cut_off,)
    broken, _ = asyncio.run(soak(tmp_path, seed, 6, 2, 3, faults))
    assert not broken, (tmp_path / "soak.log").read_text()


def test_nothing_is_broken_when_data_centres_are_evacuated(tmp_path):
    # Guards against starts in an evacuated data centre while its agents, the leader or
    # the store are away, and against jobs that wait after the data centre is restored.
    broken, _ = asyncio.run(soak(tmp_path, 5, 10, 2, 3, (evacuate,)))
    assert not broken, (tmp_path / "soak.log").read_text()


def test_small_jobs_go_on_beside_hopeless_ones(tmp_path):
    # Guards against one job, of whatever kind, that takes the workers, the orders or
    # the leader's time from all others (review/7, review/8).
    broken, summary = asyncio.run(soak_hopeless(tmp_path, 21, 8, 2, 3))
    assert not broken, (summary, broken)


def test_what_an_earlier_soak_left_running_is_named(tmp_path):
    async def scenario():
        site = SoakSite(tmp_path, 150)
        with socket.create_server((site.entries[0].host, PEER_PORT)):
            async with site.open():
                raise AssertionError("the soak began")

    with pytest.raises(SoakError, match="in use"):
        asyncio.run(scenario())


class FakeEntry:
    """Answers each call of a caller with a fixed status and state."""

    def __init__(self, status, state="running"):
        self.address = "entry"
        self.status = status
        self.body = json.dumps({"State": state}).encode()

    async def call(self, *arguments, **named):
        return H1Reply(self.status, {}, self.body)


def make_callers(tmp_path, entry, **asked):
    site = SoakSite(tmp_path, 1)
    callers = Callers(site)
    callers._clients = [entry]
    spec = callers._make_spec(1)
    site.specs[spec.job_id] = spec
    values = {"statuses": [200], "is_accepted": True, "is_cancelled": False}
    callers.jobs_by_id[spec.job_id] = SimpleNamespace(**(values | asked), state="")
    return callers, spec.job_id


def violations_of(tmp_path, entry, has_run=False, **asked):
    async def check():
        callers, job_id = make_callers(tmp_path, entry, **asked)
        if has_run:
            callers.site.checker.worker_ids_by_task_id[f"{job_id}.0.0.0"] = set()
        await callers._check_state(job_id, {job_id})
        callers._check_refusals()
        return callers.site.checker.violations

    return asyncio.run(check())


def test_a_job_that_goes_on_breaks_nothing(tmp_path):
    assert violations_of(tmp_path, FakeEntry(200)) == []


def test_an_accepted_job_that_is_not_known_is_found(tmp_path):
    assert "not known" in violations_of(tmp_path, FakeEntry(410))[0]


def test_a_job_that_is_complete_too_soon_is_found(tmp_path):
    assert "complete" in violations_of(tmp_path, FakeEntry(200, "complete"))[0]


def test_a_job_that_nobody_cancelled_is_found(tmp_path):
    assert "nobody asked" in violations_of(tmp_path, FakeEntry(200, "cancelled"))[0]


def test_a_refused_job_that_has_run_is_found(tmp_path):
    asked = {"statuses": [503, 503], "is_accepted": False}
    assert "refused" in violations_of(tmp_path, FakeEntry(200), True, **asked)[0]


def test_a_version_that_is_not_in_force_is_found(tmp_path, monkeypatch):
    monkeypatch.setattr("soak.callers.PUBLICATION_TIMEOUT_S", 0.0)

    async def check():
        callers, _ = make_callers(tmp_path, FakeEntry(404))
        await callers._check_configuration()
        return callers.site.checker.violations

    assert "version" in asyncio.run(check())[0]


def start(site, number, job_id, run=1):
    worker = site.workers[number]
    return worker._start(*make_start(worker, job_id, run))


def make_start(worker, job_id, run=1):
    order = SimpleNamespace(
        task_id=f"{job_id}.0.0.0",
        run=run,
        program="program 1",
        checkpoint="",
        born_ms=0,
        evacuated_for_s=0.0,
    )
    return worker.worker_id, 1, order, worker.clock_ms() + 3000


def test_a_task_on_two_workers_or_after_its_end_is_found(tmp_path):
    async def scenario():
        callers, job_id = make_callers(tmp_path, FakeEntry(200))
        site = callers.site
        start(site, 0, job_id)
        assert not site.checker.violations
        start(site, 1, job_id, run=2)
        assert "also on" in site.checker.violations.pop()
        for worker in site.workers[:2]:
            worker._remove(f"{job_id}.0.0.0", RunEnd.COMPLETED)
        site.checker.record_acknowledgement(site.workers[0], 1)
        start(site, 2, job_id, run=3)
        assert "after its end" in site.checker.violations.pop()

    asyncio.run(scenario())


def test_a_start_on_a_worker_that_leaves_is_found(tmp_path):
    async def scenario():
        callers, job_id = make_callers(tmp_path, FakeEntry(200))
        worker = callers.site.workers[0]
        worker._drained_s = asyncio.get_running_loop().time() - 3.0
        start(callers.site, 0, job_id)
        assert "late" in callers.site.checker.violations.pop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("name", "age_s", "is_restored", "is_found"),
    [
        ("kumasi", EVACUATE_S + 0.1, False, True),
        ("kumasi", EVACUATE_S - 0.1, False, False),
        ("kumasi", EVACUATE_S + 0.1, True, False),
        ("obuasi", EVACUATE_S + 0.1, False, False),
        ("nowhere", EVACUATE_S + 0.1, False, False),
    ],
)
def test_a_start_in_an_evacuated_data_centre_is_found(
    tmp_path, name, age_s, is_restored, is_found
):
    async def scenario():
        callers, job_id = make_callers(tmp_path, FakeEntry(200))
        site = callers.site
        site.evacuations.evacuate(name)
        site.evacuations._since_s_by_name[name] -= age_s
        if is_restored:
            site.evacuations.restore(name)
        worker = site.workers[0]
        answer, _ = await worker.start(*make_start(worker, job_id))
        assert answer is StartAnswer.RUNNING
        violations = site.checker.violations
        assert ["evacuation of kumasi" in text for text in violations] == (
            [True] if is_found else []
        )

    asyncio.run(scenario())


def test_a_start_counts_from_when_its_worker_received_it(tmp_path):
    # Guards against a violation where the worker executes an order late.
    async def scenario():
        callers, job_id = make_callers(tmp_path, FakeEntry(200))
        site = callers.site
        worker = site.workers[0]
        arguments = make_start(worker, job_id)
        worker.late_ratio = 1.0
        with pytest.raises(WorkerReplyError):
            await worker.start(*arguments)
        site.evacuations.evacuate(worker.data_centre)
        site.evacuations._since_s_by_name[worker.data_centre] -= EVACUATE_S + 0.1
        assert worker._start(*arguments) is StartAnswer.RUNNING
        assert not site.checker.violations

    asyncio.run(scenario())


def test_a_worker_refuses_an_order_meant_for_its_predecessor(tmp_path):
    async def scenario():
        callers, job_id = make_callers(tmp_path, FakeEntry(200))
        worker = callers.site.workers[0]
        body = {"FencingToken": 1, "LastSeen": 0, "WaitMs": 0}
        statuses = []
        for meant in ("i-0", "i-9"):
            request = SimpleNamespace(
                headers={"x-expect-instance": meant},
                path="/api/hold",
                body=json.dumps(body).encode(),
            )
            statuses.append((await worker.handle(request)).status)
        assert statuses == [200, 421]

    asyncio.run(scenario())
