"""``restore NAME``: take the evacuation of a data centre back."""

from .centrechange import CentreChange

__all__ = ["Restore"]


class Restore(CentreChange):
    """Restores a data centre: work may be started there again."""

    summary = "Take the evacuation of a data centre back."
    action = "restore"
