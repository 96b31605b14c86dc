"""Long polling of one agent by the leader: lease grants, acknowledgements, reports."""

import asyncio
from contextlib import suppress

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import PairCost, TaskTraits, WatchQuery
from ..peer import PeerError
from . import clock
from .cell import AgentLost, Reported
from .evacuation import start_validity_s
from .leaseend import lease_end_s, residual_lease_end_s
from .watchreport import ReportError, check_reply, read_report
from .withdrawals import START_VALIDITY_S
from .worker import LeaseGrants

__all__ = ["AgentLink"]

#: Longest time that an agent waits for changes before it replies.
WATCH_POLL_TIMEOUT_MS = 700
#: Time allowed for a reply in addition to the wait of the agent.
WATCH_TIMEOUT_MARGIN_S = 0.8
#: Delay before a failed poll is retried.
RETRY_INTERVAL_S = 0.2
#: Longest wait for ends to be recorded before the agent is asked for the next ones.
NEXT_ENDS_TIMEOUT_S = 0.3
#: Time without a report on its worker after which an agent gets no new tasks.
AGENT_TIMEOUT_S = 1.2


class AgentLink:
    """Polls one agent during a term of the leader.

    Parameters
    ----------
    leader : Leader
    address : str
        Peer address of the agent.
    """

    __slots__ = (
        "_acknowledged_number",
        "_acknowledgement",
        "_address",
        "_agent_clock_ms",
        "_agent_clock_read_s",
        "_born_ms",
        "_has_worker",
        "_is_granting",
        "_last_report_s",
        "_leader",
        "_logged_number",
        "_needs_traits",
        "_version",
        "_was_known",
        "_worker_id",
        "session",
    )

    def __init__(self, leader, address):
        self._leader = leader
        self._address = address
        self._version = 0
        #: Worker of the latest report, and the start of its incarnation.
        self._worker_id = ""
        self._born_ms = 0
        #: Whether the cell had that worker after the report.
        self._has_worker = False
        self._acknowledged_number = 0
        self._acknowledgement = asyncio.Event()
        #: Number of the latest logged end of a run.
        self._logged_number = 0
        #: Agent's clock in its latest reply.
        self._agent_clock_ms = 0
        #: When that reply arrived, on `clock.elapsed_s`.
        self._agent_clock_read_s = clock.elapsed_s()
        #: When the latest reply that tells of a worker arrived.
        self._last_report_s = clock.now_s()
        #: Latest session between the agent and its worker that is known, or one more if
        #: the agent has to begin another one; 0 if none.
        self.session = 0
        self._is_granting = False
        self._was_known = False
        self._needs_traits = False

    def acknowledge(self, born_ms, number):
        """Acknowledge ended runs up to ``number``; the worker may discard them."""
        if born_ms == self._born_ms:
            self._acknowledged_number = max(self._acknowledged_number, number)
            self._acknowledgement.set()

    def grant_limit_ms(self):
        """Return the agent's time up to which it may extend leases; 0 if it may not."""
        if not self._is_granting or not self._leader.may_grant:
            return 0
        worker = self._leader.cell.workers_by_id.get(self._worker_id)
        if worker is not None and worker.grants is not LeaseGrants.ALLOWED:
            return 0
        return self._agent_clock_ms + self._leader.settings.bounds.lease_ms

    def send_limit_ms(self):
        """Return the agent's time up to which it may send a start to its worker.

        What forbids the start after its order is known to all by then. It is 0 if even
        now an evacuation may forbid it that this leader does not know.
        """
        evacuate_ms = self._leader.settings.bounds.evacuate_ms
        validity_s = start_validity_s(self._leader.evacuations, evacuate_ms)
        if validity_s is None:
            validity_s = START_VALIDITY_S
        validity_s = min(validity_s, START_VALIDITY_S)
        if validity_s <= 0:
            return 0
        # The agent's clock shows at least this by now.
        passed_s = clock.elapsed_s() - self._agent_clock_read_s
        return self._agent_clock_ms + int((passed_s + validity_s) * 1000)

    def _is_evacuated(self):
        """Return whether the worker's data centre is evacuated; None if unknown."""
        worker = self._leader.cell.workers_by_id.get(self._worker_id)
        return None if worker is None else worker.is_evacuated

    async def run(self):
        """Poll the agent indefinitely."""
        while True:
            await self._poll()

    def _find_removal(self):
        """Have the agent begin another session if its worker was given up.

        The worker may answer again and be granted leases, under which it would carry
        out late starts whose tasks run elsewhere. It refuses those of other sessions.
        """
        if self._has_worker and self._worker_id not in self._leader.cell.workers_by_id:
            self._has_worker = False
            self.session += 1

    async def _poll(self):
        self._find_removal()
        wait_ms = WATCH_POLL_TIMEOUT_MS if self._version else 0
        query = WatchQuery(
            epoch=self._leader.epoch,
            version=self._version,
            wait_ms=wait_ms,
            born_ms=self._born_ms,
            seen=self._acknowledged_number,
            grant_until_ms=self.grant_limit_ms(),
            traits=self._traits() if self._needs_traits else [],
            costs=self._costs(),
            evacuated=self._is_evacuated(),
            session=self.session,
            accepts_partial_ends=True,
        )
        timeout_s = wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S
        try:
            reply = await self._leader.pool.call(
                self._address, "watch", query, timeout_s
            )
            check_reply(reply)
        except (PeerError, ReportError) as error:
            if isinstance(error, ReportError):
                counters.add("rejected_reports")
                log_decision("report rejected", agent=self._address, error=str(error))
            self._handle_missing_report(str(error))
            self._leader.pool.replace_connection(self._address)
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if reply.epoch > self._leader.epoch:
            self._leader.depose("an agent follows a later epoch")
            return
        self._apply_reply(reply)
        if not reply.known:
            await asyncio.sleep(RETRY_INTERVAL_S)
        elif reply.has_more_ends and reply.ended:
            await self._wait_acknowledged(max(row.number for row in reply.ended))

    async def _wait_acknowledged(self, number):
        """Wait until ends up to a number are acknowledged; the next query says so."""
        with suppress(TimeoutError):
            async with asyncio.timeout(NEXT_ENDS_TIMEOUT_S):
                while self._acknowledged_number < number:
                    self._acknowledgement.clear()
                    await self._acknowledgement.wait()

    def _handle_missing_report(self, reason):
        silent_s = clock.now_s() - self._last_report_s
        if silent_s > AGENT_TIMEOUT_S and self._version:
            self._version = 0
            log_decision(
                "agent unreachable",
                agent=self._address,
                silent_s=round(silent_s, 3),
                error=reason,
            )
            self._leader.apply(AgentLost(clock.now_s(), self._address))

    def _apply_reply(self, reply):
        self._find_removal()
        now_s = clock.now_s()
        self._leader.agent_reach.observe(self._address)
        self._agent_clock_ms = reply.clock_ms
        self._agent_clock_read_s = clock.elapsed_s()
        self._needs_traits = bool(reply.needs_traits)
        self.session = max(self.session, reply.session or 0)
        if not reply.known:
            # The agent has restarted; its worker may have gone meanwhile.
            self._is_granting = False
            self._handle_missing_report("the agent knows no worker")
            return
        self._last_report_s = now_s
        self._version = reply.version
        self._worker_id = reply.worker_id
        if reply.born_ms != self._born_ms:
            self._born_ms = reply.born_ms
            self._acknowledged_number = 0
            self._logged_number = 0
        self._is_granting = reply.reachable
        bounds = self._leader.settings.bounds
        # Until the next reply, leases may be granted on the clock of this one: by this
        # leader, also if it may grant only later, and by an earlier one until the first
        # contact.
        is_first = not self._was_known
        self._was_known = True
        can_be_granted = is_first or reply.reachable
        end_s = lease_end_s(now_s, bounds.lease_ms) if can_be_granted else 0.0
        residual_end_s = residual_lease_end_s(
            now_s, reply.residual_lease_ms, bounds.max_lease_ms
        )
        self._log_ends(reply)
        report = read_report(self._address, reply)
        event = Reported(now_s, report, end_s, clock.wall_ms(), residual_end_s)
        self._leader.apply(event)
        self._has_worker = self._worker_id in self._leader.cell.workers_by_id

    def _log_ends(self, reply):
        for row in reply.ended:
            if row.number > self._logged_number:
                self._logged_number = row.number
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
        """Return the learned costs of fillers for serving tasks on their worker."""
        by_pair = self._leader.cell.costs.by_pair
        pairs = set()
        for worker in self._leader.cell.workers_by_id.values():
            if worker.agent_address == self._address:
                pairs.update(worker.known_pairs(by_pair))
        return [
            PairCost(*pair, by_pair[pair].per_core, by_pair[pair].deviation)
            for pair in sorted(pairs)
        ]
