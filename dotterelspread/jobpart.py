"""The part of an entry that takes jobs, cancels them and tells how they stand."""

import hashlib
import random
from collections import deque
from dataclasses import dataclass

from .gen.peer.ttypes import JobQuery
from .logclient import AppendError
from .node import Part
from .outcome import Outcome, RefusalReason, Refused, Unknown
from .peer import PeerError
from .record import JobCancelled

__all__ = ["JobPart", "Refusal", "cell_of_job"]

#: Seconds that an append of a job may take before its caller is told.
APPEND_TIMEOUT_S = 10.0
#: Seconds that an agent may take to tell how a job stands.
QUERY_TIMEOUT_S = 1.0
#: Refusals kept for operators.
MAX_REFUSALS = 1000
#: Agents of a cell that are asked for a job before giving up.
MAX_ASKED = 3


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal that this entry gave, for operators to read."""

    service: str
    kind: str
    outcome: Outcome


def cell_of_job(job_id):
    """Return the stream of the cell that a job id names; empty when it names none."""
    cell, separator, _ = job_id.rpartition("-")
    return cell if separator and cell.startswith("cell.") else ""


class JobPart(Part):
    """Puts jobs into the streams of cells and asks cells about them.

    Parameters
    ----------
    node : Node
    members : MemberPart
        Knows the agents of each cell.
    """

    def __init__(self, node, members):
        super().__init__(node)
        self._members = members
        self._random = random.Random(node.incarnation)
        self._cells = node.settings.entry.cells
        self.refusals = deque(maxlen=MAX_REFUSALS)
        self._configuration = None

    def configure(self, version):
        """Put a new `Version` in force."""
        self._configuration = version.configuration

    def note_refusal(self, service, kind, outcome):
        """Remember a refusal for operators."""
        if isinstance(outcome, Refused):
            self.refusals.append(Refusal(service, kind, outcome))

    async def submit(self, job, key=""):
        """Append a job to a cell's stream.

        Parameters
        ----------
        job : JobRequest
        key : str
            Key of the caller; a repeat with the same key is the same job.

        Returns
        -------
        outcome : Outcome or None
            Why the job is not accepted; None when it is.
        job_id : str
            Id of the job; the caller may use it also when the outcome is unknown.
        """
        refused = self._refusal(job)
        if refused is not None:
            return refused, ""
        cell = self._choose_cell(key)
        job_id = f"{cell}-{self._new_id(job.team, key)}"
        record = job.to_record(job_id)
        outcome = await self._append(cell, record)
        if outcome is None:
            self.node.telemetry.count("jobs_accepted", team=job.team)
        return outcome, job_id

    async def cancel(self, job_id):
        """Append a job's cancellation; return why not, or None."""
        cell = cell_of_job(job_id)
        if cell not in self._known_cells():
            return _not_found(job_id)
        return await self._append(cell, JobCancelled(job_id))

    async def show(self, job_id):
        """Return a job as a JSON document, or the `Outcome` that says why not."""
        cell = cell_of_job(job_id)
        agents = list(self._members.agents_of_cell(cell))
        self._random.shuffle(agents)
        for member in agents[:MAX_ASKED]:
            try:
                reply = await self.node.pool.call(
                    member.peer_address, "job", JobQuery(job_id), QUERY_TIMEOUT_S
                )
            except PeerError:
                continue
            if reply.found:
                return _document(reply)
        if agents:
            return _not_found(job_id)
        detail = f"no agent of {cell or 'its cell'} can be asked now"
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
        if not self._known_cells():
            return Refused(RefusalReason.NO_INSTANCE, "no cell is known", 2.0)
        return None

    def _known_cells(self):
        return self._cells

    def _choose_cell(self, key):
        """Spread jobs over cells; a job with a key always goes to the same one."""
        cells = sorted(self._known_cells())
        if not key:
            return self._random.choice(cells)
        digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
        return cells[int.from_bytes(digest) % len(cells)]

    def _new_id(self, team, key):
        if not key:
            return f"{self._random.getrandbits(64):016x}"
        identity = f"{team}\0{key}".encode()
        return hashlib.blake2b(identity, digest_size=8).hexdigest()

    async def _append(self, cell, record):
        try:
            await self.node.log_client.append(cell, record, APPEND_TIMEOUT_S)
        except AppendError as error:
            if error.is_absent:
                detail = "the platform's log takes no records now"
                reason = RefusalReason.STORE_UNAVAILABLE
                return Refused(reason, detail, retry_after_s=5.0)
            return Unknown("the platform's log did not say whether it was written")
        return None


def _not_found(job_id):
    return Refused(RefusalReason.NOT_FOUND, f"no job {job_id!r} is known")


def _document(reply):
    return {
        "job_id": reply.job_id,
        "team": reply.team,
        "tasks": [
            {
                "task_id": task.task_id,
                "state": task.state,
                "owner": task.owner_id,
                "epoch": task.epoch,
                "explanation": task.explanation,
            }
            for task in reply.tasks
        ],
    }
