"""``explain ID``: explain a job, a task, a request or a data centre."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Explain"]


class Explain(Verb):
    """Explains why work is placed, waiting or refused, or a data centre gets none."""

    arguments = ("ID",)
    summary = "Explain why a job, task or request is as it is, or a data centre."

    def run(self, command):
        """Ask for the explanation."""
        (subject_id,) = command.arguments
        document = check_reply(command.client.get("operator", "explain", subject_id))
        if command.flags.output != "table":
            return VerbResult(document)
        return VerbResult("\n".join(document["explanation"]))
