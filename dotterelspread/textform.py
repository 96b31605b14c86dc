"""Patterns for names, labels and other texts, with descriptions for messages."""

import re
from dataclasses import dataclass

__all__ = ["ARGUMENT", "LABEL_KEY", "LABEL_VALUE", "NAME", "NON_EMPTY", "TextForm"]


@dataclass(slots=True, frozen=True)
class TextForm:
    """A pattern that valid text must match in full, and its description."""

    pattern: re.Pattern
    #: Description of valid text, for error messages.
    description: str

    def accepts(self, value):
        """Tell whether ``value`` is text of this form."""
        return isinstance(value, str) and self.pattern.fullmatch(value) is not None


#: Names of instances, services, kinds, teams, cells and so on.
NAME = TextForm(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
    "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit",
)
LABEL_KEY = TextForm(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,62}"),
    "1 to 63 letters, digits, '.', '_', '/' or '-', starting with a letter or digit",
)
LABEL_VALUE = TextForm(
    re.compile(r"[A-Za-z0-9._-]{0,63}"),
    "up to 63 letters, digits, '.', '_' or '-'",
)
#: Arguments of a task's program.
ARGUMENT = TextForm(
    re.compile(r"[^\x00\ud800-\udfff]{0,1024}"),
    "text of up to 1024 characters without null characters",
)
NON_EMPTY = TextForm(
    re.compile(r"[^\x00\ud800-\udfff]{1,1024}"), "text of 1 to 1024 characters"
)
