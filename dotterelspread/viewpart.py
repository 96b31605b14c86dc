"""Operators' queries to an entry, and their requests to drain instances."""

import asyncio

import msgspec

from .evacuations import describe_centre
from .gen.peer.ttypes import DrainRequest, StatusQuery
from .jobpart import cell_of_job
from .node import Part
from .outcome import Outcome, RefusalReason, Refused
from .peer import PeerError
from .views import EvacuationView, InstanceView, RequestView, StatusView, TaskView

__all__ = ["ViewPart"]

_task_decoder = msgspec.json.Decoder(TaskView)

QUERY_TIMEOUT_S = 2.0


class ViewPart(Part):
    """Collects rows for operators from this entry and from agents.

    Parameters
    ----------
    node : Node
    members : MemberPart
    entry : EntryPart
    jobs : JobPart
    configuration : ConfigurationPart
    evacuations : EvacuationPart
    refusal_log : RefusalLog
    """

    def __init__(
        self, node, members, entry, jobs, configuration, evacuations, refusal_log
    ):
        super().__init__(node)
        self._members = members
        self._entry = entry
        self._jobs = jobs
        self._configuration = configuration
        self._evacuations = evacuations
        self._refusal_log = refusal_log
        self._readers_by_subject = {
            "instances": self._instances,
            "tasks": self._tasks,
            "requests": self._requests,
            "refusals": self._refusals,
            "evacuations": self._evacuation_rows,
            "status": self._status,
        }

    async def rows(self, subject):
        """Return the rows of one subject, as objects of `views`."""
        return await self._readers_by_subject[subject]()

    async def explain(self, subject_id):
        """Return lines that explain a job, a task, a request or a data centre."""
        centre = self._evacuations.state.centres_by_name.get(subject_id)
        if centre is not None or subject_id in self._data_centres():
            return self._explain_centre(subject_id, centre)
        if cell_of_job(subject_id.partition(".")[0]) or subject_id.startswith("cell."):
            return await self._explain_job(subject_id)
        return self._explain_request(subject_id)

    async def drain(self, instance_id):
        """Ask an instance to drain; return None, or a `Refused` when that failed."""
        address = self._members.address(instance_id)
        if address is None:
            detail = f"instance {instance_id!r} is not known"
            return Refused(RefusalReason.NOT_FOUND, detail)
        request = DrainRequest(instance_id)
        try:
            await self.node.pool.call(address, "drain", request, QUERY_TIMEOUT_S)
        except PeerError as error:
            detail = f"instance {instance_id} does not answer: {error}"
            return Refused(RefusalReason.NO_INSTANCE, detail, 5.0)
        return None

    async def _instances(self):
        members = self._members
        return [
            InstanceView.from_member(
                member, members.status(member.instance_id), self._evacuations.names
            )
            for member in members.members()
        ]

    async def _tasks(self):
        cells = self._members.cells()
        replies = await asyncio.gather(*(self._ask_cell(cell) for cell in cells))
        return [view for views in replies for view in views]

    async def _ask_cell(self, cell):
        for announced in self._members.agents_of_cell(cell):
            try:
                reply = await self.node.pool.call(
                    announced.peer_address,
                    "status",
                    StatusQuery("tasks"),
                    QUERY_TIMEOUT_S,
                )
            except PeerError:
                continue
            return [_task_decoder.decode(row) for row in reply.rows or ()]
        return []

    async def _requests(self):
        now_s = self.node.now_s()
        requests = self._entry.state.requests_by_id.values()
        return [RequestView.from_request(request, now_s) for request in requests]

    async def _refusals(self):
        return self._refusal_log.views()

    async def _evacuation_rows(self):
        return [
            EvacuationView.from_centre(
                centre, self._members.count_agents(centre.data_centre)
            )
            for centre in self._evacuations.state.centres_by_name.values()
            if centre.is_evacuated
        ]

    async def _status(self):
        settings = self.node.settings
        status = StatusView(
            settings.instance_id,
            settings.role.value,
            self._configuration.is_ready,
            self._configuration.version,
            len(self._members.members()),
            self._entry.in_progress,
            tuple(sorted(self._evacuations.names)),
            self._evacuations.state.version,
        )
        return [status]

    async def _explain_job(self, subject_id):
        job_id = subject_id
        if subject_id.count(".") > 1:
            job_id = subject_id.rpartition(".")[0]
        reply = await self._jobs.show(job_id)
        if isinstance(reply, Outcome):
            return [reply.detail]
        return [
            task.explanation
            for task in reply.tasks
            if subject_id in (job_id, task.task_id)
        ]

    def _data_centres(self):
        return {member.announced.data_centre for member in self._members.members()}

    def _explain_centre(self, name, centre):
        agents = self._members.count_agents(name)
        lines = [f"data centre {name}: {agents} agents known at this entry"]
        if centre is not None:
            lines.append(describe_centre(centre))
        if centre is not None and centre.is_evacuated:
            lines.append("nothing new is started there; running work goes on")
        return lines

    def _explain_request(self, request_id):
        refusal = self._refusal_log.find(request_id)
        if refusal is not None:
            return [f"refused without running, {refusal.reason}: {refusal.detail}"]
        request = self._entry.state.requests_by_id.get(request_id)
        if request is None:
            return [f"no request {request_id!r} is in progress at this entry"]
        tried = ", ".join(sorted(request.tried_ids)) or "no instance yet"
        return [
            f"in progress, kind {request.kind.name}",
            f"sent to: {tried}",
            f"answer due in {request.deadline_s - self.node.now_s():.3f} s",
        ]
