"""Format the results of verbs as tables, JSON or YAML."""

import json
from functools import singledispatch

import yaml

__all__ = ["OUTPUT_NAMES", "render"]

COLUMN_GAP = "  "
MAX_CELL_CHARACTERS = 100


def render(document, output):
    """Return ``document`` as text.

    Parameters
    ----------
    document : list of dict, dict or str
    output : str
        One of `OUTPUT_NAMES`.
    """
    return _renderers_by_output[output](document)


@singledispatch
def _as_table(document):
    return _clean(str(document))


@_as_table.register
def _(document: str):
    return "\n".join(_clean(line) for line in document.rstrip("\n").split("\n"))


@_as_table.register
def _(document: dict):
    return _align([[f"{key}:", _cell(value)] for key, value in document.items()])


@_as_table.register
def _(document: list):
    if not all(isinstance(row, dict) for row in document):
        return "\n".join(_cell(row) for row in document)
    columns = list(dict.fromkeys(key for row in document for key in row))
    if not columns:
        return "(none)"
    lines = [[_cell(row.get(column, "")) for column in columns] for row in document]
    return _align([[column.upper() for column in columns], *lines])


def _align(lines):
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value):
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        value = ", ".join(value)
    text = value if isinstance(value, str) else json.dumps(value, ensure_ascii=False)
    text = _clean(" ".join(text.splitlines()))
    if len(text) <= MAX_CELL_CHARACTERS:
        return text
    return text[: MAX_CELL_CHARACTERS - 3] + "..."


def _clean(text):
    """Replace control characters, so that text can't send terminal escape sequences."""
    return "".join(c if c.isprintable() or c == "\t" else "?" for c in text)


def _as_json(document):
    return json.dumps(document, indent=2)


def _as_yaml(document):
    text = yaml.dump(document, Dumper=yaml.CSafeDumper, sort_keys=False)
    return text.rstrip("\n")


_renderers_by_output = {"table": _as_table, "json": _as_json, "yaml": _as_yaml}
#: Names of the output formats.
OUTPUT_NAMES = tuple(_renderers_by_output)
