"""``evacuate NAME``: start nothing new in a data centre."""

from absl import flags

from .centrechange import CentreChange

__all__ = ["Evacuate"]


class Evacuate(CentreChange):
    """Evacuates a data centre: no work is started there, and running work goes on."""

    summary = "Start no new work in a data centre; running work goes on."
    action = "evacuate"

    def define_flags(self, values):
        """Define ``--author``, ``--base`` and ``--last``."""
        super().define_flags(values)
        flags.DEFINE_boolean(
            "last", False, "Also evacuate the last data centre with agents.", values
        )

    def document(self, command, base_version):
        """Return the body of the request."""
        body = super().document(command, base_version)
        return {**body, "allow_last": command.flags.last}
