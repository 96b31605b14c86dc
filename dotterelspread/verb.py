"""Base class, results, errors and lookup of the command-line tool's verbs."""

import enum
import importlib
from dataclasses import dataclass

__all__ = [
    "Command",
    "ExitCode",
    "Verb",
    "VerbError",
    "VerbResult",
    "get_verb",
    "verb_names",
]

#: Module in ``verbs`` and class of each verb, in the order of the help text.
_classes_by_name = {
    "validate": ("validate", "Validate"),
    "apply": ("apply", "Apply"),
    "show": ("show", "Show"),
    "explain": ("explain", "Explain"),
    "submit": ("submit", "Submit"),
    "cancel": ("cancel", "Cancel"),
    "drain": ("drain", "Drain"),
    "evacuate": ("evacuate", "Evacuate"),
    "restore": ("restore", "Restore"),
    "status": ("status", "Status"),
}


class ExitCode(enum.IntEnum):
    """Exit codes of the command-line tool."""

    OK = 0
    #: The request was refused, or failed.
    FAILED = 1
    #: The command line or a file is invalid, so nothing was changed.
    INVALID = 2
    #: No entry could be reached; nothing was sent.
    UNREACHABLE = 3
    #: Another configuration came into force first.
    SUPERSEDED = 4
    #: It is not known whether the request took effect.
    UNKNOWN = 5


class VerbError(Exception):
    """A verb failed.

    Parameters
    ----------
    exit_code : ExitCode
    message : str
        What failed and, if known, how to fix it.
    """

    def __init__(self, exit_code, message):
        self.exit_code = exit_code
        super().__init__(message)


@dataclass(slots=True, frozen=True)
class VerbResult:
    """Output of a verb on standard output, and its exit code."""

    #: A list of mappings, a mapping or text.
    document: object
    exit_code: ExitCode = ExitCode.OK


@dataclass(slots=True, frozen=True)
class Command:
    """A parsed command line."""

    arguments: tuple[str, ...]
    #: ``absl.flags.FlagValues`` with the common flags and those of the verb.
    flags: object
    #: `OperatorClient` of the entry.
    client: object


class Verb:
    """A verb of the tool; base class of the classes in ``verbs``."""

    #: Names of the positional arguments, as shown in the help text.
    arguments = ()
    #: One-line description of the verb for the help text.
    summary = ""

    def define_flags(self, values):
        """Define the verb's own flags on ``values``."""

    def run(self, command):
        """Run the verb and return a `VerbResult`; raises `VerbError` on failure."""
        raise NotImplementedError


def verb_names():
    """Return the names of all verbs."""
    return tuple(_classes_by_name)


def get_verb(name):
    """Return a new instance of the verb with this name.

    Raises
    ------
    VerbError
        When there is no such verb.
    """
    if name not in _classes_by_name:
        known = ", ".join(_classes_by_name)
        message = f"unknown verb {name!r}; the first argument must be one of {known}"
        raise VerbError(ExitCode.INVALID, message)
    module_name, class_name = _classes_by_name[name]
    module = importlib.import_module(f".verbs.{module_name}", __package__)
    return getattr(module, class_name)()
