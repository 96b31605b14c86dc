"""Common base of the verbs that evacuate and restore data centres."""

import time

from absl import flags

from ..operatorclient import OperatorClientError, ReplyLostError
from ..textform import NAME
from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import check_reply, user_name

__all__ = ["CentreChange"]

#: Maximum number of times that a request is repeated after a lost answer.
MAX_REPEATS = 5
REPEAT_INTERVAL_S = 1.0


class CentreChange(Verb):
    """Evacuates or restores a data centre unless another operator was faster.

    The request names the version of the evacuations that it is based on, so repeating
    it after a lost answer can't undo what another operator has done since.
    """

    arguments = ("NAME",)
    #: Last segment of the path of the request.
    action = ""

    def define_flags(self, values):
        """Define ``--author`` and ``--base``."""
        flags.DEFINE_string(
            "author", None, "Author to record; by default your user name.", values
        )
        flags.DEFINE_integer(
            "base",
            None,
            "Version of the evacuations that you have seen; by default the latest.",
            flag_values=values,
        )

    def document(self, command, base_version):
        """Return the body of the request."""
        author = command.flags.author or user_name()
        return {"base_version": base_version, "author": author}

    def run(self, command):
        """Send the request, and repeat it while its answer is lost."""
        (name,) = command.arguments
        if not NAME.accepts(name):
            message = f"NAME: found {name!r}; allowed: {NAME.description}"
            raise VerbError(ExitCode.INVALID, message)
        base_version = command.flags.base
        if base_version is None:
            base_version = _current_version(command.client)
        segments = ("operator", "data-centres", name, self.action)
        document = self.document(command, base_version)
        try:
            reply = _send(command.client, segments, document)
        except ReplyLostError:
            reply = self._repeat(command.client, segments, document)
        return _result(reply)

    def _repeat(self, client, segments, document):
        for _ in range(MAX_REPEATS):
            time.sleep(REPEAT_INTERVAL_S)
            try:
                return _send(client, segments, document)
            except (OperatorClientError, VerbError):
                # A refusal of the repetition tells nothing of the first request.
                continue
        message = (
            f"it is not known whether the data centre was changed; run "
            f"`{self.action}` again with --base={document['base_version']}"
        )
        raise VerbError(ExitCode.UNKNOWN, message)


def _send(client, segments, document):
    """Return the reply's document, or raise `ReplyLostError` for an unknown outcome."""
    try:
        return check_reply(client.send("POST", segments, document))
    except VerbError as error:
        if error.exit_code != ExitCode.UNKNOWN:
            raise
        raise ReplyLostError(str(error)) from error


def _current_version(client):
    rows = check_reply(client.get("operator", "status"))["status"]
    version = rows[0].get("evacuation_version") if rows else None
    if version is None:
        message = "the entry is of a version without evacuations; use another entry"
        raise VerbError(ExitCode.FAILED, message)
    return version


def _result(reply):
    if reply["result"] == "superseded":
        advice = "another operator was faster; see `show evacuations`, and run it again"
        return VerbResult({**reply, "advice": advice}, ExitCode.SUPERSEDED)
    if reply["evacuated"] and not reply["agents"]:
        warning = "the entry knows no agent in this data centre; check the name"
        return VerbResult({**reply, "warning": warning})
    return VerbResult(reply)
