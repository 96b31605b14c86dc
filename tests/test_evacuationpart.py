"""Following and changing evacuated data centres while the log or peers fail."""

import asyncio

from dotterelspread.evacuationpart import MAX_AGE_S
from dotterelspread.evacuations import EvacuationFate
from dotterelspread.outcome import Refused
from tests.builders_evacuations import Site
from tests.virtualloop import run_virtually

#: Stated bound in seconds from the log's acknowledgement to the last start.
BOUND_S = 15.0


def evacuate(process, name="kumasi", base=-1, author="ama"):
    return process.part.change(name, True, base, author)


def restore(process, name="kumasi", base=-1, author="ama"):
    return process.part.change(name, False, base, author)


def test_every_process_follows_an_evacuation_and_its_restore():
    async def scenario():
        site = Site(3)
        await asyncio.sleep(1)
        result = await evacuate(site.processes[0])
        assert result.fate is EvacuationFate.ACCEPTED
        await asyncio.sleep(0.1)
        assert all(p.part.names == {"kumasi"} for p in site.processes)
        found = site.processes[2].part.find_withholding("kumasi")
        assert "evacuated by ama" in found
        assert site.processes[2].part.find_withholding("takoradi") == ""
        await restore(site.processes[1], base=result.centre.version)
        await asyncio.sleep(0.1)
        assert all(p.part.names == frozenset() for p in site.processes)
        assert site.processes[2].part.find_withholding("kumasi") == ""

    run_virtually(scenario())


def test_two_operators_at_once_agree_on_one_result():
    # Neither may be told that its change holds when the other one's does.
    async def scenario():
        site = Site(2)
        await asyncio.sleep(1)
        first = await evacuate(site.processes[0])
        base = first.centre.version
        await asyncio.sleep(0.1)
        results = await asyncio.gather(
            restore(site.processes[0], base=base, author="ama"),
            evacuate(site.processes[1], base=-1, author="kofi"),
            restore(site.processes[0], base=base, author="esi"),
        )
        await asyncio.sleep(0.1)
        # "kofi" either came first and found it evacuated, or came too late.
        assert results[1].fate in (EvacuationFate.UNCHANGED, EvacuationFate.SUPERSEDED)
        fates = sorted([results[0].fate, results[2].fate])
        assert fates == [EvacuationFate.ACCEPTED, EvacuationFate.UNCHANGED]
        assert results[0].centre == results[2].centre
        assert all(p.part.names == frozenset() for p in site.processes)

    run_virtually(scenario())


def test_a_change_with_a_lost_acknowledgement_is_settled_and_can_be_repeated():
    async def scenario():
        site = Site(2)
        await asyncio.sleep(1)
        site.processes[0].log.loses_replies = True
        result = await evacuate(site.processes[0])
        site.processes[0].log.loses_replies = False
        assert result.fate is EvacuationFate.ACCEPTED
        repeated = await evacuate(site.processes[1])
        assert repeated.fate is EvacuationFate.UNCHANGED
        assert all(p.part.names == {"kumasi"} for p in site.processes)

    run_virtually(scenario())


def test_a_change_without_the_log_is_refused_as_not_done():
    async def scenario():
        site = Site(1)
        await asyncio.sleep(1)
        site.processes[0].log.is_up = False
        result = await evacuate(site.processes[0])
        assert isinstance(result, Refused)
        assert result.reason == "store-unavailable"
        site.processes[0].log.is_up = True
        await asyncio.sleep(10)
        assert site.processes[0].part.names == frozenset()

    run_virtually(scenario())


def test_a_process_cut_off_from_the_log_learns_an_evacuation_from_a_peer():
    # Requests go on without the log, so an agent must not rely on it alone.
    async def scenario():
        site = Site(4)
        await asyncio.sleep(1)
        site.processes[3].log.is_up = False
        site.silent_numbers = {1, 2}
        await evacuate(site.processes[0])
        await asyncio.sleep(BOUND_S)
        assert site.processes[3].part.names == {"kumasi"}

    run_virtually(scenario())


def test_tasks_wait_while_the_evacuations_cannot_be_read():
    # A data centre may have been evacuated since they were read.
    async def scenario():
        site = Site(1)
        await asyncio.sleep(1)
        part = site.processes[0].part
        assert part.find_withholding("kumasi") == ""
        site.processes[0].log.is_up = False
        await asyncio.sleep(MAX_AGE_S + 0.1)
        assert "not been read" in part.find_withholding("kumasi")
        site.processes[0].log.is_up = True
        await asyncio.sleep(10)
        assert part.find_withholding("kumasi") == ""

    run_virtually(scenario())


def test_a_restarted_process_knows_the_evacuations_before_it_may_start_work():
    async def scenario():
        site = Site(2)
        await asyncio.sleep(1)
        await evacuate(site.processes[0])
        part = site.restart(1).part
        while not part.is_known:
            await asyncio.sleep(0.001)
        assert part.names == {"kumasi"}

    run_virtually(scenario())


def test_a_process_that_starts_without_the_log_asks_its_peers():
    async def scenario():
        site = Site(4)
        await asyncio.sleep(1)
        await evacuate(site.processes[0])
        await asyncio.sleep(0.1)
        for process in site.processes:
            process.log.is_up = False
        process = site.restart(1)
        process.log.is_up = False
        while not process.part.is_known:
            await asyncio.sleep(0.01)
        assert process.part.names == {"kumasi"}
        assert "not been read" in process.part.find_withholding("takoradi")

    run_virtually(scenario())


def test_tasks_elsewhere_do_not_wait_after_a_change():
    # A reply with records proves only that the log was read when the read was sent,
    # which may be a whole wait ago.
    async def scenario():
        site = Site(2)
        await asyncio.sleep(9)
        base = -1
        for change in (evacuate, restore):
            result = await change(site.processes[0], base=base)
            base = result.centre.version
            for _ in range(290):
                await asyncio.sleep(0.1)
                assert site.processes[1].part.find_withholding("takoradi") == ""

    run_virtually(scenario())
