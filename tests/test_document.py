"""Unsafe or ambiguous YAML is rejected with a `DocumentError`."""

import pytest

from dotterelspread.document import (
    MAX_DEPTH,
    MAX_DOCUMENT_BYTES,
    DocumentError,
    load_document,
)

REJECTED = {
    "alias": "a: &x [1, 2]\nb: *x",
    "duplicate key": "a: 1\nb: {c: 1, c: 2}",
    "key of another type": "on: 1",
    "tag": "a: !!python/object:os.system {}",
    "depth": "[" * (MAX_DEPTH + 1) + "]" * (MAX_DEPTH + 1),
    "extreme depth": "[" * 50_000,
    "nodes": "[" + "a," * 60_000 + "]",
    "size": "a" * (MAX_DOCUMENT_BYTES + 1),
    "long number": "a: " + "9" * 10_000,
    "two documents": "a: 1\n---\nb: 2",
    "control character": "a: \x00",
    "surrogate": "a: \ud800",
    "open bracket": "a: [1",
}


@pytest.mark.parametrize("text", REJECTED.values(), ids=REJECTED.keys())
def test_rejected(text):
    with pytest.raises(DocumentError) as caught:
        load_document(text, "f.yaml")
    assert str(caught.value).startswith("f.yaml: ")
    assert len(str(caught.value)) < 500


def test_a_duplicate_key_is_reported_with_its_path():
    with pytest.raises(DocumentError, match=r"b\.c: found the field twice"):
        load_document("a: 1\nb: {c: 1, c: 2}", "f.yaml")


def test_dates_remain_text():
    assert load_document("a: 2026-99-99", "f.yaml") == {"a": "2026-99-99"}
