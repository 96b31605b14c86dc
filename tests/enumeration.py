"""Exhaustive enumeration of the runs of a program, up to a number of faults."""

__all__ = ["Choices", "enumerate_choices", "partition_choices"]


class Choices:
    """The choices of one run; the first option of each choice is the fault-free one.

    Parameters
    ----------
    script : list of int
        Indices of the options to take; any later choice takes the first option.
    max_faults : int
        Maximum number of choices that take another option than the first.
    """

    def __init__(self, script, max_faults):
        self._script = script
        self._max_faults = max_faults
        #: Index of the option taken and number of options, for each choice so far.
        self.taken = []
        #: Descriptions of the choices that took another option than the first.
        self.log = []

    def choose(self, point, options):
        """Return the option that is taken at a point of the program."""
        number = len(self.taken)
        index = self._script[number] if number < len(self._script) else 0
        faults = sum(taken > 0 for taken, _ in self.taken)
        self.taken.append((index, len(options) if faults < self._max_faults else 1))
        if index:
            self.log.append(f"{point} {number}: {options[index]}")
        return options[index]


def enumerate_choices(run_scenario, max_faults, prefix=()):
    """Execute every run with at most the given number of faults.

    Parameters
    ----------
    run_scenario : callable
        Executes one run with the `Choices` passed to it.
    max_faults : int
    prefix : sequence of int
        Options that all runs begin with; partitions the runs among processes.

    Returns
    -------
    runs : int
    """
    script = list(prefix)
    runs = 0
    while True:
        choices = Choices(script, max_faults)
        run_scenario(choices)
        runs += 1
        script = _next_script(choices.taken, len(prefix))
        if script is None:
            return runs


def _next_script(taken, fixed):
    """Return the script that follows the executed one in depth-first order, or None."""
    for number in reversed(range(fixed, len(taken))):
        index, options = taken[number]
        if index + 1 < options:
            return [index for index, _ in taken[:number]] + [index + 1]
    return None


def partition_choices(run_scenario, max_faults, depth):
    """Return the prefixes of all runs, to be passed to `enumerate_choices`.

    Parameters
    ----------
    run_scenario : callable
    max_faults : int
    depth : int
        Number of choices in each prefix; a run with fewer choices is its own prefix.

    Returns
    -------
    prefixes : list of tuple of int
    """
    prefixes = [()]
    for _ in range(depth):
        extended = []
        for prefix in prefixes:
            choices = Choices(list(prefix), max_faults)
            run_scenario(choices)
            if len(choices.taken) <= len(prefix):
                extended.append(prefix)
                continue
            _, options = choices.taken[len(prefix)]
            extended += [(*prefix, index) for index in range(options)]
        prefixes = extended
    return prefixes


def partition_by_first_fault(run_scenario, max_faults):
    """Return prefixes of all runs, one for each first fault and one for none.

    They are found by a single run, and none has many more runs than another.
    """
    choices = Choices([], max_faults)
    run_scenario(choices)
    prefixes = [(0,) * len(choices.taken)]
    for number, (_, options) in enumerate(choices.taken):
        prefixes += [(*(0,) * number, index) for index in range(1, options)]
    return prefixes
