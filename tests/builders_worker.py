"""Simulated worker on virtual time: runs, leases, incarnations and late orders."""

import asyncio
from dataclasses import dataclass
from functools import partial

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.workeradapter import (
    Announcement,
    Listing,
    StartAnswer,
    WorkerAdapter,
    WorkerFencedError,
    WorkerGoneError,
    WorkerReplyError,
)
from dotterelspread.resources import Resources

__all__ = ["CAPACITY", "CAPACITY_NOTICE_S", "ORDER_TIMEOUT_S", "VirtualWorker"]

CAPACITY = Resources(8000, 16_000, 0)
#: Time after which the caller of an order that gets no reply times out.
ORDER_TIMEOUT_S = 0.7
#: Added to the wait of a `hold` call to get the time after which its caller times out.
HOLD_MARGIN_S = 1.0
#: Shortest and longest delay of calls that are executed late.
LATE_CALL_DELAYS_S = (2, 6)
#: Age by which a running agent has called an incarnation. A late order for an earlier
#: one is lost before that call: nothing would keep the worker from starting a task that
#: has ended since.
FIRST_CALL_TIMEOUT_S = 0.75
#: Lowest value at which the clock of an incarnation starts, and the steps above it.
MIN_CLOCK_START_MS, CLOCK_START_STEP_MS, CLOCK_START_STEPS = 5000, 1_000_000, 5

#: Time after which a worker that has shrunk may no longer be given tasks for its
#: earlier capacity.
CAPACITY_NOTICE_S = 5.5


def _clock_start_ms(number, incarnation):
    """Return the worker's clock at the start of an incarnation.

    It is higher than that of the incarnation before for some, and lower for others: to
    one of them the end of a lease that was meant for the other is far ahead.
    """
    steps = (3 * incarnation + 2 * number + 3) % CLOCK_START_STEPS
    return MIN_CLOCK_START_MS + steps * CLOCK_START_STEP_MS


@dataclass
class _VirtualRun:
    run: int
    started_s: float
    end_s: float
    how: str
    is_stopping: bool = False

    @property
    def percent(self):
        """Progress in percent; stays below 100 also while the run is being stopped."""
        duration_s = self.end_s - self.started_s
        return min(99, int(100 * (clock.now_s() - self.started_s) / duration_s))


class VirtualWorker(WorkerAdapter):
    """Simulated worker that can crash and restart; reports its runs to the checker."""

    #: Interval at which a waiting `hold` call checks for ended runs.
    poll_interval_s = 0.02

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.rng = fleet.rng
        self.number = number
        self.worker_id = f"i-{number}"
        self.data_centre = "dc"
        #: For how long its heartbeats say that it stays slow.
        self.cold_ms = 0
        #: (time, task id) of each start.
        self.starts = []
        #: When its agent last called it to start a run, by task id and number.
        self.start_sent_s_by_run = {}
        #: Checkpoint of the runs of this worker, while they run and if they end early.
        self.checkpoint = ""
        #: Checkpoint that the latest start of each task carried.
        self.resumed_by_task_id = {}
        self.incarnation = 0
        #: Incarnation to which the agent's connection was opened; 0 if it was closed.
        self.connected_incarnation = 0
        #: Executes the latest `hold` call for another time; None if it was answered.
        self._unanswered_hold = None
        self.is_up = True
        self.is_draining = False
        #: Factor on the duration of runs started here; infinite for a stalled worker.
        self.slowness = 1.0
        #: Ratio of orders that are executed late and get no reply, and of `hold` calls
        #: broken by a crash that the next incarnation executes.
        self.late_ratio = 0.0
        #: Delay of the next start; by then another incarnation may have the id.
        self.next_start_delay_s = None
        #: Ratio of other `hold` calls that are executed late and get no reply.
        self.late_hold_ratio = 0.0
        self.is_failing = False
        #: Whether calls to the worker are lost; its runs go on.
        self.is_cut_off = False
        self.capacity = CAPACITY
        #: (time until which it counts, capacity) of earlier capacities.
        self._earlier_capacities = []
        #: By how much the time of day of the instance was set forward.
        self.time_of_day_step_s = 0.0
        self.begin_incarnation()

    def begin_incarnation(self):
        self.incarnation += 1
        self.born_s = clock.now_s()
        self.born_ms = int((self.born_s + self.time_of_day_step_s) * 1000)
        self.clock_start_ms = _clock_start_ms(self.number, self.incarnation)
        self.sequence = 0
        self.token = 0
        self.lease_end_s = 0.0
        self.running = {}
        self.ended = []
        self.highest_run_by_task_id = {}
        self.is_up = True
        #: Whether its agent has called this incarnation.
        self.has_been_called = False
        self._execute_unanswered_hold()

    def _execute_unanswered_hold(self):
        """Execute a call to the earlier incarnation before any to this one."""
        execute, self._unanswered_hold = self._unanswered_hold, None
        if execute is not None and self.late_ratio and self._is_order_late():
            execute()

    def clock_ms(self):
        return int((clock.now_s() - self.born_s) * 1000) + self.clock_start_ms

    @property
    def is_next_clock_lower(self):
        """Whether the clock of the next incarnation starts lower than this one's."""
        return _clock_start_ms(self.number, self.incarnation + 1) < self.clock_start_ms

    def change_capacity(self, capacity):
        """Change the capacity that the next heartbeat announces."""
        until_s = clock.now_s() + CAPACITY_NOTICE_S
        self._earlier_capacities.append((until_s, self.capacity))
        self.capacity = capacity

    def largest_recent_capacity(self):
        """Return the largest capacity that the leader may still count on."""
        now_s = clock.now_s()
        largest = self.capacity
        for until_s, capacity in self._earlier_capacities:
            if now_s < until_s:
                largest = largest.at_least(capacity)
        return largest

    def crash(self):
        self.fleet.checker.record_crash(self)
        for task_id in list(self.running):
            self._remove(task_id, None)
        self.is_up = False

    def announcement(self):
        self.sequence += 1
        return Announcement(
            self.worker_id,
            self.born_ms,
            self.sequence,
            "svc",
            "app",
            self.data_centre,
            frozenset({"a", f"rack{self.number % 3}"}),
            f"rack{self.number % 3}",
            self.capacity,
            self.is_draining,
            self.cold_ms,
        )

    async def _receive(self):
        await asyncio.sleep(0.0005)
        await self._check_connected()
        if not self.is_up:
            raise WorkerGoneError("worker is down")

    async def _check_connected(self):
        if self.is_cut_off:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise WorkerReplyError("no reply")

    def _is_order_late(self):
        return self.rng.random() < self.late_ratio

    def _is_hold_late(self):
        return self.late_hold_ratio > 0 and self.rng.random() < self.late_hold_ratio

    async def _execute_late(self, execute, timeout_s):
        """Execute a call late, by whatever incarnation is there, and lose the reply."""
        delay_s = self.rng.uniform(*LATE_CALL_DELAYS_S)
        asyncio.get_running_loop().call_later(delay_s, execute)
        await self._wait_in_vain(timeout_s)
        raise WorkerReplyError("no reply")

    async def _wait_in_vain(self, timeout_s):
        """Wait for a reply until the timeout, or the end of the process called."""
        incarnation, end_s = self.incarnation, clock.now_s() + timeout_s
        while self.is_up and incarnation == self.incarnation:
            remaining_s = end_s - clock.now_s()
            if remaining_s <= 0:
                return
            await asyncio.sleep(min(self.poll_interval_s, remaining_s))

    def _accept_token(self, token):
        self.end_due_runs()
        if token < self.token:
            return False
        self.token = token
        return True

    def _is_for_this_worker(self, worker_id):
        """Tell whether a call names this worker, whatever incarnation it was for."""
        return self.is_up and worker_id == self.worker_id

    async def start(self, worker_id, token, order, until_ms):
        self.start_sent_s_by_run[order.task_id, order.run] = clock.now_s()
        if self.next_start_delay_s is not None:
            delay_s, self.next_start_delay_s = self.next_start_delay_s, None
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._start_late, token, order, until_ms)
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise WorkerReplyError("no reply")
        execute = partial(self._start, worker_id, token, order, until_ms)
        return await self._execute(order, execute)

    async def _execute(self, order, execute):
        """Execute an order and reply, or execute it late without a reply."""
        await self._receive()
        if self._is_for_other_incarnation(order):
            return StartAnswer.OTHER_INCARNATION, self.clock_ms()
        if self._is_order_late():
            late = partial(self._execute_after_first_call, execute)
            await self._execute_late(late, ORDER_TIMEOUT_S)
        return execute(), self.clock_ms()

    def _start_late(self, token, order, until_ms):
        self._start(self.worker_id, token, order, until_ms)

    def _is_for_other_incarnation(self, order):
        """Tell whether `PlatformWorker` does not send an order on its connection."""
        return order.born_ms not in (0, self.born_ms)

    def _execute_after_first_call(self, execute):
        if self.has_been_called or clock.now_s() > self.born_s + FIRST_CALL_TIMEOUT_S:
            execute()

    def _start(self, worker_id, token, order, until_ms):
        if not self._is_for_this_worker(worker_id):
            return StartAnswer.OTHER_INCARNATION
        if not self._accept_token(token):
            return StartAnswer.FENCED
        run = self.running.get(order.task_id)
        if run is not None and run.run == order.run:
            return StartAnswer.RUNNING
        if order.run <= self.highest_run_by_task_id.get(order.task_id, 0):
            return StartAnswer.OUTDATED
        self._extend(until_ms)
        if self.lease_end_s <= clock.now_s():
            return StartAnswer.EXPIRED
        if run is not None:
            return StartAnswer.OUTDATED
        if self.fleet.policy is not None and not self.fleet.policy.accepts(self, order):
            return StartAnswer.NOT_PERMITTED
        duration_s = self.fleet.duration_of(order.task_id) * self.slowness
        how = RunEnd.COMPLETED
        if self.is_failing or self.fleet.is_poison(order.task_id):
            duration_s, how = 0.2, RunEnd.FAILED
        now_s = clock.now_s()
        self.running[order.task_id] = _VirtualRun(
            order.run, now_s, now_s + duration_s, how
        )
        self.starts.append((now_s, order.task_id))
        self.resumed_by_task_id[order.task_id] = order.checkpoint
        self.fleet.checker.record_start(self, order)
        return StartAnswer.RUNNING

    def _extend(self, until_ms):
        longest_s = clock.now_s() + self.fleet.bounds.max_lease_ms / 1000
        until_s = self.born_s + (until_ms - self.clock_start_ms) / 1000
        self.lease_end_s = max(self.lease_end_s, min(until_s, longest_s))

    async def stop(self, worker_id, token, order):
        execute = partial(self._stop, worker_id, token, order)
        return await self._execute(order, execute)

    def _stop(self, worker_id, token, order):
        if not self._is_for_this_worker(worker_id):
            return StartAnswer.OTHER_INCARNATION
        if not self._accept_token(token):
            return StartAnswer.FENCED
        run = self.running.get(order.task_id)
        if run is not None and run.run == order.run:
            if not run.is_stopping:
                run.is_stopping = True
                run.how = RunEnd.STOPPED
                run.end_s = min(run.end_s, clock.now_s() + 0.1)
            return StartAnswer.RUNNING
        highest = self.highest_run_by_task_id.get(order.task_id, 0)
        self.highest_run_by_task_id[order.task_id] = max(highest, order.run)
        return StartAnswer.RUNNING

    async def hold(self, worker_id, token, seen, until_ms, wait_ms):
        await self._receive()
        if worker_id and worker_id != self.worker_id:
            raise WorkerGoneError("another incarnation")
        self.has_been_called = True
        if self.connected_incarnation != self.incarnation:
            # `PlatformWorker` does the same on a new connection.
            self.connected_incarnation = self.incarnation
            seen = until_ms = wait_ms = 0
        execute = partial(self._hold_late, self.worker_id, token, seen, until_ms)
        if self._is_hold_late():
            # The caller closes a connection on which it gets no reply in time.
            self.connected_incarnation = 0
            await self._execute_late(execute, wait_ms / 1000 + HOLD_MARGIN_S)
        if not self._hold(token, seen, until_ms):
            raise WorkerFencedError("fenced")
        self._unanswered_hold = execute
        listing = await self._list_runs(wait_ms)
        self._unanswered_hold = None
        return listing

    def _hold(self, token, seen, until_ms):
        """Extend the lease and forget ended runs, or return False for an old token."""
        if not self._accept_token(token):
            return False
        if until_ms:
            self._extend(until_ms)
        self.fleet.checker.record_acknowledgement(self, seen)
        self.ended = [end for end in self.ended if end.number > seen]
        return True

    def _hold_late(self, worker_id, token, seen, until_ms):
        if self._is_for_this_worker(worker_id):
            # Another incarnation may have ended fewer runs.
            last = self.fleet.checker.count_ends(self)
            self._hold(token, min(seen, last), until_ms)

    async def _list_runs(self, wait_ms):
        """Return the `Listing` after the end of a run or at the end of the wait."""
        incarnation = self.incarnation
        deadline_s = clock.now_s() + wait_ms / 1000
        while not self.ended and clock.now_s() < deadline_s:
            await asyncio.sleep(self.poll_interval_s)
            self.end_due_runs()
        await self._check_connected()
        if not self.is_up or incarnation != self.incarnation:
            raise WorkerReplyError("worker crashed during the call")
        running = tuple(
            RunningTask(task_id, run.run, self.checkpoint, run.percent, 0)
            for task_id, run in self.running.items()
        )
        return Listing(self.born_ms, self.clock_ms(), running, tuple(self.ended))

    async def pace(self, worker_id, token, task_id, run, percent):
        return StartAnswer.RUNNING, self.clock_ms()

    def end_due_runs(self):
        """End the runs that are due or whose lease has expired."""
        now_s = clock.now_s()
        if now_s > self.lease_end_s:
            self.fleet.checker.record_lease_expiry(self)
            for task_id in list(self.running):
                self._remove(task_id, RunEnd.LEASE_EXPIRED)
        for task_id, run in list(self.running.items()):
            if run.end_s <= now_s:
                self._remove(task_id, run.how)

    def _remove(self, task_id, how):
        run = self.running.pop(task_id)
        self.highest_run_by_task_id[task_id] = max(
            self.highest_run_by_task_id.get(task_id, 0), run.run
        )
        if how is not None:
            number = 1 + self.fleet.checker.count_ends(self)
            checkpoint = "" if how == RunEnd.COMPLETED else self.checkpoint
            ended = EndedRun(number, task_id, run.run, how, checkpoint)
            self.ended.append(ended)
        self.fleet.checker.record_end(self, task_id, run, how)
