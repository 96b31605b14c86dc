"""Selection of the cell for a job, and of the cell that a new agent joins.

Pure functions of an entry's or agent's view of the cells.
"""

from dataclasses import dataclass, field
from zlib import crc32

from .outcome import RefusalReason, Refused
from .placement import is_eligible
from .resources import Resources

__all__ = ["CellMemberView", "CellView", "choose_cell", "choose_cell_to_join"]

#: Number of members at which a cell is full, so that new agents join another one.
MAX_CELL_MEMBERS = 30


@dataclass(slots=True, frozen=True)
class CellMemberView:
    """A member of a cell, as known outside the cell."""

    instance_id: str
    capacity: Resources
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class CellView:
    """A cell as known outside: its members, resource use and backlog."""

    name: str
    data_centre: str
    members: tuple[CellMemberView, ...] = ()
    used: Resources = Resources()
    waiting: Resources = Resources()

    @property
    def load(self):
        """Cores in use and in the backlog, as a fraction of all cores."""
        total = sum((member.capacity.millicores for member in self.members), 0)
        return (self.used.millicores + self.waiting.millicores) / max(total, 1)


def choose_cell(job, cells, configuration, data_centre=""):
    """Return the name of the cell for a job, or the reason why none can ever hold it.

    Parameters
    ----------
    job : JobSubmitted
    cells : iterable of CellView
    configuration : Configuration
    data_centre : str
        Location of the caller; among about equally loaded cells, a local one wins.

    Returns
    -------
    str or Refused
        The least loaded of the cells that can hold every task, with load rounded to
        tenths; ties are broken by a hash.
    """
    able = [cell for cell in cells if _can_hold(job, cell, configuration)]
    if not able:
        return Refused(RefusalReason.NEVER_FITS, _describe(job, cells))
    return min(able, key=lambda cell: _preference(job, cell, data_centre)).name


def _preference(job, cell, data_centre):
    tenths = round(cell.load * 10)
    is_remote = bool(data_centre) and cell.data_centre != data_centre
    return tenths, is_remote, crc32(f"{job.job_id}/{cell.name}".encode())


def _can_hold(job, cell, configuration):
    fitting = [
        member
        for member in cell.members
        if is_eligible(
            job.labels,
            member.labels
            | configuration.instance_labels_by_id.get(member.instance_id, {}),
            configuration,
        )
    ]
    return all(
        any(task.declared.fits_in(member.capacity) for member in fitting)
        for task in job.tasks
    )


def _describe(job, cells):
    maximum = Resources()
    for cell in cells:
        for member in cell.members:
            maximum = maximum.at_least(member.capacity)
    largest = max(job.tasks, key=lambda task: task.declared.millicores).declared
    return (
        f"no instance that the selectors allow can hold the job: its largest task "
        f"needs {largest.millicores} millicores, {largest.memory_mb} MiB and "
        f"{largest.accelerators} accelerators; the most on any instance is "
        f"{maximum.millicores}, {maximum.memory_mb} and {maximum.accelerators}"
    )


def choose_cell_to_join(data_centre, cells):
    """Return the name of the cell that a new agent of a data centre joins.

    This is the fullest cell that is not full, which keeps the number of cells small, or
    a new cell if all are full.
    """
    local = [cell for cell in cells if cell.data_centre == data_centre]
    open_cells = [cell for cell in local if len(cell.members) < MAX_CELL_MEMBERS]
    if open_cells:
        return min(open_cells, key=lambda cell: (-len(cell.members), cell.name)).name
    return f"cell.{data_centre}.{len(local)}"
