"""Decoding of the JSON documents that the platform sends."""

from typing import Annotated

import msgspec

__all__ = [
    "MAX_COUNT",
    "MAX_INSTANT_MS",
    "Amount",
    "Count",
    "DecodingError",
    "Instant",
    "decode_json",
]

#: Largest value of a field that peers send on as a 32-bit integer.
MAX_COUNT = 2**31 - 1
#: Largest time in milliseconds that every JSON implementation represents exactly.
MAX_INSTANT_MS = 2**53

#: A quantity or a number of something.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
#: A finite number that is not negative.
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
#: A time, or a number that grows with time.
Instant = Annotated[int, msgspec.Meta(ge=0, le=MAX_INSTANT_MS)]


class DecodingError(Exception):
    """A document is malformed; the message names the field if one is at fault."""


def decode_json(data, message_type, strict=True):
    """Return the message in a JSON document.

    Parameters
    ----------
    data : bytes
    message_type : type
        A `msgspec.Struct`.
    strict : bool
        Whether numbers and truth values in strings are refused.

    Raises
    ------
    DecodingError
        When the document is no valid JSON, is nested too deeply, or when a field is
        missing, has the wrong type or is out of range.
    """
    try:
        return msgspec.json.decode(data, type=message_type, strict=strict)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise DecodingError(str(error)) from error
