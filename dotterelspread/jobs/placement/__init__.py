"""Placement: which tasks start now, on which workers, and which are moved.

`placing` runs a pass: the order of the jobs (`ordering`), tasks without stale runs
(`staleruns`), those that no worker can take (`unplaceable`), the room of gangs
(`gangroom`) and the best worker of each task (`workerchoice`, by the scores of
`scoring`, which a `workerranking` keeps). `reservations` keeps room for waiting tasks:
what is free when (`timeline`), the earliest starts (`startsearch`), use by others until
then (`reservedroom`), and gaps for large tasks (`gaps`). Failed and stalled runs put
workers into cooldown (`workerfaults`, as `cooldown` decides), and `stragglers` moves
slow runs. The package reads the state of a cell; the handlers of its events call it.
"""
