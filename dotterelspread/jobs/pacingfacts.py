"""What a leader tells its agents about tasks and images, for the pacing of fillers."""

from .paircost import CostEstimate

__all__ = ["PacingFacts"]

#: Number of tasks that are not running whose traits are kept.
MAX_IDLE_TASK_TRAITS = 500


class PacingFacts:
    """Traits of tasks, and the costs of fillers beside serving tasks."""

    __slots__ = ("costs_by_pair", "traits_by_task")

    def __init__(self):
        self.traits_by_task = {}
        #: `CostEstimate` by the images of a serving task and of a filler.
        self.costs_by_pair = {}

    def apply(self, query):
        """Apply what a leader's query tells."""
        for traits in query.traits or ():
            self.traits_by_task[traits.task_id] = traits
        for cost in query.costs or ():
            estimate = CostEstimate(cost.per_core, cost.uncertainty)
            pair = (cost.serving_image, cost.filler_image)
            self.costs_by_pair[pair] = estimate

    def discard_idle(self, rows):
        """Discard the traits of tasks that are not running if there are too many."""
        if len(self.traits_by_task) <= MAX_IDLE_TASK_TRAITS + len(rows):
            return
        running = {row.task_id for row in rows}
        for task_id in [t for t in self.traits_by_task if t not in running]:
            del self.traits_by_task[task_id]
