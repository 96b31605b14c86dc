"""Settings of placement that operators may switch on."""

from dataclasses import dataclass

__all__ = ["MAX_RESERVED_JOBS", "PlacementPolicy", "PlacementPolicyError"]

#: Largest number of jobs of a queue that may hold reservations: each costs a search of
#: all workers in each placement pass.
MAX_RESERVED_JOBS = 8


class PlacementPolicyError(ValueError):
    """The policy is invalid; the message names the field."""


@dataclass(slots=True, frozen=True)
class PlacementPolicy:
    """Provisions of placement for work that does not fit yet; none by default.

    Raises
    ------
    PlacementPolicyError
        A field has a value that is not allowed.
    """

    #: Number of waiting jobs of each queue for which capacity is reserved; 0 for none.
    reserved_jobs: int = 0
    #: Whether small tasks avoid workers on which a waiting large one could fit.
    keeps_gaps: bool = False

    def __post_init__(self):
        if not 0 <= self.reserved_jobs <= MAX_RESERVED_JOBS:
            raise PlacementPolicyError(
                f"reserved_jobs: {self.reserved_jobs}, not within 0 to "
                f"{MAX_RESERVED_JOBS}"
            )

    @property
    def is_on(self):
        """Whether the policy changes anything."""
        return self.reserved_jobs > 0 or self.keeps_gaps
