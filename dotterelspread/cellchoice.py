"""Which cell a job goes to, and which cell a new agent joins.

Pure functions of what an entry or an agent knows of the cells.
"""

from dataclasses import dataclass, field
from zlib import crc32

from .outcome import RefusalReason, Refused
from .placement import is_eligible
from .resources import Resources

__all__ = ["CellMemberView", "CellView", "choose_cell", "choose_cell_to_join"]

#: Members of a cell beyond which a new agent starts another.
MAX_CELL_MEMBERS = 30


@dataclass(slots=True, frozen=True)
class CellMemberView:
    """What is known of a member of a cell outside of it."""

    instance_id: str
    capacity: Resources
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class CellView:
    """What is known of a cell: members, and use and backlog by its summary."""

    name: str
    data_centre: str
    members: tuple[CellMemberView, ...] = ()
    used: Resources = Resources()
    waiting: Resources = Resources()

    @property
    def load(self):
        """Cores used and waited for, as a part of the cores there are."""
        total = sum((member.capacity.millicores for member in self.members), 0)
        return (self.used.millicores + self.waiting.millicores) / max(total, 1)


def choose_cell(job, cells, configuration, data_centre=""):
    """Return the name of the cell for a job, or why no cell can ever take it.

    Parameters
    ----------
    job : JobSubmitted
    cells : iterable of CellView
    configuration : Configuration
    data_centre : str
        Where the caller is; of cells that are about as loaded, one there is taken.

    Returns
    -------
    str or Refused
        The least loaded of the cells that can hold each task; ties by hash.
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

    The fullest cell with a free place is taken, so that cells are few and whole; when
    all are full the name is that of a new one.
    """
    local = [cell for cell in cells if cell.data_centre == data_centre]
    open_cells = [cell for cell in local if len(cell.members) < MAX_CELL_MEMBERS]
    if open_cells:
        return min(open_cells, key=lambda cell: (-len(cell.members), cell.name)).name
    return f"cell.{data_centre}.{len(local)}"
