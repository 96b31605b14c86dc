"""Builders of cells with a few workers and jobs, for tests of the leader."""

from dotterelspread.jobs.agentreport import AgentReport
from dotterelspread.jobs.cell import Cell, OrderSettled, Reported, StopRun, Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.queues import FleetConfiguration
from dotterelspread.jobs.worker import Worker
from dotterelspread.resources import Resources
from tests.builders_fleet import QUEUE, make_job

__all__ = [
    "CAPACITY",
    "make_cell",
    "make_report",
    "make_worker",
    "settle_order",
    "submit",
    "workers_of",
]

CAPACITY = Resources(8000, 16_000, 1)


def make_worker(number, **changes):
    values = {
        "agent_address": f"agent{number}:1",
        "service": "svc",
        "labels": frozenset({"a", f"rack{number % 2}"}),
        "rack": f"rack{number % 2}",
        "capacity": CAPACITY,
        "is_reachable": True,
    }
    return Worker(f"i-{number}", 1, **(values | changes))


def make_cell(*workers, queues=(QUEUE,)):
    configuration = FleetConfiguration(1, {queue.name: queue for queue in queues})
    cell = Cell(configuration)
    cell.workers_by_id = {worker.worker_id: worker for worker in workers}
    return cell


def submit(cell, *steps, number=1, **changes):
    spec = make_job(number, steps, **changes)
    return reduce(Submitted(0.0, spec, 0), cell)


def workers_of(effects):
    return [effect.worker.worker_id for effect in effects]


def make_report(number, now_s, *running):
    """Return an agent's report of the running tasks on worker ``number``."""
    worker = make_worker(number)
    report = AgentReport(
        agent_address=worker.agent_address,
        worker_id=worker.worker_id,
        born_ms=worker.born_ms,
        service=worker.service,
        data_centre=worker.data_centre,
        labels=worker.labels,
        rack=worker.rack,
        capacity=worker.capacity,
        is_reachable=True,
        is_draining=False,
        has_left=False,
        is_gone=False,
        listed_ms=1 + int(now_s * 1000),
        running=running,
        ended=(),
    )
    return Reported(now_s, report, now_s + 4.0, 0)


def settle_order(cell, effect, result, now_s=0.1, clock_ms=100, **changes):
    """Settle the order of a `StartRun` or `StopRun`; return the effects."""
    worker = effect.worker
    event = OrderSettled(
        now_s,
        worker.worker_id,
        worker.born_ms,
        effect.task_id,
        effect.run.run,
        result,
        clock_ms,
        **({"is_stop": isinstance(effect, StopRun)} | changes),
    )
    return reduce(event, cell)
