"""Command-line tool for operators: ``dotterelspread VERB``.

The verb must be the first argument. docs/OPERATIONS.md lists the verbs and exit codes.
"""

import sys

from absl import flags

from .operatorclient import (
    OperatorClient,
    OperatorClientError,
    ReplyLostError,
    UnreachableError,
)
from .quantities import parse_duration
from .rendering import OUTPUT_NAMES, render
from .verb import Command, ExitCode, VerbError, get_verb, verb_names

__all__ = ["main", "run"]

PROGRAM = "dotterelspread"
DEFAULT_ENTRY = "http://127.0.0.1:8080"
DEFAULT_TIMEOUT = "15s"
HELP_ARGUMENTS = ("--help", "-help", "-h", "help")
EXIT_CODES = "Exit codes: " + ", ".join(
    f"{code.value} {code.name.lower()}" for code in ExitCode
)


def main(args):
    """Run the tool and return its exit code.

    Parameters
    ----------
    args : list of str
        The command line, starting with the program's name.
    """
    if len(args) < 2 or args[1] in HELP_ARGUMENTS:
        print(_usage())
        return ExitCode.OK if len(args) > 1 else ExitCode.INVALID
    try:
        return _run_verb(args[1], args[2:])
    except VerbError as error:
        return _fail(error.exit_code, error)
    except flags.Error as error:
        return _fail(ExitCode.INVALID, error)
    except UnreachableError as error:
        return _fail(ExitCode.UNREACHABLE, f"no entry reached: {error}")
    except ReplyLostError as error:
        return _fail(ExitCode.UNKNOWN, f"no complete answer, outcome unknown: {error}")
    except OperatorClientError as error:
        return _fail(ExitCode.INVALID, error)


def run():
    """Entry point of the console command."""
    try:
        sys.exit(main(sys.argv))
    except BrokenPipeError:
        # The reader of standard output has closed the pipe, as ``| head`` does.
        sys.stderr.close()
        sys.exit(ExitCode.OK)


def _run_verb(name, args):
    verb = get_verb(name)
    values = _flag_values(verb)
    arguments = tuple(values([PROGRAM, *args])[1:])
    if values.help:
        print(_verb_usage(name, verb, values))
        return ExitCode.OK
    if len(arguments) != len(verb.arguments):
        usage = " ".join([PROGRAM, name, *verb.arguments])
        raise VerbError(ExitCode.INVALID, f"usage: {usage}")
    client = OperatorClient(values.entry, _seconds(values.timeout))
    result = verb.run(Command(arguments, values, client))
    print(render(result.document, values.output))
    return result.exit_code


def _flag_values(verb):
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_string("entry", DEFAULT_ENTRY, "URL of the entry to use.", values)
    flags.DEFINE_enum("output", "table", OUTPUT_NAMES, "Output format.", values)
    flags.DEFINE_string(
        "timeout", DEFAULT_TIMEOUT, "Network timeout, such as 5s.", values
    )
    flags.DEFINE_boolean(
        "help", False, "Show this help and exit.", values, short_name="h"
    )
    verb.define_flags(values)
    return values


def _seconds(text):
    try:
        return max(parse_duration(text), 0.001)
    except ValueError as error:
        raise VerbError(ExitCode.INVALID, f"--timeout: {error}") from error


def _usage():
    lines = [f"usage: {PROGRAM} VERB [ARGUMENT] [--flag ...]", "", "Verbs:"]
    for name in verb_names():
        verb = get_verb(name)
        call = " ".join([name, *verb.arguments])
        lines.append(f"  {call:<20} {verb.summary}")
    lines += ["", f"{PROGRAM} VERB --help shows the help of a verb.", EXIT_CODES]
    return "\n".join(lines)


def _verb_usage(name, verb, values):
    call = " ".join([PROGRAM, name, *verb.arguments])
    lines = [f"usage: {call} [--flag ...]", "", verb.summary, "", "Flags:"]
    for flag_name in values:
        flag = values[flag_name]
        if flag_name == flag.name:
            default = "" if flag.default is None else f" Default: {flag.default}."
            lines.append(f"  --{flag_name:<10} {flag.help}{default}")
    return "\n".join([*lines, "", EXIT_CODES])


def _fail(exit_code, message):
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return exit_code
