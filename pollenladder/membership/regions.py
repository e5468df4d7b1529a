"""Assign shards to groups that one daemon owns together.

The data centres of a region have low latency between them. Small shards of a
region are grouped under one owner, so that a job doesn't have to be split among
several owners. A daemon that can't reach the owner of a group owns those shards
of the group whose workers it can reach.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from pollenladder.membership import hashing


class Regions:
    """All shards, with their regions and ownership groups.

    Attributes:
        shard_ids: All shards, sorted.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        shards: Mapping[str, int],
        shards_per_owner: int,
    ):
        """Divide the shards of each region into ownership groups.

        Args:
            regions: Region by data centre.
            shards: Number of shards by data centre.
            shards_per_owner: Maximum number of shards in one ownership group.
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
        """Return the shards of the data centre's region, sorted."""
        region = self._regions[data_centre]
        return [s for s in self.shard_ids if self.get_region(s) == region]

    def is_same_region(self, data_centre: str, other: str) -> bool:
        """Return whether two data centres belong to the same known region."""
        region = self._regions.get(data_centre)
        return region is not None and region == self._regions.get(other)

    def list_region_data_centres(self, data_centre: str) -> list[str]:
        """Return the data centres of the data centre's region, sorted."""
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
        """Return the daemons in order of preference as owner of a shard.

        The order is the same for all shards of an ownership group.
        """
        return hashing.rank_daemons(self._groups[shard_id], daemon_ids)
