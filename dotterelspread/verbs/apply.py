"""``apply FILE``: publish a configuration."""

import re
import time

from absl import flags

from ..configreader import ConfigurationError, read_configuration
from ..operatorclient import OperatorClientError, ReplyLostError
from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import check_reply, read_text, user_name

__all__ = ["Apply"]

#: First line in the output of ``show configuration``, which holds the version.
VERSION_LINE = re.compile(r"# version: (-?[0-9]{1,18})\n")
MAX_READ_BACKS = 5
READ_BACK_INTERVAL_S = 1.0


class Apply(Verb):
    """Publishes a configuration if its base version is still in force.

    The base version comes from ``--base``, else from the first line of the file, else
    it is the version in force. When the answer is lost, the verb reads the
    configuration back to find out the result.
    """

    arguments = ("FILE",)
    summary = "Check a configuration, publish it, and print the result."

    def define_flags(self, values):
        """Define ``--author`` and ``--base``."""
        flags.DEFINE_string(
            "author", None, "Author to record; by default your user name.", values
        )
        flags.DEFINE_integer(
            "base",
            None,
            "Version that FILE is based on; by default as in FILE, or in force.",
            flag_values=values,
        )

    def run(self, command):
        """Check the file and publish it."""
        (path,) = command.arguments
        text = read_text(path)
        try:
            read_configuration(text, path)
        except ConfigurationError as error:
            raise VerbError(
                ExitCode.INVALID, f"invalid configuration:\n{error}"
            ) from error
        document = {
            "base_version": _base_version(command, text),
            "author": command.flags.author or user_name(),
            "text": text,
        }
        try:
            segments = ("operator", "configuration")
            reply = check_reply(command.client.send("POST", segments, document))
        except ReplyLostError:
            return _read_back(command.client, document)
        except VerbError as error:
            if error.exit_code != ExitCode.UNKNOWN:
                raise
            return _read_back(command.client, document)
        return _result(reply)


def _read_back(client, document):
    """Find out the result of a publication whose answer was lost."""
    for _ in range(MAX_READ_BACKS):
        time.sleep(READ_BACK_INTERVAL_S)
        try:
            current = check_reply(client.get("operator", "configuration"))
        except (OperatorClientError, VerbError):
            continue
        version = current["version"]
        if version > document["base_version"]:
            is_ours = current["text"] == document["text"]
            result = "accepted" if is_ours else "superseded"
            return _result({"result": result, "version": version})
    message = (
        "it is not known whether the configuration was published; "
        "check with `show configuration` before applying it again"
    )
    raise VerbError(ExitCode.UNKNOWN, message)


def _base_version(command, text):
    if command.flags.base is not None:
        return command.flags.base
    match = VERSION_LINE.match(text)
    if match:
        return int(match[1])
    return check_reply(command.client.get("operator", "configuration"))["version"]


def _result(reply):
    result = reply["result"]
    if result == "rejected":
        faults = "\n".join(map(str, reply.get("faults", ())))
        raise VerbError(
            ExitCode.INVALID, f"configuration rejected, nothing changed:\n{faults}"
        )
    document = {"result": result, "version": reply["version"]}
    if result == "superseded":
        document["advice"] = (
            "read the version in force, merge your changes, and apply again"
        )
        return VerbResult(document, ExitCode.SUPERSEDED)
    return VerbResult(document)
