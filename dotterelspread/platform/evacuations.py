"""Keys of the configuration's stream with which operators evacuate data centres."""

from .heartbeats import MAX_NAME_LENGTH

__all__ = ["read_evacuated_data_centre"]

#: Prefix of the keys; the name of the data centre follows.
KEY_PREFIX = "evacuate/"


def read_evacuated_data_centre(key):
    """Return the data centre that a record's key evacuates; empty for other keys.

    A name that is longer than a worker may announce evacuates nothing.
    """
    if not key.startswith(KEY_PREFIX):
        return ""
    name = key.removeprefix(KEY_PREFIX)
    return name if len(name) <= MAX_NAME_LENGTH else ""
