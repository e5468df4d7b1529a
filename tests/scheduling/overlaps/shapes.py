"""The machines of the site of a history, drawn from its seed."""

import dataclasses
import random

from pollenladder.cluster import groups as layouts


@dataclasses.dataclass(frozen=True)
class Shape:
    """A site.

    Attributes:
        data_centres: The names of the data centres.
        daemons: The number of daemons of each.
        workers: The number of workers of each.
        groups: The number of groups of each; 0 if the region is one group.
    """

    data_centres: tuple[str, ...] = ("ambato", "quito")
    daemons: int = 2
    workers: int = 2
    groups: int = 0

    def list_daemons(self) -> dict[str, str]:
        """Return the data centre of each daemon."""
        return self._list_machines("front", self.daemons)

    def list_workers(self) -> dict[str, str]:
        """Return the data centre of each worker."""
        return self._list_machines("w", self.workers)

    def build_layout(self) -> layouts.Layout:
        """Return how the workers are split into groups."""
        if not self.groups:
            return layouts.Layout(1)
        return layouts.Layout(1, dict.fromkeys(self.data_centres, self.groups))

    def _list_machines(self, kind: str, count: int) -> dict[str, str]:
        return {
            f"{kind}-{name}-{number}": name
            for name in self.data_centres
            for number in range(1, count + 1)
        }


ONE_GROUP = Shape()
TWO_GROUPS = Shape(groups=1)
_SHARES = {
    ONE_GROUP: 0.3,
    TWO_GROUPS: 0.3,
    Shape(("ambato", "quito", "manta"), workers=1): 0.1,
    Shape(("ambato", "quito", "manta"), workers=1, groups=1): 0.1,
    Shape(daemons=3): 0.1,
    Shape(daemons=3, workers=3, groups=2): 0.1,
}


def draw(seed: int) -> Shape:
    """Return the site of a seed."""
    source = random.Random(f"shape {seed}")
    return source.choices(list(_SHARES), list(_SHARES.values()))[0]
