"""``status``: print the state of an entry."""

from ..verb import ExitCode, Verb, VerbResult
from .common import check_reply

__all__ = ["Status"]


class Status(Verb):
    """Prints whether an entry is ready, and its number of requests in progress."""

    summary = "Print the state of the entry; exits with 1 if it is not ready."

    def run(self, command):
        """Ask for the entry's status."""
        rows = check_reply(command.client.get("operator", "status"))["status"]
        is_ready = all(row.get("ready", False) for row in rows)
        return VerbResult(rows, ExitCode.OK if is_ready else ExitCode.FAILED)
