"""``explain ID``: say why a job, a task or a request is as it is."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Explain"]


class Explain(Verb):
    """Tells in words why something is placed, waiting or refused."""

    arguments = ("ID",)
    summary = "Say why a job, a task or a request is placed, waiting or refused."

    def run(self, command):
        """Ask for the explanation."""
        (subject_id,) = command.arguments
        document = check_reply(command.client.get("operator", "explain", subject_id))
        if command.flags.output != "table":
            return VerbResult(document)
        return VerbResult("\n".join(document["explanation"]))
