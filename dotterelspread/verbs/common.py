"""Helpers that verbs share: reading files, checking replies, the operator's name."""

import getpass
import sys

from ..document import MAX_DOCUMENT_BYTES
from ..verb import ExitCode, VerbError

__all__ = ["check_reply", "read_text", "user_name"]

STANDARD_INPUT = "-"
STATUS_BAD_REQUEST = 400


def read_text(path):
    """Return the text of a file, or of standard input for ``-``.

    Raises
    ------
    VerbError
        When it can't be read, or is larger than `MAX_DOCUMENT_BYTES`.
    """
    try:
        if path == STANDARD_INPUT:
            text = sys.stdin.read(MAX_DOCUMENT_BYTES + 1)
        else:
            with open(path, encoding="utf-8") as file:
                text = file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise VerbError(ExitCode.INVALID, f"{path}: {error}") from error
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f"{path}: larger than {MAX_DOCUMENT_BYTES} bytes"
        raise VerbError(ExitCode.INVALID, message)
    return text


def check_reply(reply):
    """Return the document of a `Reply`.

    Raises
    ------
    VerbError
        When the request was refused or failed, or its outcome is unknown.
    """
    if not reply.is_problem and 200 <= reply.status < 300:
        return reply.document
    if not reply.is_problem:
        message = f"unexpected status {reply.status}: {reply.document}"
        raise VerbError(ExitCode.FAILED, message)
    problem = reply.document
    parts = [problem.get("title", ""), problem.get("reason", "")]
    parts += [problem.get("detail", "")]
    message = ": ".join(str(part) for part in parts if part)
    raise VerbError(_problem_code(reply.status, problem), message)


def user_name():
    """Return the name of the user who runs the tool."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _problem_code(status, problem):
    if problem.get("executed") == "unknown":
        return ExitCode.UNKNOWN
    return ExitCode.INVALID if status == STATUS_BAD_REQUEST else ExitCode.FAILED
