"""Placement: assigns the tasks that are due to workers.

Several tasks share a worker, and fillers use the processors that the other tasks leave
idle; `ordering` decides the order of the jobs and `workerchoice` which worker gets a
task.
"""

from ..lifecycle import make_run, start_effect
from ..permits import PermitQuery, ask_permits, permitted_workers
from ..refusals import accepts_step
from .gangroom import count_member_rooms
from .ordering import order_jobs
from .reservations import make_reservations
from .staleruns import find_tasks_with_stale_runs, ready_by_step
from .unplaceable import UnplaceableDemands
from .workerchoice import can_host, choose_worker, filler_demand_of

__all__ = ["MAX_STARTS_PER_PASS", "place", "place_now"]

#: Number of starts after which a pass ends; the next one goes on after an append. The
#: leader does nothing else during a pass, and a start takes about 1 ms beside 630
#: workers.
MAX_STARTS_PER_PASS = 250


def place(cell, now_s):
    """Place the tasks that are due, or defer this while an append is in progress.

    A start must wait until its assignment has been appended to the journal, and that
    append cannot begin before the current one is done. A single pass after the current
    append places the same tasks without delaying them.
    """
    if cell.is_append_under_way:
        cell.is_placing_due = True
        return []
    return place_now(cell, now_s)


def place_now(cell, now_s):
    """Assign every task that fits to a worker; return the starts as effects."""
    cell.is_placing_due = False
    if not cell.ready_by_job or now_s < cell.placing_start_s:
        return []
    workers = [
        worker
        for worker in cell.workers_by_id.values()
        if worker.accepts_serving_tasks(now_s)
    ]
    effects = []
    if workers:
        cell.gang_searches.begin_pass(now_s)
        workers_by_service = _group_by_service(workers)
        unplaceable = UnplaceableDemands()
        stale_task_ids = find_tasks_with_stale_runs(cell)
        jobs = order_jobs(cell, now_s)
        reservations = make_reservations(cell, jobs, workers, stale_task_ids, now_s)
        for job in jobs:
            groups = ready_by_step(cell, job, stale_task_ids)
            place_tasks = _place_job if reservations is None else _place_and_hold
            max_starts = MAX_STARTS_PER_PASS - len(effects)
            eligible = workers_by_service.get(cell.queue_of(job).service, ())
            effects += place_tasks(
                cell,
                job,
                groups,
                eligible,
                unplaceable,
                now_s,
                max_starts,
                reservations,
            )
            if len(effects) >= MAX_STARTS_PER_PASS:
                # Later jobs wait too, so that they do not take the room of this one.
                cell.is_placing_due = True
                break
        if reservations is not None:
            effects.extend(reservations.effects())
    return effects


def _group_by_service(workers):
    workers_by_service = {}
    for worker in workers:
        workers_by_service.setdefault(worker.service, []).append(worker)
    return workers_by_service


def _place_and_hold(
    cell, job, keys_by_step, eligible, unplaceable, now_s, max_starts, reservations
):
    """Place the tasks of a job, and reserve room for those that do not fit."""
    reservations.release(job)
    keys_by_step = {
        step_key: keys
        for step_key, keys in keys_by_step.items()
        if not reservations.skips(job, job.spec.steps[step_key[1]])
    }
    effects = _place_job(
        cell, job, keys_by_step, eligible, unplaceable, now_s, max_starts, reservations
    )
    reservations.note_starts(effects)
    for step_key, keys in keys_by_step.items():
        waiting = len(keys)
        if effects:
            waiting = sum(cell.is_ready(job, key) for key in keys)
        if waiting:
            reservations.hold(job, step_key, waiting)
    return effects


def _place_job(
    cell, job, keys_by_step, eligible, unplaceable, now_s, max_starts, reservations
):
    queue = cell.queue_of(job)
    service = queue.service
    effects = []
    for step_key, keys in keys_by_step.items():
        if len(effects) >= max_starts:
            break
        step = job.spec.steps[step_key[1]]
        filler_demand = filler_demand_of(job, step, now_s)
        if unplaceable.covers(service, step, filler_demand):
            continue
        feasible = _feasible_workers(step, eligible, now_s)
        if not feasible:
            unplaceable.add(service, step)
            continue
        usable = [w for w in feasible if accepts_step(job, step_key, w, now_s)]
        is_held_back = len(usable) < len(feasible)
        query = PermitQuery(job, step_key, queue.permit_timing, usable)
        if queue.needs_permits:
            usable = permitted_workers(cell, job, step_key, usable, now_s)
        if reservations is not None:
            reservations.reset_blocked()
        tried = _bound_keys(step, keys, max_starts - len(effects))
        starts = _place_step(cell, job, step, tried, usable, now_s, reservations)
        effects.extend(starts)
        if len(starts) == len(tried):
            continue
        if queue.needs_permits:
            effects.extend(ask_permits(cell, query, now_s))
        elif not is_held_back:
            # Else other steps may yet use the workers that have refused this one.
            awaits_starts = any(worker.awaits_many_starts for worker in usable)
            _note_waiting(
                *(job, service, step, filler_demand, unplaceable, reservations),
                awaits_starts,
            )
    return effects


def _note_waiting(
    job, service, step, filler_demand, unplaceable, reservations, awaits_starts
):
    """Record that tasks of a step did not start, for the jobs that follow.

    A gang may start on workers that await many starts.
    """
    if reservations is not None and reservations.is_blocked:
        # Others may be allowed to use the room that is reserved.
        reservations.count_block(job, step)
    elif not step.is_gang and not step.max_per_worker:
        # With a limit per worker, only this step's own tasks may stand in the way;
        # other steps with the same demand may still fit.
        unplaceable.add(service, step, filler_demand, spares_gangs=awaits_starts)


def _bound_keys(step, keys, max_starts):
    """Return the tasks of a step that may start in a pass; a gang starts as a whole."""
    return keys if step.is_gang else keys[:max_starts]


def _feasible_workers(step, workers, now_s):
    """Return the workers that a task of a step may start on now."""
    return [
        worker
        for worker in workers
        if (step.is_service or not worker.cools_down(now_s))
        and not worker.has_refused(step.reserved, now_s)
        and can_host(worker, step)
    ]


def _place_step(cell, job, step, keys, workers, now_s, reservations):
    if step.is_gang:
        return _place_gang(cell, job, step, keys, workers, now_s, reservations)
    starts = []
    rankings = {}
    for key in keys:
        worker = choose_worker(
            cell, job, key, step, workers, now_s, reservations, rankings
        )
        if worker is None:
            break
        starts.append(_assign(cell, job, key, worker, now_s))
        job.last_active_s = now_s
    return starts


def _place_gang(cell, job, step, keys, workers, now_s, reservations):
    """Place all members of a gang under one run number, or none of them."""
    if len(keys) < step.count:
        return []
    chosen = _search_gang(cell, job, keys, step, workers, now_s, reservations)
    if not chosen:
        return []
    number = 1 + max(job.tasks_by_key[key].run for key in keys)
    checkpoints = [job.tasks_by_key[key].checkpoint for key in keys]
    checkpoint = next(filter(None, checkpoints), "")
    for key in keys:
        # All members must resume from the same checkpoint.
        job.tasks_by_key[key].checkpoint = checkpoint
    return [_assign(cell, job, key, worker, now_s, number) for key, worker in chosen]


def _search_gang(cell, job, keys, step, workers, now_s, reservations):
    """Return (key, worker) pairs of all members; empty if any member does not fit."""
    step_key = keys[0][:2]
    filler_demand = filler_demand_of(job, step, now_s)
    room_by_worker = count_member_rooms(
        cell, job, step_key, workers, filler_demand, reservations
    )
    sought = 0
    for racks in _rack_choices(step, workers, now_s):
        if sum(room_by_worker[worker.worker_id] for worker in racks) < step.count:
            continue
        if not cell.gang_searches.may_search(job.job_id, step_key, now_s):
            return []
        chosen = _choose_members(cell, job, keys, step, racks, now_s, reservations)
        if chosen:
            return chosen
        sought += step.count
    if sought:
        cell.gang_searches.note_failure(job.job_id, step_key, sought, now_s)
    return []


def _rack_choices(step, workers, now_s):
    """Yield the sets of workers to try for a gang: single racks first, then all.

    Cold workers come last, as for single tasks.
    """
    warm = [worker for worker in workers if not worker.is_cold(now_s)]
    # If all are cold, or none is, the sets are tried once.
    for pool in (warm, workers) if 0 < len(warm) < len(workers) else (workers,):
        if step.same_rack:
            for rack in sorted({worker.rack for worker in pool}):
                yield [worker for worker in pool if worker.rack == rack]
        yield pool


def _choose_members(cell, job, keys, step, workers, now_s, reservations):
    """Return (key, worker) pairs of all members; empty if any member does not fit."""
    chosen = []
    tentative = []
    rankings = {}
    for key in keys:
        worker = choose_worker(
            cell, job, key, step, workers, now_s, reservations, rankings
        )
        if worker is None:
            chosen = []
            break
        task_id = job.task_id(key)
        worker.add(task_id, make_run(job, key, 0))
        tentative.append((worker, task_id))
        chosen.append((key, worker))
    for worker, task_id in tentative:
        worker.remove(task_id)
    return chosen


def _assign(cell, job, key, worker, now_s, number=None):
    task = job.tasks_by_key[key]
    job.assign(key, worker, number or task.run + 1)
    run = make_run(job, key, task.run)
    run.is_start_in_flight = True
    run.last_order_s = now_s
    task_id = job.task_id(key)
    worker.add(task_id, run)
    cell.clear_ready(job, key)
    cell.dirty_job_ids.add(job.job_id)
    return start_effect(cell, job, worker, run, task_id, now_s)
