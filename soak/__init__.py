"""Randomized soak test: the shipped processes on one machine, with fault injection.

The store, the workers and the callers are stand-ins in the process of the soak test;
entries and agents are separate processes. Faults are injected through loopback relays
and signals. The invariants are checked on what callers and workers observe.
"""
