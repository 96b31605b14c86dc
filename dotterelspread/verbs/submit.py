"""``submit FILE``: submit a job."""

import uuid

from absl import flags

from ..document import FaultsError, load_document
from ..jobrequest import read_job_values
from ..operatorclient import ReplyLostError
from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import check_reply, read_text

__all__ = ["Submit"]


class Submit(Verb):
    """Checks a job document in YAML or JSON and submits it.

    The job is sent with an idempotency key, so that submitting it again with the same
    key after a lost answer can't start it twice.
    """

    arguments = ("FILE",)
    summary = "Check a job, submit it, and print its id."

    def define_flags(self, values):
        """Define ``--key``."""
        flags.DEFINE_string(
            "key", None, "Idempotency key of the job; by default a new one.", values
        )

    def run(self, command):
        """Check the file and submit it."""
        (path,) = command.arguments
        try:
            document = load_document(read_text(path), path)
            read_job_values(document, path)
        except FaultsError as error:
            raise VerbError(ExitCode.INVALID, f"invalid job:\n{error}") from error
        key = command.flags.key or str(uuid.uuid4())
        headers = [("Idempotency-Key", f'"{key}"')]
        try:
            reply = command.client.send("POST", ("jobs",), document, headers)
            return VerbResult({**check_reply(reply), "key": key})
        except (ReplyLostError, VerbError) as error:
            code = getattr(error, "exit_code", ExitCode.UNKNOWN)
            if code != ExitCode.UNKNOWN:
                raise
            message = f"outcome unknown: {error}; submit it again with --key={key}"
            raise VerbError(code, message) from error
