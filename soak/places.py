"""Data centres of the soak test, over which entries, agents and workers are spread."""

__all__ = ["DATA_CENTRES", "RACKS", "data_centre_of"]

DATA_CENTRES = ("kumasi", "obuasi", "axim")
#: Rack of the workers in each data centre, which is one of their labels.
RACKS = ("rack0", "rack1", "rack2")


def data_centre_of(number):
    """Return the data centre of the process or worker with a number."""
    return DATA_CENTRES[number % len(DATA_CENTRES)]
