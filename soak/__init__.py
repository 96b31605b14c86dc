"""Randomized soak: the shipped processes on one machine, with faults from outside.

The store, the workers and the callers are stand-ins in the soak's own process; entries
and agents are processes of their own, reached through loopback relays and signals. What
must hold is checked while it runs, from what callers and workers see.
"""
