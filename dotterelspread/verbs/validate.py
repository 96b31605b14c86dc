"""``validate FILE``: check a file without sending it."""

from absl import flags

from ..configreader import read_configuration
from ..document import FaultsError, load_document
from ..jobrequest import read_job_values
from ..settings import DaemonSettings
from ..verb import ExitCode, Verb, VerbError, VerbResult
from .common import read_text

__all__ = ["Validate"]


def _read_job_text(text, file_name):
    return read_job_values(load_document(text, file_name), file_name)


_readers_by_form = {
    "configuration": read_configuration,
    "settings": DaemonSettings.from_text,
    "job": _read_job_text,
}


class Validate(Verb):
    """Checks a configuration, the settings of a daemon or a job; lists every fault."""

    arguments = ("FILE",)
    summary = "Check a file and list every fault; nothing is sent."

    def define_flags(self, values):
        """Define ``--form``."""
        flags.DEFINE_enum(
            "form",
            "configuration",
            list(_readers_by_form),
            "What FILE contains.",
            values,
        )

    def run(self, command):
        """Check the file in the form that ``--form`` selects."""
        (path,) = command.arguments
        form = command.flags.form
        try:
            _readers_by_form[form](read_text(path), path)
        except FaultsError as error:
            raise VerbError(ExitCode.INVALID, f"not valid:\n{error}") from error
        return VerbResult({"file": path, "form": form, "valid": True})
