"""An agent's task part whose data centre is evacuated while a start is under way."""

import asyncio
import contextlib
from types import SimpleNamespace

from bench.fleet import announcement, spec
from dotterelspread.reducer import reduce
from dotterelspread.taskevent import StartTask, StopTask
from dotterelspread.taskpart import TaskPart
from tests.builders_evacuations import VirtualNode
from tests.virtualloop import run_virtually

REASON = "data centre kumasi was evacuated by ama"
CALL_TIME_S = 1.0


class SlowWorker:
    """Notes the effects that it performs, one second each."""

    def __init__(self):
        self.performed = []

    async def perform(self, effect):
        self.performed.append(type(effect))
        await asyncio.sleep(CALL_TIME_S)
        return ()


def make_part(worker):
    settings = SimpleNamespace(agent=SimpleNamespace(cell="cell.0"))
    tracing = SimpleNamespace(span=lambda *args, **tags: contextlib.nullcontext())
    telemetry = SimpleNamespace(tracing=tracing, count=lambda name: None)
    node = VirtualNode(settings, 1, None, None, telemetry, reduce)
    return TaskPart(node, worker, announcement(0))


def make_start():
    return StartTask("a/0", 4, spec("a/0"), "", 1e9)


def test_a_start_that_waited_is_not_sent_once_starts_are_withheld():
    # Calls on one task are made one by one, so a start may wait for seconds.
    async def scenario():
        worker = SlowWorker()
        part = make_part(worker)
        part.perform(StopTask("a/0", 3))
        part.perform(make_start())
        await asyncio.sleep(CALL_TIME_S / 2)
        part.find_withholding = lambda: REASON
        await asyncio.sleep(3 * CALL_TIME_S)
        assert worker.performed == [StopTask]
        part.find_withholding = str
        part.perform(make_start())
        await asyncio.sleep(CALL_TIME_S)
        assert worker.performed == [StopTask, StartTask]

    run_virtually(scenario())


def test_a_new_process_withholds_starts_until_it_has_checked():
    # Records of the cell may be read before the evacuations are.
    async def scenario():
        part = make_part(SlowWorker())
        assert part.state.withheld
        part.find_withholding = lambda: REASON
        part.update_withholding()
        assert part.state.withheld == REASON
        part.find_withholding = str
        part.update_withholding()
        assert part.state.withheld == ""

    run_virtually(scenario())
