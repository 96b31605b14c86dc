"""All runs of a program that asks what happens next, up to a number of troubles."""

__all__ = ["Choices", "enumerate_choices", "partition_choices"]


class Choices:
    """What happens in one run; the first option of each choice is the ordinary one.

    Parameters
    ----------
    script : list of int
        Options to take at the first choices; all later ones are ordinary.
    troubles : int
        Most choices that may take another option than the ordinary one.
    """

    def __init__(self, script, troubles):
        self._script = script
        self._troubles = troubles
        #: Option taken and number of options, of each choice so far.
        self.taken = []
        #: What was chosen instead of the ordinary, for messages.
        self.log = []

    def choose(self, place, options):
        """Return one of the options at a place of the program."""
        number = len(self.taken)
        index = self._script[number] if number < len(self._script) else 0
        spent = sum(taken > 0 for taken, _ in self.taken)
        self.taken.append((index, len(options) if spent < self._troubles else 1))
        if index:
            self.log.append(f"{place} {number}: {options[index]}")
        return options[index]


def enumerate_choices(play, troubles, first=()):
    """Play every run with at most so many troubles.

    Parameters
    ----------
    play : callable
        Plays one run with the `Choices` that it is given.
    troubles : int
    first : sequence of int
        Options that all runs begin with; for sharing the work out.

    Returns
    -------
    runs : int
    """
    script = list(first)
    runs = 0
    while True:
        choices = Choices(script, troubles)
        play(choices)
        runs += 1
        script = _next_script(choices.taken, len(first))
        if script is None:
            return runs


def _next_script(taken, fixed):
    """Return the script after the one that was played, depth first."""
    for number in reversed(range(fixed, len(taken))):
        index, options = taken[number]
        if index + 1 < options:
            return [index for index, _ in taken[:number]] + [index + 1]
    return None


def partition_choices(play, troubles, depth):
    """Return the beginnings of all runs, for `enumerate_choices` to go on from.

    Parameters
    ----------
    play : callable
    troubles : int
    depth : int
        Number of choices that each beginning holds, where a run has so many.

    Returns
    -------
    beginnings : list of tuple of int
    """
    beginnings = [()]
    for _ in range(depth):
        longer = []
        for beginning in beginnings:
            choices = Choices(list(beginning), troubles)
            play(choices)
            if len(choices.taken) <= len(beginning):
                longer.append(beginning)
                continue
            _, options = choices.taken[len(beginning)]
            longer += [(*beginning, index) for index in range(options)]
        beginnings = longer
    return beginnings
