"""Load YAML text from untrusted sources as plain Python data.

The result holds only mappings, lists and scalars. Tags, anchors, aliases, duplicate
keys, and documents that are too large or too deeply nested are rejected.
"""

import re
from dataclasses import dataclass
from itertools import islice

import yaml

__all__ = ["DocumentError", "Fault", "FaultsError", "load_document"]

MAX_DOCUMENT_BYTES = 1 << 20
MAX_DEPTH = 16
MAX_NODES = 50_000
MAX_SHOWN_CHARACTERS = 60
#: Maximum number of faults that one error lists.
MAX_FAULTS = 500

_PLAIN_KEY = re.compile(r"[A-Za-z0-9._/-]{1,64}")
_TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


@dataclass(slots=True, frozen=True)
class Fault:
    """One invalid value or field in a document."""

    file_name: str
    #: Path of the field, such as ``services.dispatch.kinds.fault.share``.
    path: str
    found: str
    allowed: str

    def __str__(self):
        place = f"{self.file_name}: {self.path}" if self.path else self.file_name
        return f"{place}: found {self.found}; allowed: {self.allowed}"


class FaultsError(Exception):
    """Base of the errors that list the faults of a document or request.

    Parameters
    ----------
    faults : iterable of Fault
        All faults, of which the first `MAX_FAULTS` are kept.
    """

    def __init__(self, faults):
        self.faults = tuple(islice(faults, MAX_FAULTS))
        super().__init__("\n".join(str(fault) for fault in self.faults))


class DocumentError(FaultsError):
    """A text is not valid YAML, or uses features that are rejected here."""


class _PlainLoader(yaml.CSafeLoader):
    """Safe loader that keeps dates as text."""


_PlainLoader.add_constructor(
    _TIMESTAMP_TAG, lambda loader, node: loader.construct_scalar(node)
)


def load_document(text, file_name):
    """Return the data in a YAML document.

    Parameters
    ----------
    text : str
        The document.
    file_name : str
        Name of the file, for error messages.

    Returns
    -------
    dict, list, str, int, float, bool or None

    Raises
    ------
    DocumentError
        When the text is not YAML, or is rejected for its structure or size.
    """
    size = len(text.encode(errors="surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        _refuse(file_name, f"{size} bytes", f"up to {MAX_DOCUMENT_BYTES} bytes")
    try:
        _check_events(text, file_name)
        node = yaml.compose(text, _PlainLoader)
        _check_keys(node, file_name)
        return yaml.load(text, _PlainLoader)
    except yaml.YAMLError as error:
        _refuse(file_name, _one_line(error), "one YAML document")
    except (ValueError, TypeError, OverflowError) as error:
        _refuse(file_name, f"a value that can't be parsed: {error}", "plain values")


def shorten(value):
    """Return the ``repr`` of a value for an error message, truncated if it is long."""
    try:
        shown = repr(value)
    except RecursionError:
        shown = f"a deeply nested {type(value).__name__}"
    if len(shown) <= MAX_SHOWN_CHARACTERS:
        return shown
    return shown[: MAX_SHOWN_CHARACTERS - 3] + "..."


def format_key(key):
    """Return a key for the path of a fault, quoted unless it is a plain name."""
    if isinstance(key, str) and _PLAIN_KEY.fullmatch(key):
        return key
    return shorten(key)


def _refuse(file_name, found, allowed):
    raise DocumentError([Fault(file_name, "", found, allowed)]) from None


def _one_line(error):
    return " ".join(str(error).split())


def _check_events(text, file_name):
    """Reject unsupported or excessive input on the event stream, before it is loaded.

    Aliases in particular could make a small text expand to a huge result.
    """
    depth = 0
    for count, event in enumerate(yaml.parse(text, _PlainLoader)):
        if count > MAX_NODES:
            _refuse(
                file_name, f"more than {MAX_NODES} nodes", f"up to {MAX_NODES} nodes"
            )
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            line = event.start_mark.line + 1
            _refuse(file_name, f"an anchor or alias on line {line}", "plain values")
        if getattr(event, "tag", None):
            line = event.start_mark.line + 1
            _refuse(file_name, f"a tag on line {line}", "plain values")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            _refuse(
                file_name,
                f"over {MAX_DEPTH} nested levels",
                f"up to {MAX_DEPTH} levels",
            )


def _check_keys(root, file_name):
    """Reject duplicate keys and keys that are not text."""
    faults = []
    pending = [(root, "")]
    while pending:
        node, path = pending.pop()
        if isinstance(node, yaml.SequenceNode):
            pending += ((n, f"{path}[{i}]") for i, n in enumerate(node.value))
        elif isinstance(node, yaml.MappingNode):
            seen = set()
            for key, value in node.value:
                inner = _join(path, key)
                problem = _key_problem(key, seen)
                if problem:
                    faults.append(Fault(file_name, inner, *problem))
                else:
                    seen.add(key.value)
                pending.append((value, inner))
    if faults:
        raise DocumentError(faults)


def _key_problem(key, seen):
    if not isinstance(key, yaml.ScalarNode):
        return "a key that is not text", "text keys"
    if key.tag != "tag:yaml.org,2002:str":
        return (
            f"the key {shorten(key.value)}, which is not text in YAML",
            "a quoted key",
        )
    if key.value in seen:
        return "the field twice", "each field once"
    return None


def _join(path, key):
    name = format_key(key.value) if isinstance(key, yaml.ScalarNode) else "?"
    return f"{path}.{name}" if path else name
