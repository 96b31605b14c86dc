"""``apply FILE``: publish a configuration and say what became of it."""

import getpass
import re
import time

from absl import flags

from ..configreader import ConfigurationError, read_configuration
from ..operatorclient import LostError, OperatorClientError
from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import check_reply, read_text

__all__ = ["Apply"]

#: First line of what ``show configuration`` prints; names the version it was.
VERSION_LINE = re.compile(r"# version: (-?[0-9]{1,18})\n")
READ_BACK_TRIES = 5
READ_BACK_WAIT_S = 1.0


class Apply(Verb):
    """Publishes a configuration that is based on a version the operator has read.

    The version comes from ``--base``, else from the file's first line, else it is the
    one in force now. When the answer is lost, the configuration is read back.
    """

    arguments = ("FILE",)
    summary = "Check a configuration, publish it, and say what became of it."

    def define_flags(self, values):
        """Define ``--author`` and ``--base``."""
        flags.DEFINE_string("author", None, "Who publishes; the user's name.", values)
        flags.DEFINE_integer(
            "base", None, "Version that FILE is based on.", flag_values=values
        )

    def run(self, command):
        """Publish the file."""
        (path,) = command.arguments
        text = read_text(path)
        try:
            read_configuration(text, path)
        except ConfigurationError as error:
            raise VerbError(ExitCode.INVALID, f"not valid:\n{error}") from error
        document = {
            "base_version": _base_version(command, text),
            "author": command.flags.author or _user_name(),
            "text": text,
        }
        try:
            segments = ("operator", "configuration")
            reply = check_reply(command.client.send("POST", segments, document))
        except LostError:
            return _read_back(command.client, document)
        except VerbError as error:
            if error.exit_code != ExitCode.UNKNOWN:
                raise
            return _read_back(command.client, document)
        return _result(reply)


def _read_back(client, document):
    """Find out what became of a publication whose answer was lost."""
    for _ in range(READ_BACK_TRIES):
        time.sleep(READ_BACK_WAIT_S)
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
        "see `show configuration` before applying it again"
    )
    raise VerbError(ExitCode.UNKNOWN, message)


def _base_version(command, text):
    if command.flags.base is not None:
        return command.flags.base
    match = VERSION_LINE.match(text)
    if match:
        return int(match[1])
    return check_reply(command.client.get("operator", "configuration"))["version"]


def _user_name():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _result(reply):
    result = reply["result"]
    if result == "rejected":
        faults = "\n".join(map(str, reply.get("faults", ())))
        raise VerbError(ExitCode.INVALID, f"rejected, nothing changed:\n{faults}")
    document = {"result": result, "version": reply["version"]}
    if result == "superseded":
        document["advice"] = "read the version in force, merge, and apply again"
        return VerbResult(document, ExitCode.SUPERSEDED)
    return VerbResult(document)
