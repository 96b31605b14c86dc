"""``status``: tell how an entry stands."""

from ..verb import ExitCode, Verb, VerbResult
from .common import check_reply

__all__ = ["Status"]


class Status(Verb):
    """Tells whether an entry is ready, and what it has in progress."""

    summary = "Tell how the entry stands; exit code 1 when it is not ready."

    def run(self, command):
        """Ask for the entry's status."""
        rows = check_reply(command.client.get("operator", "status"))["status"]
        is_ready = all(row.get("ready", False) for row in rows)
        return VerbResult(rows, ExitCode.OK if is_ready else ExitCode.FAILED)
