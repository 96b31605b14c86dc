"""``cancel JOB``: cancel the unfinished tasks of a job."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Cancel"]


class Cancel(Verb):
    """Cancels a job; tasks that end first keep their results."""

    arguments = ("JOB",)
    summary = "Cancel the unfinished tasks of a job."

    def run(self, command):
        """Send the cancellation."""
        (job_id,) = command.arguments
        reply = command.client.send("DELETE", ("jobs", job_id))
        return VerbResult(check_reply(reply))
