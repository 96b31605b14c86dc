"""``cancel JOB``: cancel what has not ended of a job."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Cancel"]


class Cancel(Verb):
    """Cancels a job; tasks that end first stay as they ended."""

    arguments = ("JOB",)
    summary = "Cancel the tasks of a job that have not ended."

    def run(self, command):
        """Send the cancellation."""
        (job_id,) = command.arguments
        reply = command.client.send("DELETE", ("jobs", job_id))
        return VerbResult(check_reply(reply))
