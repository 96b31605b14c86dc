"""Records of the ``evacuations`` stream; `record` encodes them."""

from .recordbase import Struct

__all__ = ["CentreState", "EvacuationRequested", "EvacuationSnapshot"]


class EvacuationRequested(Struct, tag=19):
    """An operator evacuates a data centre, or restores it."""

    #: Identifies the request, since records of one append share an offset.
    change_id: str
    data_centre: str
    #: True to evacuate the data centre, False to restore it.
    is_evacuated: bool
    #: Version of the evacuations that the operator had read; -1 for none.
    base_version: int
    author: str
    #: Unix time of the request in seconds.
    requested_at: int


class CentreState(Struct):
    """Whether a data centre is evacuated, and who decided that when."""

    data_centre: str
    is_evacuated: bool
    #: Offset of the record that evacuated or restored it.
    version: int
    author: str
    #: Unix time of the request in seconds.
    changed_at: int


class EvacuationSnapshot(Struct, tag=20):
    """All evacuations as of an offset, kept before their records expire."""

    as_of: int
    #: Offset of the latest change; -1 for none.
    version: int
    centres: tuple[CentreState, ...]
    #: Highest sequence of each writer.
    sequences: tuple[tuple[int, int], ...] = ()
