"""Tasks of a job that are ready for placement, in the order in which they became so."""

__all__ = ["ReadyTasks"]


class ReadyTasks:
    """An ordered set of the keys of a job's ready tasks."""

    __slots__ = ("_keys", "_keys_by_step", "service_class")

    def __init__(self):
        #: Used as an ordered set.
        self._keys = {}
        #: Cached result of `by_step`; None after a change.
        self._keys_by_step = None
        #: Class of the job in the order of placement; None after a change.
        self.service_class = None

    def __len__(self):
        return len(self._keys)

    def __iter__(self):
        return iter(self._keys)

    def __contains__(self, key):
        return key in self._keys

    def add(self, key):
        """Add a task, unless it is there already."""
        self._keys[key] = None
        self._forget()

    def discard(self, key):
        """Remove a task, if it is there."""
        self._keys.pop(key, None)
        self._forget()

    def _forget(self):
        self._keys_by_step = None
        self.service_class = None

    def by_step(self):
        """Return the keys by step key; the caller does not change them.

        Kept until the set changes, since passes come much more often than changes of a
        large step that waits.
        """
        if self._keys_by_step is None:
            groups = {}
            for key in self._keys:
                groups.setdefault(key[:2], []).append(key)
            self._keys_by_step = groups
        return self._keys_by_step
