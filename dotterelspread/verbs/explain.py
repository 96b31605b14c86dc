"""``explain ID``: explain the state of a job, a task or a request."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Explain"]


class Explain(Verb):
    """Explains why work is placed, waiting or refused."""

    arguments = ("ID",)
    summary = "Explain why a job, task or request is placed, waiting or refused."

    def run(self, command):
        """Ask for the explanation."""
        (subject_id,) = command.arguments
        document = check_reply(command.client.get("operator", "explain", subject_id))
        if command.flags.output != "table":
            return VerbResult(document)
        return VerbResult("\n".join(document["explanation"]))
