"""Ranking of workers for the tasks of one step, each of which is placed at once."""

from bisect import bisect_left, insort

__all__ = ["WorkerRanking"]


class WorkerRanking:
    """Scores of workers for tasks of one kind, kept while these are placed.

    Only the worker that was chosen changes from one choice to the next, so that the
    time of a choice hardly depends on the number of workers.

    Parameters
    ----------
    workers : iterable of Worker
    score_of : callable
        Returns the score of a worker, or None if no task of the kind may start there.
        Scores are named tuples with the fields ``worker_id`` and ``is_not_avoided``;
        larger is better, and no two are equal.
    """

    __slots__ = ("_outdated_ids", "_score_by_id", "_score_of", "_scores", "_workers")

    def __init__(self, workers, score_of):
        self._workers = {worker.worker_id: worker for worker in workers}
        self._score_of = score_of
        #: Scores of the workers on which a task may start, also sorted.
        self._score_by_id = self._find_scores(self._workers)
        self._scores = sorted(self._score_by_id.values())
        self._outdated_ids = set()

    def choose(self, task_id, avoided_worker_id):
        """Return the best worker for a task, or None if it may start nowhere.

        Parameters
        ----------
        task_id : str
        avoided_worker_id : str
            Worker that counts as worse than others; empty for none.
        """
        self._refresh()
        best = None
        for score in reversed(self._scores):
            worker = self._workers[score.worker_id]
            # An earlier run may still be there until it has been stopped.
            if task_id in worker.runs_by_task:
                continue
            if score.worker_id == avoided_worker_id:
                best = score._replace(is_not_avoided=False)
                continue
            if best is None or score > best:
                return worker
            break
        return None if best is None else self._workers[best.worker_id]

    def invalidate(self, worker_id):
        """Have a worker scored again before the next choice."""
        self._outdated_ids.add(worker_id)

    def _refresh(self):
        for worker_id in self._outdated_ids:
            score = self._score_by_id.pop(worker_id, None)
            if score is not None:
                del self._scores[bisect_left(self._scores, score)]
        changed = self._find_scores(self._outdated_ids)
        self._score_by_id |= changed
        for score in changed.values():
            insort(self._scores, score)
        self._outdated_ids.clear()

    def _find_scores(self, worker_ids):
        score_by_id = {}
        for worker_id in worker_ids:
            score = self._score_of(self._workers[worker_id])
            if score is not None:
                score_by_id[worker_id] = score
        return score_by_id
