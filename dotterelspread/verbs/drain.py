"""``drain INSTANCE``: stop giving an instance work, so that it can leave."""

from ..verb import Verb, VerbResult
from .common import check_reply

__all__ = ["Drain"]


class Drain(Verb):
    """Drains an instance: it gets no new work, and work in progress ends or moves."""

    arguments = ("INSTANCE",)
    summary = "Give an instance no new work, and let it leave when idle."

    def run(self, command):
        """Ask the instance to drain."""
        (instance_id,) = command.arguments
        segments = ("operator", "instances", instance_id, "drain")
        return VerbResult(check_reply(command.client.send("POST", segments)))
