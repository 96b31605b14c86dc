"""Parsing and validation of submitted job documents.

Sizes are checked before any objects are built from the document, and a single error
lists all invalid fields.
"""

import math
from dataclasses import dataclass

import msgspec

from .callerrequest import URGENCIES_BY_NAME, CallerRequestError
from .configuration import Urgency
from .document import Fault
from .options import MEBIBYTE, check_options
from .record import JobSubmitted, TaskSpec
from .resources import Resources
from .textform import ARGUMENT

__all__ = ["JobRequest", "TaskRequest", "read_job", "read_job_values"]

MAX_JOB_BYTES = 256 << 10
MAX_TASKS = 1000
MAX_ARGUMENTS = 64
#: Size of the arguments of all tasks of a job, as encoded in its log record.
MAX_ARGUMENT_BYTES = 128 << 10
MAX_TASK_CORES = 1024
MAX_TASK_MEMORY_BYTES = 16 << 40
MAX_TASK_ACCELERATORS = 64
MIN_RUN_TIME_S = 0.1
MAX_RUN_TIME_S = 30 * 86_400.0


@dataclass(slots=True, frozen=True)
class TaskRequest:
    """A group of identical tasks of a job."""

    program: str
    arguments: tuple[str, ...]
    declared: Resources
    #: Expected run time in seconds; 0 for a service replica.
    run_time_s: float
    count: int

    @classmethod
    def from_options(cls, options, is_service):
        """Parse one item of a job's ``tasks``."""
        run_time_s = 0.0
        if not is_service:
            run_time_s = options.duration("run_time", MIN_RUN_TIME_S, MAX_RUN_TIME_S)
        arguments = options.texts("arguments", (), ARGUMENT, MAX_ARGUMENTS)
        return cls(
            program=options.name("program"),
            arguments=arguments,
            declared=_declared(options),
            run_time_s=run_time_s,
            count=options.integer("count", 1, MAX_TASKS, 1),
        )

    @property
    def argument_bytes(self):
        """Size in bytes of the arguments of all tasks in the group."""
        one = sum(len(text.encode()) for text in self.arguments)
        return one * self.count


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A job as declared by its submitter."""

    team: str
    urgency: Urgency
    labels: dict[str, str]
    tasks: tuple[TaskRequest, ...]
    is_service: bool = False

    @classmethod
    def from_options(cls, options):
        """Parse a job document."""
        is_service = options.boolean("is_service", False)
        items = options.items("tasks", MAX_TASKS)
        tasks = tuple(TaskRequest.from_options(item, is_service) for item in items)
        _check_totals(tasks, options)
        urgency = options.choice("urgency", URGENCIES_BY_NAME, "normal")
        return cls(
            team=options.name("team"),
            urgency=URGENCIES_BY_NAME[urgency],
            labels=options.labels("labels"),
            tasks=tasks,
            is_service=is_service,
        )

    def to_record(self, job_id):
        """Return the `JobSubmitted` record, with tasks numbered from 0."""
        expanded = [task for task in self.tasks for _ in range(task.count)]
        specs = tuple(
            TaskSpec(
                f"{job_id}.{number}",
                task.program,
                task.declared,
                task.run_time_s,
                task.arguments,
            )
            for number, task in enumerate(expanded)
        )
        return JobSubmitted(
            job_id, self.team, int(self.urgency), self.labels, specs, self.is_service
        )


def read_job(body, source="job"):
    """Parse a `JobRequest` from a JSON document.

    Parameters
    ----------
    body : bytes
    source : str
        Name of the document in error messages.

    Raises
    ------
    CallerRequestError
        Lists every invalid field.
    """
    if len(body) > MAX_JOB_BYTES:
        fault = Fault(source, "", f"{len(body)} bytes", f"up to {MAX_JOB_BYTES} bytes")
        raise CallerRequestError([fault])
    try:
        values = msgspec.json.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        fault = Fault(source, "", f"invalid JSON: {error}", "a JSON object")
        raise CallerRequestError([fault]) from None
    return read_job_values(values, source)


def read_job_values(values, source="job"):
    """Return the `JobRequest` in values decoded from YAML or JSON."""
    with check_options(values, source, CallerRequestError) as options:
        return JobRequest.from_options(options)


def _declared(options):
    """Return the declared sizes, rounded up so that no task gets less than it asked."""
    cores = options.number("cores", 0.001, MAX_TASK_CORES)
    memory = options.size("memory", MEBIBYTE, MAX_TASK_MEMORY_BYTES)
    accelerators = options.integer("accelerators", 0, MAX_TASK_ACCELERATORS, 0)
    millicores = math.ceil(round(cores * 1000, 6))
    return Resources(millicores, math.ceil(memory / MEBIBYTE), accelerators)


def _check_totals(tasks, options):
    count = sum(task.count for task in tasks)
    if not 1 <= count <= MAX_TASKS:
        options.fault("tasks", f"{count} tasks in all", f"1 to {MAX_TASKS} in all")
    size = sum(task.argument_bytes for task in tasks)
    if size > MAX_ARGUMENT_BYTES:
        allowed = f"up to {MAX_ARGUMENT_BYTES} bytes"
        options.fault("tasks", f"arguments of {size} bytes in all", allowed)
