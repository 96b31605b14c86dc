"""``show SUBJECT``: print the configuration, or list the rows of a subject."""

from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import check_reply

__all__ = ["Show"]

CONFIGURATION = "configuration"
SUBJECTS = (CONFIGURATION, "instances", "tasks", "requests", "refusals", "evacuations")


class Show(Verb):
    """Prints the configuration in force, or lists an entry's rows of one subject."""

    arguments = ("SUBJECT",)
    summary = f"Show one of {', '.join(SUBJECTS)}."

    def run(self, command):
        """Ask for the subject's rows."""
        (subject,) = command.arguments
        if subject not in SUBJECTS:
            message = f"SUBJECT: found {subject!r}; allowed: {', '.join(SUBJECTS)}"
            raise VerbError(ExitCode.INVALID, message)
        document = check_reply(command.client.get("operator", subject))
        if subject != CONFIGURATION:
            return VerbResult(document[subject])
        if command.flags.output != "table":
            return VerbResult(document)
        text = _without_version(document["text"])
        return VerbResult(f"# version: {document['version']}\n{text}")


def _without_version(text):
    first, newline, rest = text.partition("\n")
    return rest if newline and first.startswith("# version: ") else text
