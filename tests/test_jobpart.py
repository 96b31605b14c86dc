"""Jobs at an entry that does not know or reach every agent, and evacuated cells."""

import asyncio

from dotterelspread.jobpart import MAX_CAPACITY_WAIT_S
from dotterelspread.outcome import RefusalReason
from tests.builders_jobpart import (
    CELL,
    FakeMembers,
    make_agent,
    make_job_part,
    make_request,
)
from tests.virtualloop import run_virtually

OTHER_CELL = "cell.takoradi.0"


def test_a_job_waits_for_capacities_and_is_then_refused_if_it_never_fits():
    async def scenario():
        members = FakeMembers(make_agent(1, cores=0), make_agent(2, cores=32))
        part = make_job_part(members)
        submission = asyncio.ensure_future(part.submit(make_request(cores=99)))
        await asyncio.sleep(MAX_CAPACITY_WAIT_S / 2)
        assert not submission.done()
        members.learn(make_agent(1, cores=32), make_agent(2, cores=32))
        refused, _ = await submission
        assert refused.reason is RefusalReason.NEVER_FITS
        assert not part.node.log_client.records

    run_virtually(scenario())


def test_a_job_that_fits_only_on_agents_of_unknown_capacity_is_told_to_return():
    async def scenario():
        part = make_job_part(FakeMembers(make_agent(1, cores=0)))
        began_s = asyncio.get_running_loop().time()
        refused, _ = await part.submit(make_request(cores=99))
        waited_s = asyncio.get_running_loop().time() - began_s
        assert refused.reason is RefusalReason.NOT_READY
        assert refused.retry_after_s
        assert waited_s < MAX_CAPACITY_WAIT_S + 1.0
        assert not part.node.log_client.records

    run_virtually(scenario())


def test_a_job_that_fits_on_a_known_agent_is_accepted():
    async def scenario():
        members = FakeMembers(make_agent(1, cores=0), make_agent(2, cores=32))
        part = make_job_part(members)
        outcome, job_id = await part.submit(make_request(cores=8))
        assert outcome is None
        assert [r.job_id for r in part.node.log_client.records] == [job_id]

    run_virtually(scenario())


def test_a_job_with_a_key_waits_for_capacities_too():
    async def scenario():
        part = make_job_part(FakeMembers(make_agent(1, cores=0)))
        refused, _ = await part.submit(make_request(cores=99), key="k")
        assert refused.reason is RefusalReason.NOT_READY

    run_virtually(scenario())


def test_a_job_is_not_denied_while_no_agent_answers():
    async def scenario():
        agents = [make_agent(number, cores=8) for number in (1, 2)]
        part = make_job_part(FakeMembers(*agents))
        silent_addresses = part.node.pool.silent_addresses
        silent_addresses.update(agent.peer_address for agent in agents)
        refused = await part.show(f"{CELL}-1")
        assert refused.reason is RefusalReason.NO_INSTANCE
        assert refused.retry_after_s
        silent_addresses.remove(agents[1].peer_address)
        refused = await part.show(f"{CELL}-1")
        assert refused.reason is RefusalReason.NOT_FOUND

    run_virtually(scenario())


def make_two_cells(other_cores=8):
    """Return the job part of an entry with an evacuated cell and another one."""
    here = make_agent(1, cores=32)
    there = make_agent(2, other_cores, "takoradi", OTHER_CELL)
    part = make_job_part(FakeMembers(here, there), (CELL, OTHER_CELL))
    part.evacuate(frozenset({"kumasi"}))
    return part


def cells_of(part):
    return {record.job_id.rpartition("-")[0] for record in part.node.log_client.records}


def test_a_job_goes_to_a_cell_that_is_not_evacuated():
    # In the evacuated cell it would wait for the restore.
    async def scenario():
        part = make_two_cells()
        for _ in range(8):
            assert (await part.submit(make_request(cores=8)))[0] is None
        assert cells_of(part) == {OTHER_CELL}

    run_virtually(scenario())


def test_a_job_that_only_an_evacuated_cell_can_hold_waits_there():
    # Refusing it as too large would tell the team to change a correct job.
    async def scenario():
        part = make_two_cells()
        assert (await part.submit(make_request(cores=16)))[0] is None
        assert cells_of(part) == {CELL}

    run_virtually(scenario())


def test_a_job_with_a_key_keeps_its_cell_during_an_evacuation():
    # A repeat after a lost answer that went to another cell would run the job twice.
    async def scenario():
        part = make_two_cells()
        keys = [f"k{number}" for number in range(8)]
        part.evacuate(frozenset())
        before = [(await part.submit(make_request(cores=8), key))[1] for key in keys]
        part.evacuate(frozenset({"kumasi"}))
        after = [(await part.submit(make_request(cores=8), key))[1] for key in keys]
        assert before == after
        assert cells_of(part) == {CELL, OTHER_CELL}

    run_virtually(scenario())
