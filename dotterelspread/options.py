"""Read options from YAML mappings and collect every fault.

All values in configurations, settings and jobs are validated here::

    with open_options(text, "agent.yaml", SettingsError) as options:
        slots = options.integer("slots", 1, 1000)
        timeout_s = options.duration("timeout", 0.1, 60.0, default=5.0)

An invalid value is recorded as a fault and replaced by a placeholder of the right type,
so that reading can continue. The error with all faults is raised when the block ends.
Fields that were not read are rejected as unknown.
"""

from contextlib import contextmanager

from .document import (
    DocumentError,
    Fault,
    FaultsError,
    format_key,
    load_document,
    shorten,
)
from .quantities import (
    Address,
    parse_address,
    parse_duration,
    parse_size,
    parse_url,
)
from .resources import Resources
from .textform import LABEL_KEY, LABEL_VALUE, NAME, NON_EMPTY

__all__ = ["Options", "OptionsError", "check_options", "open_options"]

MAX_QUANTITY_CHARACTERS = 256
MAX_ITEMS = 5000
MAX_LABELS = 64
MAX_CORES = 100_000
MAX_MEMORY_BYTES = 64 << 40
MAX_ACCELERATORS = 256
MEBIBYTE = 1 << 20

PLACEHOLDER_ADDRESS = Address("127.0.0.1", 1)

_REQUIRED = object()


class OptionsError(FaultsError):
    """A mapping of options is invalid."""


@contextmanager
def open_options(text, file_name, error_type=OptionsError):
    """Yield the `Options` of a YAML document; raise its faults when the block ends.

    Parameters
    ----------
    text : str
        The document.
    file_name : str
        Name of the file, for error messages.
    error_type : type
        Subclass of `FaultsError` to raise.
    """
    try:
        values = load_document(text, file_name)
    except DocumentError as error:
        raise error_type(error.faults) from None
    with check_options(values, file_name, error_type) as options:
        yield options


@contextmanager
def check_options(values, file_name, error_type=OptionsError):
    """Yield the `Options` of parsed data; see `open_options`."""
    if not isinstance(values, dict):
        fault = Fault(file_name, "", shorten(values), "a mapping of fields")
        raise error_type([fault])
    faults_by_path = {}
    options = Options(values, file_name, "", faults_by_path)
    yield options
    options.refuse_unread()
    if faults_by_path:
        raise error_type(faults_by_path.values())


class Options:
    """Typed, validated access to the fields of one mapping.

    Every reading method takes the name of a field and a ``default`` for a missing
    field; without a default the field is required.
    """

    __slots__ = ("_faults_by_path", "_file_name", "_sections", "_unread", "path")

    def __init__(self, values, file_name, path, faults_by_path):
        self._file_name = file_name
        self._faults_by_path = faults_by_path
        self._sections = []
        #: Path of the mapping in its document; empty for the top level.
        self.path = path
        if not isinstance(values, dict):
            self.fault("", shorten(values), "a mapping of fields")
            values = {}
        self._unread = dict(values)

    def fault(self, name, found, allowed):
        """Record a fault of a field, unless it has one already."""
        path = self._path_of(name)
        fault = Fault(self._file_name, path, str(found), str(allowed))
        self._faults_by_path.setdefault(path, fault)

    def refuse_unread(self):
        """Record a fault for each field that was not read, here and in all sections."""
        for name in self._unread:
            self.fault(format_key(name), "an unknown field", "only documented fields")
        for section in self._sections:
            section.refuse_unread()

    def has(self, name):
        """Tell whether the field is present and has not been read."""
        return self._unread.get(name) is not None

    def text(self, name, default=_REQUIRED, form=NON_EMPTY):
        """Return text of the `TextForm` ``form``."""
        return self._checked(name, default, form.accepts, form.description, "")

    def name(self, name, default=_REQUIRED):
        """Return a name, as `NAME` defines it."""
        return self.text(name, default, NAME)

    def integer(self, name, low, high, default=_REQUIRED):
        """Return a whole number from ``low`` to ``high``."""

        def is_valid(value):
            return type(value) is int and low <= value <= high

        form = f"a whole number from {low} to {high}"
        return self._checked(name, default, is_valid, form, low)

    def number(self, name, low, high, default=_REQUIRED):
        """Return a number from ``low`` to ``high`` as a float."""

        def is_valid(value):
            return type(value) in (int, float) and low <= value <= high

        form = f"a number from {low} to {high}"
        return float(self._checked(name, default, is_valid, form, low))

    def boolean(self, name, default=_REQUIRED):
        """Return true or false."""
        return self._checked(
            name, default, lambda value: type(value) is bool, "true or false", False
        )

    def choice(self, name, values, default=_REQUIRED):
        """Return one of ``values``, an iterable of texts."""
        values = list(values)
        form = "one of " + ", ".join(values)
        return self._checked(name, default, values.__contains__, form, values[0])

    def duration(self, name, low_s, high_s, default=_REQUIRED):
        """Return the seconds in a duration such as ``250ms``, ``5s`` or ``2m``."""
        form = f"a duration from {low_s:g}s to {high_s:g}s, such as 250ms, 5s or 2m"
        parse = _within(parse_duration, low_s, high_s)
        return self._parsed(name, parse, default, form, low_s)

    def size(self, name, low, high, default=_REQUIRED):
        """Return the bytes in a size such as ``64KiB`` or ``125GB``."""
        form = f"a size from {low} to {high} bytes, such as 64KiB or 125GB"
        return self._parsed(name, _within(parse_size, low, high), default, form, low)

    def address(self, name, default=_REQUIRED):
        """Return the `Address` in ``host:port``, where the host is an IP address."""
        form = "an IP address and port, such as 10.1.0.4:7001"
        return self._parsed(name, parse_address, default, form, PLACEHOLDER_ADDRESS)

    def url(self, name, default=_REQUIRED):
        """Return an HTTP URL whose host is an IP address, without trailing slashes."""
        form = "an HTTP URL with an IP address, such as http://10.1.0.9:8300"
        return self._parsed(name, parse_url, default, form, "")

    def resources(self, name, default=_REQUIRED):
        """Return `Resources` from a mapping of cores, memory and accelerators."""
        if not self.has(name):
            return self._checked(name, default, None, "a mapping", Resources())
        section = self.section(name)
        cores = section.number("cores", 0, MAX_CORES, 0)
        memory = section.size("memory", 0, MAX_MEMORY_BYTES, 0)
        accelerators = section.integer("accelerators", 0, MAX_ACCELERATORS, 0)
        return Resources(round(cores * 1000), memory // MEBIBYTE, accelerators)

    def labels(self, name):
        """Return a mapping of labels; empty when the field is missing."""
        values = self._collection(name, dict, MAX_LABELS, {})
        section = self._section(values, name)
        return {
            key: section.text(key, "", LABEL_VALUE)
            for key in values
            if section._accepts_key(key, LABEL_KEY)
        }

    def section(self, name):
        """Return the `Options` of a nested mapping; empty when the field is missing."""
        values = self._unread.pop(name, None)
        return self._section({} if values is None else values, name)

    def sections(self, name, default=_REQUIRED):
        """Return the `Options` of each mapping in a field, by name."""
        values = self._collection(name, dict, MAX_ITEMS, default)
        parent = self._section(values, name)
        return {
            key: parent.section(key) for key in values if parent._accepts_key(key, NAME)
        }

    def items(self, name, limit=MAX_ITEMS):
        """Return the `Options` of each mapping in a list."""
        values = self._collection(name, list, limit, _REQUIRED)
        return [self._section(v, f"{name}[{i}]") for i, v in enumerate(values)]

    def texts(self, name, default=_REQUIRED, form=NON_EMPTY, limit=MAX_ITEMS):
        """Return a tuple of texts of the `TextForm` ``form``."""
        values = self._collection(name, list, limit, default)
        for index, value in enumerate(values):
            if not form.accepts(value):
                self.fault(f"{name}[{index}]", shorten(value), form.description)
        return tuple(value for value in values if form.accepts(value))

    def names(self, name, default=_REQUIRED):
        """Return a tuple of unique names."""
        values = self.texts(name, default, NAME)
        for index, value in enumerate(values):
            if value in values[:index]:
                self.fault(f"{name}[{index}]", shorten(value), "each name once")
        return values

    def _path_of(self, name):
        return f"{self.path}.{name}" if self.path and name else self.path or name

    def _section(self, values, name):
        section = Options(
            values, self._file_name, self._path_of(name), self._faults_by_path
        )
        self._sections.append(section)
        return section

    def _accepts_key(self, key, form):
        if form.accepts(key):
            return True
        self._unread.pop(key, None)
        self.fault(format_key(key), "an invalid key", form.description)
        return False

    def _checked(self, name, default, is_valid, form, fallback):
        value = self._unread.pop(name, None)
        if value is None and default is not _REQUIRED:
            return default
        if value is not None and is_valid(value):
            return value
        self.fault(name, "nothing" if value is None else shorten(value), form)
        return fallback

    def _parsed(self, name, parse, default, form, fallback):
        value = self._unread.pop(name, None)
        if value is None and default is not _REQUIRED:
            return default
        try:
            if isinstance(value, str) and len(value) <= MAX_QUANTITY_CHARACTERS:
                return parse(value)
        except ValueError:
            pass
        self.fault(name, "nothing" if value is None else shorten(value), form)
        return fallback

    def _collection(self, name, type_, limit, default):
        def is_valid(value):
            return isinstance(value, type_) and len(value) <= limit

        kind = "mapping" if type_ is dict else "list"
        form = f"a {kind} of up to {limit} entries"
        return self._checked(name, default, is_valid, form, type_())


def _within(parse, low, high):
    """Return ``parse`` extended by a range check of its result."""

    def parse_within(text):
        value = parse(text)
        if not low <= value <= high:
            raise ValueError(f"{text} is out of range")
        return value

    return parse_within
