"""Data centres of the soak test, over which entries, agents and workers are spread."""

__all__ = ["DATA_CENTRES", "data_centre_of"]

DATA_CENTRES = ("kumasi", "obuasi", "axim")


def data_centre_of(number):
    """Return the data centre of the process or worker with a number."""
    return DATA_CENTRES[number % len(DATA_CENTRES)]
