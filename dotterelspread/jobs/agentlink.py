"""The leader's conversation with one agent: grants of lease, acknowledgements, news."""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import PairCost, TaskTraits, WatchQuery
from ..peer import PeerError
from ..resources import Resources
from . import clock
from .cell import AgentLost, Reported
from .pacing import FULL_PACE_PERCENT
from .worker import AgentReport, EndedRun, RunningTask

__all__ = ["AgentLink", "lease_end_s"]

#: Longest wait of an agent for news before it replies.
WATCH_WAIT_MS = 700
#: Seconds that a reply may take beyond the wait.
WATCH_MARGIN_S = 0.8
#: Pause before an agent that did not answer is asked again.
RETRY_PAUSE_S = 0.2
#: Silence after which an agent gets no new tasks.
SILENCE_S = 1.2
#: How much longer than it should a worker's clock may take for a lease.
CLOCK_RATE_MARGIN = 1.03
#: Seconds added to the end of a lease before its tasks run elsewhere.
LEASE_MARGIN_S = 0.5


def lease_end_s(sent_clock_s, lease_ms):
    """Return the leader's time at which a lease has surely ended.

    Parameters
    ----------
    sent_clock_s : float
        Leader's time at which the agent's clock, from which the lease counts, was
        received.
    lease_ms : int
    """
    return sent_clock_s + lease_ms / 1000 * CLOCK_RATE_MARGIN + LEASE_MARGIN_S


class AgentLink:
    """Watches one agent for as long as the leader leads.

    Parameters
    ----------
    leader : Leader
    address : str
        Peer address of the agent.
    """

    __slots__ = (
        "_acknowledged",
        "_address",
        "_agent_clock_ms",
        "_born_ms",
        "_grants",
        "_heard_s",
        "_leader",
        "_logged",
        "_needs_traits",
        "_version",
        "_was_known",
    )

    def __init__(self, leader, address):
        self._leader = leader
        self._address = address
        self._version = 0
        self._born_ms = 0
        self._acknowledged = 0
        #: Number of the latest end that was logged.
        self._logged = 0
        #: Agent's clock in its latest reply, and when that came.
        self._agent_clock_ms = 0
        self._heard_s = clock.now_s()
        self._grants = False
        self._was_known = False
        self._needs_traits = False

    def acknowledge(self, born_ms, number):
        """Let the worker forget its ends up to ``number``."""
        if born_ms == self._born_ms:
            self._acknowledged = max(self._acknowledged, number)

    def grant_ms(self):
        """Return the agent's time up to which it may extend leases; 0 for none."""
        if not self._grants or not self._leader.may_grant:
            return 0
        return self._agent_clock_ms + self._leader.settings.bounds.max_lease_ms

    async def run(self):
        """Ask the agent for news, for good."""
        while True:
            await self._ask()

    async def _ask(self):
        wait_ms = WATCH_WAIT_MS if self._version else 0
        query = WatchQuery(
            epoch=self._leader.epoch,
            version=self._version,
            wait_ms=wait_ms,
            born_ms=self._born_ms,
            seen=self._acknowledged,
            grant_until_ms=self.grant_ms(),
            traits=self._traits() if self._needs_traits else [],
            costs=self._costs(),
        )
        timeout_s = wait_ms / 1000 + WATCH_MARGIN_S
        try:
            reply = await self._leader.pool.call(
                self._address, "watch", query, timeout_s
            )
        except PeerError as error:
            self._note_silence(error)
            self._leader.pool.renew(self._address)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        if reply.epoch > self._leader.epoch:
            self._leader.depose("an agent follows a later epoch")
            return
        self._take(reply)
        if not reply.known:
            await asyncio.sleep(RETRY_PAUSE_S)

    def _note_silence(self, error):
        silent_s = clock.now_s() - self._heard_s
        if silent_s > SILENCE_S and self._version:
            self._version = 0
            log_decision(
                "agent unreachable",
                agent=self._address,
                silent_s=round(silent_s, 3),
                error=str(error),
            )
            self._leader.apply(AgentLost(clock.now_s(), self._address))

    def _take(self, reply):
        now_s = clock.now_s()
        self._heard_s = now_s
        self._agent_clock_ms = reply.clock_ms
        self._needs_traits = bool(reply.needs_traits)
        if not reply.known:
            self._grants = False
            return
        self._version = reply.version
        if reply.born_ms != self._born_ms:
            self._born_ms = reply.born_ms
            self._acknowledged = 0
            self._logged = 0
        self._grants = reply.reachable
        bounds = self._leader.settings.bounds
        # An earlier leader may have granted up to this first contact, not beyond it.
        is_first = not self._was_known
        self._was_known = True
        is_granted = is_first or (reply.reachable and self._leader.may_grant)
        end_s = lease_end_s(now_s, bounds.max_lease_ms) if is_granted else 0.0
        self._log_ends(reply)
        report = _report(self._address, reply)
        event = Reported(now_s, report, end_s, clock.wall_ms())
        self._leader.apply(event)

    def _log_ends(self, reply):
        for row in reply.ended:
            if row.number > self._logged:
                self._logged = row.number
                counters.add("runs_ended", how=row.how)
                log_decision(
                    "run ended",
                    task_id=row.task_id,
                    run=row.run,
                    how=row.how,
                    worker_id=reply.worker_id,
                    number=row.number,
                )

    def _traits(self):
        traits = []
        for worker in self._leader.cell.workers_by_id.values():
            if worker.agent_address != self._address:
                continue
            for task_id, run in worker.runs_by_task.items():
                job = self._leader.cell.jobs_by_id.get(run.job_id)
                if job is not None:
                    step = job.step_of(run.key)
                    traits.append(
                        TaskTraits(
                            task_id,
                            step.target_ms,
                            step.is_filler,
                            step.image,
                            step.demand.millicores,
                        )
                    )
        return traits

    def _costs(self):
        """Return what the fillers cost that run beside serving tasks."""
        costs = self._leader.cell.costs
        pairs = set()
        for worker in self._leader.cell.workers_by_id.values():
            if worker.agent_address == self._address:
                pairs.update(worker.image_pairs())
        return [
            PairCost(*pair, costs.of(*pair).per_core, costs.of(*pair).deviation)
            for pair in sorted(pairs)
        ]


def _report(address, reply):
    return AgentReport(
        agent_address=address,
        worker_id=reply.worker_id,
        born_ms=reply.born_ms,
        service=reply.service_name,
        data_centre=reply.data_centre,
        labels=frozenset(reply.labels),
        rack=reply.rack,
        capacity=Resources(reply.millicores, reply.memory_mb, reply.accelerators),
        is_reachable=reply.reachable,
        is_draining=reply.draining,
        has_left=bool(reply.left),
        listed_ms=reply.listed_ms,
        running=tuple(
            RunningTask(
                row.task_id,
                row.run,
                row.checkpoint,
                row.percent,
                row.figure,
                FULL_PACE_PERCENT if row.pace is None else row.pace,
            )
            for row in reply.running
        ),
        ended=tuple(
            EndedRun(row.number, row.task_id, row.run, row.how, row.checkpoint)
            for row in reply.ended
        ),
    )
