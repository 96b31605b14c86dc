"""Entry component that accepts jobs, cancels them and reports their status."""

import asyncio
import hashlib
import random
from collections import OrderedDict
from dataclasses import replace

from .cellchoice import CellMemberView, CellView, choose_cell
from .gen.peer.ttypes import JobQuery
from .labels import effective_urgency, instance_labels, matching_selectors
from .logclient import AppendError
from .node import Part
from .outcome import RefusalReason, Refused, Unknown
from .peer import PeerError
from .record import JobCancelled
from .views import JobView

__all__ = ["JobPart", "cell_of_job"]

#: Timeout in seconds of the append of a job.
APPEND_TIMEOUT_S = 10.0
#: Timeout in seconds of a status query to an agent.
QUERY_TIMEOUT_S = 1.0
#: Maximum time in seconds that an agent may lag behind an append by this entry.
MAX_READ_LAG_S = 2.0
READ_POLL_INTERVAL_S = 0.1
#: Longest time in seconds that a job waits for agents' capacities: a listed agent may
#: first be known by its heartbeat, which omits its capacity.
MAX_CAPACITY_WAIT_S = 2.0
CAPACITY_POLL_INTERVAL_S = 0.1
#: Number of recently accepted job ids that an entry remembers.
MAX_REMEMBERED_JOBS = 1000
#: Number of agents of a cell that are queried for a job before giving up.
MAX_QUERIED_AGENTS = 3


def cell_of_job(job_id):
    """Return the cell stream that a job id names, or an empty string if none."""
    cell, separator, _ = job_id.rpartition("-")
    return cell if separator and cell.startswith("cell.") else ""


class JobPart(Part):
    """Appends jobs to the streams of cells and queries the cells for their status.

    Parameters
    ----------
    node : Node
    members : MemberPart
        Provides the agents of each cell.
    """

    def __init__(self, node, members):
        super().__init__(node)
        self._members = members
        self._random = random.Random(node.incarnation)
        self._cells = node.settings.entry.cells
        self._configuration = None
        self._accepted_ids = OrderedDict()
        #: Names of the evacuated data centres, whose cells get no jobs without a key.
        self.evacuated_names = frozenset()

    def configure(self, version):
        """Apply a new `Version` of the configuration."""
        self._configuration = version.configuration

    def evacuate(self, names):
        """Note the names of all evacuated data centres."""
        self.evacuated_names = names

    async def submit(self, job, key=""):
        """Append a job to a cell's stream.

        Parameters
        ----------
        job : JobRequest
        key : str
            Idempotency key of the caller; a retry with the same key is the same job.

        Returns
        -------
        outcome : Outcome or None
            Reason why the job was not accepted; None if it was.
        job_id : str
            Id of the job; valid also when the outcome is unknown.
        """
        refused = self._refusal(job)
        if refused is not None:
            return refused, ""
        cell = await self._choose_cell(job, key)
        if isinstance(cell, Refused):
            return cell, ""
        job_id = f"{cell}-{self._new_id(job.team, key)}"
        record = self._with_urgency(job).to_record(job_id)
        outcome = await self._append(cell, record)
        if outcome is None:
            self._remember_accepted(job_id)
            self.node.telemetry.count("jobs_accepted", team=job.team)
        return outcome, job_id

    async def cancel(self, job_id):
        """Append a job's cancellation; return the outcome if that fails, else None."""
        cell = cell_of_job(job_id)
        if cell not in self._cells:
            return _not_found(job_id)
        return await self._append(cell, JobCancelled(job_id))

    async def show(self, job_id):
        """Return the `JobView` of a job, or an `Outcome` with the reason for none."""
        until_s = self.node.now_s() + MAX_READ_LAG_S
        outcome = await self._query_cell(job_id)
        # The agents may not have read a job that this entry has just appended.
        while job_id in self._accepted_ids and isinstance(outcome, Refused):
            if self.node.now_s() >= until_s:
                break
            await asyncio.sleep(READ_POLL_INTERVAL_S)
            outcome = await self._query_cell(job_id)
        return outcome

    async def _query_cell(self, job_id):
        cell = cell_of_job(job_id)
        agents = self._members.agents_of_cell(cell)
        has_answer = False
        for member in agents[:MAX_QUERIED_AGENTS]:
            try:
                reply = await self.node.pool.call(
                    member.peer_address, "job", JobQuery(job_id), QUERY_TIMEOUT_S
                )
            except PeerError:
                # Only the agents that answer tell whether the job exists.
                continue
            has_answer = True
            if reply.found:
                return JobView.from_message(reply)
        if has_answer:
            return _not_found(job_id)
        problem = "answers" if agents else "is known"
        detail = f"no agent of {cell or 'its cell'} {problem}"
        return Refused(RefusalReason.NO_INSTANCE, detail, retry_after_s=2.0)

    def _refusal(self, job):
        if self._configuration is None:
            detail = "no configuration is known"
            return Refused(RefusalReason.NOT_READY, detail, retry_after_s=1.0)
        teams = self._configuration.teams_by_name
        if teams and job.team not in teams:
            known = ", ".join(sorted(teams))
            detail = f"team {job.team!r}: must be one of {known}"
            return Refused(RefusalReason.BAD_REQUEST, detail)
        if not self._cells:
            return Refused(RefusalReason.NO_INSTANCE, "no cell is known", 2.0)
        return None

    async def _choose_cell(self, job, key):
        """Return the name of a cell that can hold the job, or why the job is refused.

        A job with a key always goes to the same cell, so that a retry finds it. One
        without a key goes to an evacuated cell, and waits there, only if no other cell
        can hold it.
        """
        views = await self._wait_for_capacities()
        if all(view.members for view in views):
            record = job.to_record(self._new_id(job.team, key))
            own = self.node.settings.data_centre
            chosen = choose_cell(record, views, self._configuration, own)
            if self.evacuated_names:
                chosen = self._choose_open_cell(record, views, chosen)
            if isinstance(chosen, Refused) and not _has_all_capacities(views):
                detail = "the capacity of some agents is not known yet"
                return Refused(RefusalReason.NOT_READY, detail, retry_after_s=1.0)
            if isinstance(chosen, Refused) or not key:
                return chosen
        if not key:
            open_names = [view.name for view in self._open_views(views)]
            return self._random.choice(open_names or self._cells)
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return sorted(self._cells)[int.from_bytes(digest) % len(self._cells)]

    def _choose_open_cell(self, record, views, default):
        """Return the name of a cell that is not evacuated, else ``default``."""
        open_views = self._open_views(views)
        own = self.node.settings.data_centre
        chosen = choose_cell(record, open_views, self._configuration, own)
        return default if isinstance(chosen, Refused) else chosen

    def _open_views(self, views):
        return [v for v in views if v.data_centre not in self.evacuated_names]

    async def _wait_for_capacities(self):
        """Return the `CellView` of each cell, once the listed agents' sizes are known.

        After `MAX_CAPACITY_WAIT_S` the views are returned as they are.
        """
        until_s = self.node.now_s() + MAX_CAPACITY_WAIT_S
        views = self._views()
        while not _has_all_capacities(views) and self.node.now_s() < until_s:
            await asyncio.sleep(CAPACITY_POLL_INTERVAL_S)
            views = self._views()
        return views

    def _views(self):
        return [self._view(cell) for cell in sorted(self._cells)]

    def _view(self, cell):
        agents = self._members.agents_of_cell(cell)
        members = tuple(
            CellMemberView(
                agent.instance_id, agent.capacity, instance_labels(agent, {})
            )
            for agent in agents
        )
        return CellView(cell, agents[0].data_centre if agents else "", members)

    def _new_id(self, team, key):
        if not key:
            return f"{self._random.getrandbits(64):016x}"
        identity = f"{team}\0{key}".encode()
        return hashlib.blake2b(identity, digest_size=8).hexdigest()

    def _with_urgency(self, job):
        """Return the job with the urgency that selectors set for its labels."""
        selectors = matching_selectors(self._configuration, job.labels)
        return replace(job, urgency=effective_urgency(selectors, job.urgency))

    def _remember_accepted(self, job_id):
        self._accepted_ids[job_id] = None
        if len(self._accepted_ids) > MAX_REMEMBERED_JOBS:
            self._accepted_ids.popitem(last=False)

    async def _append(self, cell, record):
        try:
            await self.node.log_client.append(cell, record, APPEND_TIMEOUT_S)
        except AppendError as error:
            if error.is_absent:
                detail = "the platform's log did not accept the record"
                reason = RefusalReason.STORE_UNAVAILABLE
                return Refused(reason, detail, retry_after_s=5.0)
            return Unknown(
                "the platform's log did not confirm whether the record was written"
            )
        return None


def _has_all_capacities(views):
    """Tell whether the capacity of every listed agent is known."""
    return all(member.capacity.millicores for view in views for member in view.members)


def _not_found(job_id):
    return Refused(RefusalReason.NOT_FOUND, f"no job {job_id!r} is known")
