"""The forms that names and labels may have, with the words that tell people so."""

import re
from dataclasses import dataclass

__all__ = ["ARGUMENT", "LABEL_KEY", "LABEL_VALUE", "NAME", "NON_EMPTY", "TextForm"]


@dataclass(slots=True, frozen=True)
class TextForm:
    """A form of text: a pattern that must match it in full, and its description."""

    pattern: re.Pattern
    #: Description for people.
    words: str

    def accepts(self, value):
        """Tell whether ``value`` is text of this form."""
        return isinstance(value, str) and self.pattern.fullmatch(value) is not None


#: Names of instances, services, kinds, teams, cells and so on.
NAME = TextForm(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"),
    "text of up to 63 letters, digits, '.', '_' and '-', no sign first",
)
LABEL_KEY = TextForm(
    re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,62}"),
    "text of up to 63 letters, digits, '.', '_', '/' and '-', no sign first",
)
LABEL_VALUE = TextForm(
    re.compile(r"[A-Za-z0-9._-]{0,63}"),
    "text of up to 63 letters, digits, '.', '_' and '-'",
)
#: Arguments of a task's program.
ARGUMENT = TextForm(
    re.compile(r"[^\x00\ud800-\udfff]{0,1024}"),
    "text of up to 1024 characters without zero bytes",
)
NON_EMPTY = TextForm(
    re.compile(r"[^\x00\ud800-\udfff]{1,1024}"), "text of 1 to 1024 characters"
)
