"""Decoding of submitted jobs and encoding of the replies to callers."""

import hashlib
import re
from typing import Annotated

import msgspec

from ..jobs.spec import JobSpec, StepSpec
from ..resources import Resources
from .decoding import MAX_COUNT, Count, DecodingError, Instant, decode_json

__all__ = [
    "DEADLINE_HEADER",
    "READY_PATH",
    "STATE_NAMES",
    "JobDocumentError",
    "encode_pending",
    "encode_state",
    "is_job_id",
    "read_job_document",
]

#: Header with the caller's deadline, in milliseconds from now.
DEADLINE_HEADER = "x-deadline-ms"
#: Path of the readiness check of the load balancer.
READY_PATH = "/api/readyz"
MAX_PROGRAM_BYTES = 4000
MAX_TASKS = 20_000
#: Longest name of an image that is kept; a message may name those of all tasks on a
#: worker.
MAX_IMAGE_BYTES = 128

#: Names of the job states in replies to callers.
STATE_NAMES = {
    "QUEUED": "queued",
    "RUNNING": "running",
    "COMPLETED": "complete",
    "FAILED": "failed",
    "CANCELLED": "cancelled",
}
#: A number of milliseconds that may have a fraction.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
_JOB_ID = re.compile(r"[0-9a-f]{16}\Z")


class JobDocumentError(Exception):
    """A submitted document is not a valid job; the message names the field."""


class _Step(msgspec.Struct):
    count: Count = msgspec.field(name="Count", default=1)
    cpu: Count = msgspec.field(name="Cpu", default=0)
    mem_mb: Count = msgspec.field(name="MemMb", default=0)
    gpu: Count = msgspec.field(name="Gpu", default=0)
    estimate_ms: Count = msgspec.field(name="EstimateMs", default=0)
    depends_on: tuple[int, ...] = msgspec.field(name="DependsOn", default=())
    checkpointing: bool = msgspec.field(name="Checkpointing", default=False)
    gang: bool = msgspec.field(name="Gang", default=False)
    same_rack: bool = msgspec.field(name="SameRack", default=False)
    # Label that the worker must have.
    requirements: str = msgspec.field(name="Requirements", default="")
    # Rack that holds the input data.
    affinity: str = msgspec.field(name="Affinity", default="")
    # Maximum number of tasks of the step on one worker.
    anti_affinity: Count = msgspec.field(name="AntiAffinity", default=0)
    speculative: bool = msgspec.field(name="Speculative", default=False)
    long_running: bool = msgspec.field(name="LongRunning", default=False)
    image: str = msgspec.field(name="Image", default="")
    target_ms: Milliseconds = msgspec.field(name="TargetMs", default=0)
    fills: bool = msgspec.field(name="Fills", default=False)
    may_miss: Count = msgspec.field(name="MayMiss", default=0)


class _Job(msgspec.Struct):
    # Program text that is passed to the worker with each start.
    spec: str = msgspec.field(name="Spec", default="")
    steps: tuple[_Step, ...] = msgspec.field(name="Steps", default=())
    first_ms: Instant = msgspec.field(name="FirstMs", default=0)
    interval_ms: Instant = msgspec.field(name="IntervalMs", default=0)
    repeat_count: Count = msgspec.field(name="RepeatCount", default=0)


def is_job_id(text):
    """Return whether a text is a well-formed job ID."""
    return _JOB_ID.match(text) is not None


def read_job_document(job_id, queue, body, wall_ms):
    """Return the `JobSpec` in the body of a submission.

    Raises
    ------
    JobDocumentError
        When the body is not a job document or a field is out of range.
    """
    try:
        document = decode_json(body, _Job)
    except DecodingError as error:
        raise JobDocumentError(str(error)) from error
    _check(document)
    return JobSpec(
        job_id=job_id,
        queue=queue,
        program=document.spec,
        steps=tuple(map(_make_step, document.steps)),
        first_ms=document.first_ms,
        interval_ms=document.interval_ms,
        repeat_count=document.repeat_count,
        submitted_ms=wall_ms,
    )


def _check(document):
    if len(document.spec.encode()) > MAX_PROGRAM_BYTES:
        raise JobDocumentError(f"Spec: over {MAX_PROGRAM_BYTES} bytes")
    if not document.steps:
        raise JobDocumentError("Steps: none given")
    for number, step in enumerate(document.steps):
        if step.count < 1:
            raise JobDocumentError(f"Steps[{number}].Count: below 1")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            raise JobDocumentError(f"Steps[{number}].DependsOn: not an earlier step")
    tasks = sum(step.count for step in document.steps)
    if tasks * max(1, document.repeat_count) > MAX_TASKS:
        raise JobDocumentError(f"Steps: over {MAX_TASKS} tasks")


def _make_step(step):
    return StepSpec(
        count=step.count,
        demand=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_ms=step.estimate_ms,
        depends_on=step.depends_on,
        is_checkpointing=step.checkpointing,
        is_gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        preferred_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        is_speculative=step.speculative,
        is_service=step.long_running,
        image=_bounded_image(step.image),
        target_ms=int(step.target_ms),
        is_filler=step.fills,
        max_unavailable=step.may_miss,
    )


def _bounded_image(image):
    """Return an image's name, or a digest if it is long; names are only compared."""
    encoded = image.encode()
    if len(encoded) <= MAX_IMAGE_BYTES:
        return image
    return hashlib.sha256(encoded).hexdigest()


def encode_state(state_name):
    """Return the response body with a job's state."""
    return msgspec.json.encode({"State": STATE_NAMES[state_name]})


def encode_pending(count):
    """Return the response body with the number of pending jobs of a queue."""
    return msgspec.json.encode({"Pending": count})
