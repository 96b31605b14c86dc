"""Acceptance of jobs that callers submit to a leader."""

import asyncio

from ..decisionlog import log_decision
from . import clock
from .cell import Submitted, Withdrawn
from .committing import DeposedError
from .feasibility import find_infeasible_step
from .recordsizes import find_oversized_record

__all__ = ["InfeasibleError", "JobAcceptance", "StoreUnresponsiveError"]

#: Interval at which a waiting submission checks whether the store still answers.
POLL_INTERVAL_S = 0.1
#: Time from the start of a term until jobs are checked for feasibility. By then the
#: agents have reported the shapes of their workers: it covers one heartbeat interval of
#: the workers and the start of an agent.
FEASIBILITY_CHECK_DELAY_S = 3.0


class StoreUnresponsiveError(Exception):
    """The store has not answered an append in time; new requests are rejected."""


class InfeasibleError(Exception):
    """The job was not accepted, since no worker could run it or no record hold it."""


class JobAcceptance:
    """Accepts jobs in one term of a leader.

    Parameters
    ----------
    leader : Leader
    """

    __slots__ = ("_leader", "_started_s")

    def __init__(self, leader):
        self._leader = leader
        self._started_s = clock.now_s()

    async def submit(self, spec):
        """Accept a job; return once it is committed to the journal.

        Raises
        ------
        StoreUnresponsiveError
            The job was not accepted, since the store does not answer.
        InfeasibleError
            The job was not accepted, since no worker could ever run it or no record
            hold it.
        DeposedError
            The term ended before the commit was confirmed.
        """
        if spec.job_id not in self._leader.cell.jobs_by_id:
            if self._leader.committer.is_store_unresponsive:
                raise StoreUnresponsiveError("the store does not answer")
            self._check_storable(spec)
            self._check_feasible(spec)
            self._leader.apply(Submitted(clock.now_s(), spec, clock.wall_ms()))
        if self._leader.state_of(spec.job_id) is None:
            await self._wait_accepted(spec.job_id)
        log_decision("job accepted", job_id=spec.job_id, queue=spec.queue.name)

    async def _wait_accepted(self, job_id):
        """Wait until a job is committed; withdraw it if the store stops answering.

        Only a job that no append has carried yet can be withdrawn. The others may be in
        the store, so their callers wait.
        """
        if self._leader.is_deposed:
            raise DeposedError("the term is over")
        commit = self._leader.committer.current_commit()
        while commit is not None and not commit.done():
            await asyncio.wait({commit}, timeout=POLL_INTERVAL_S)
            if self._leader.committer.is_store_unresponsive:
                self._withdraw(job_id)
        if commit is not None:
            commit.result()
        if self._leader.state_of(job_id) is None:
            # Another caller with the same job has withdrawn it.
            raise StoreUnresponsiveError("the store did not answer in time")

    def _withdraw(self, job_id):
        """Withdraw a job, or return if an append may have carried it.

        Raises
        ------
        StoreUnresponsiveError
            The job is withdrawn.
        """
        if self._leader.committer.has_sent(job_id):
            return
        self._leader.apply(Withdrawn(clock.now_s(), job_id))
        if job_id not in self._leader.cell.jobs_by_id:
            log_decision("job withdrawn", job_id=job_id, epoch=self._leader.epoch)
            raise StoreUnresponsiveError("the store does not answer")

    def _check_storable(self, spec):
        limit_bytes = self._leader.settings.store.max_record_bytes
        obstacle = find_oversized_record(spec, limit_bytes)
        if obstacle:
            raise InfeasibleError(obstacle)

    def _check_feasible(self, spec):
        if clock.now_s() - self._started_s < FEASIBILITY_CHECK_DELAY_S:
            return
        service = self._leader.cell.service_of(spec.queue)
        shapes = self._leader.cell.shapes_by_service.get(service, ())
        obstacle = find_infeasible_step(spec, shapes)
        if obstacle:
            raise InfeasibleError(obstacle)
