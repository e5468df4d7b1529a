"""The regions of data centres, to which queues may be restricted."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class Regions:
    """The region of each data centre, as far as the settings name them.

    Attributes:
        own: The region of this deployment; "" if it is not known. Data centres
            without an entry of their own belong to it.
        by_data_centre: The regions by data centre.
    """

    own: str = ""
    by_data_centre: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def allow(self, allowed: tuple[str, ...], data_centre: str) -> bool:
        """Return whether a data centre may run jobs of a queue.

        Without any named region, a restriction cannot be applied and has no
        effect.

        Args:
            allowed: The regions that the queue allows; empty for all.
            data_centre: The data centre.
        """
        if not allowed or not (self.own or self.by_data_centre):
            return True
        return self.by_data_centre.get(data_centre, self.own) in allowed


# No region is named.
NONE = Regions()
