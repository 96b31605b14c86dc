"""Base class of the records in the platform's log."""

import msgspec

__all__ = ["Struct"]


class Struct(msgspec.Struct, frozen=True, array_like=True):
    """Base class of records, encoded as arrays without field names."""
