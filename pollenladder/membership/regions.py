"""Which shards one daemon should own together, and who should own them.

Data centres of one region are close to each other. Small shards of a region are
owned together, so that jobs need not be split among owners; a daemon that is cut
off from that owner owns the shards it can reach.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from pollenladder.membership import hashing


class Regions:
    """The shards by region and by group.

    Attributes:
        shard_ids: All shards, sorted.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        shards: Mapping[str, int],
        shards_per_owner: int,
    ):
        """Lay out the groups.

        Args:
            regions: Region by data centre.
            shards: Number of shards by data centre.
            shards_per_owner: Shards of a region that are owned together.
        """
        self.shard_ids = hashing.list_shards(shards)
        self._regions = dict(regions)
        self._groups: dict[str, str] = {}
        for region in sorted(set(regions.values())):
            members = [
                s for s in self.shard_ids if self.get_region(s) == region
            ]
            for position, shard_id in enumerate(members):
                number = position // shards_per_owner
                self._groups[shard_id] = f"{region}#{number}"

    def get_region(self, shard_id: str) -> str:
        """Return the region of a shard."""
        return self._regions[shard_id.rpartition("/")[0]]

    def list_region_shards(self, data_centre: str) -> list[str]:
        """Return the shards of a data centre's region."""
        region = self._regions[data_centre]
        return [s for s in self.shard_ids if self.get_region(s) == region]

    def is_same_region(self, data_centre: str, other: str) -> bool:
        """Return whether two data centres are of one region."""
        near = self._regions.get(data_centre)
        return near is not None and near == self._regions.get(other)

    def list_region_data_centres(self, data_centre: str) -> list[str]:
        """Return the data centres of a region, sorted."""
        return [
            other
            for other in sorted(self._regions)
            if self.is_same_region(data_centre, other)
        ]

    def list_data_centres(self) -> list[str]:
        """Return all data centres, sorted."""
        return sorted(self._regions)

    def rank_owners(
        self, shard_id: str, daemon_ids: Iterable[str]
    ) -> list[str]:
        """Return the daemons in the order in which they should own a shard."""
        return hashing.rank_daemons(self._groups[shard_id], daemon_ids)
