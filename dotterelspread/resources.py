"""Amounts of processor time, memory and accelerators."""

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """A vector with an amount of each resource of an instance.

    Used for declared sizes, capacities, reservations and quotas.
    """

    #: Processor time in thousandths of a core.
    millicores: int = 0
    #: Memory in mebibytes.
    memory_mb: int = 0
    #: Number of whole accelerators.
    accelerators: int = 0

    def __add__(self, other):
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room):
        """Return whether this amount is within ``room`` for every resource."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def at_least(self, other):
        """Return the element-wise maximum."""
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def at_most(self, other):
        """Return the element-wise minimum."""
        return Resources(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )
