"""The groups of workers, each with its engine and its leadership."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

from pollenladder.cluster import groups as layouts
from pollenladder.fleet import entities as fleet
from pollenladder.logs import lines as logs
from pollenladder.scheduling import neighbourhood
from pollenladder.scheduling import tables
from pollenladder.service import engine as engines
from pollenladder.service import leadership as leaderships

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Group:
    """One group of workers, as this daemon takes part in it.

    Attributes:
        engine: Schedules the group's jobs while this daemon is the owner.
        leadership: The ownership of the group.
    """

    engine: engines.Engine
    leadership: leaderships.Leadership


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the groups call.

    Attributes:
        build_group: Builds a group with a name. No owner is followed yet.
        on_change: Called after groups were added or removed.
    """

    build_group: Callable[[str], Group]
    on_change: Callable[[], None]


class Groups:
    """All groups of the current layout.

    Attributes:
        layout: The current layout; version 0 if none is known yet.
        groups: The groups by name.
    """

    def __init__(self, callbacks: Callbacks):
        self.layout = layouts.Layout()
        self.groups: dict[str, Group] = {}
        self._callbacks = callbacks
        self._listings: tuple[fleet.Listing, ...] = ()
        self._cold_starts: dict[str, float] = {}
        self._unguarded_services: frozenset[str] = frozenset()

    def apply_layout(self, layout: layouts.Layout) -> bool:
        """Apply a layout unless it is older; return whether it is new."""
        if layout.version <= self.layout.version:
            return False
        logs.log(
            LOGGER,
            "layout_changed",
            version=layout.version,
            before=self.layout.version,
            groups=layouts.list_groups(layout),
        )
        before = self.layout
        self.layout = layout
        self._update_groups()
        for name in layouts.list_shrunk_groups(before, layout):
            self.groups[name].engine.record_moved_workers()
        self._update_engines(False)
        return True

    def update_workers(
        self,
        listings: Iterable[fleet.Listing],
        is_full_list: bool,
    ) -> None:
        """Pass the list of workers to the engines of their groups.

        Args:
            listings: The listed workers.
            is_full_list: Whether the whole list has just been read.
        """
        self._listings = tuple(listings)
        self._update_engines(is_full_list)

    def update_evacuations(self) -> None:
        """Apply a change of the set of evacuated data centres."""
        for group in list(self.groups.values()):
            group.engine.update_evacuations()

    def update_services(
        self, cold_starts: dict[str, float], unguarded: frozenset[str]
    ) -> None:
        """Apply the services; see `maintenance.update_services`."""
        self._cold_starts = cold_starts
        self._unguarded_services = unguarded
        for group in list(self.groups.values()):
            group.engine.update_services(cold_starts, unguarded)

    def list_workers(self, group: str) -> list[fleet.Listing]:
        """Return the listed workers of a group."""
        return [
            listing
            for listing in self._listings
            if layouts.find_group(
                self.layout, listing.data_centre, listing.worker_id
            )
            == group
        ]

    def list_neighbourhoods(self) -> list[neighbourhood.Neighbourhood]:
        """Return what is known about interference in the groups owned."""
        regions = [group.engine.region for group in self.groups.values()]
        return [region.neighbourhood for region in regions if region]

    def list_regions(self) -> dict[str, tables.Region]:
        """Return the tables of the groups that this daemon owns, by name."""
        return {
            name: group.engine.region
            for name, group in self.groups.items()
            if group.engine.region is not None
        }

    def list_speeds(self) -> list[float]:
        """Return the learned speeds of the workers that this daemon owns."""
        return [
            speed
            for group in self.groups.values()
            for speed in group.engine.list_speeds()
        ]

    def count_stalled_runs(self) -> int:
        """Return the number of runs that were stopped as stalled."""
        return sum(group.engine.stalled_runs for group in self.groups.values())

    def get_epochs(self) -> dict[str, int]:
        """Return the epoch of this daemon's ownership of each owned group."""
        return {
            name: group.leadership.epoch
            for name, group in self.groups.items()
            if group.leadership.is_owner
        }

    def list_ownerless(self) -> list[str]:
        """Return the groups of which this daemon follows no owner."""
        return [
            name
            for name, group in self.groups.items()
            if not group.leadership.owner_id
        ]

    def record_epoch(self, name: str, epoch: int) -> None:
        """Record an epoch that an owner of a group has used."""
        found = self.groups.get(name)
        if found is not None:
            found.leadership.record_epoch(epoch)

    def record_fenced(self, name: str, worker_id: str) -> None:
        """Record that a worker has seen a higher epoch than its group's."""
        found = self.groups.get(name)
        if found is not None:
            found.leadership.record_fenced(worker_id)

    def _update_groups(self) -> None:
        names = layouts.list_groups(self.layout)
        # A new owner's epoch exceeds those of the groups that no longer exist.
        epoch = max(
            (g.leadership.highest_epoch for g in self.groups.values()),
            default=0,
        )
        added = {
            name: self._callbacks.build_group(name)
            for name in names
            if name not in self.groups
        }
        for name in self.groups.keys() - set(names):
            group = self.groups.pop(name)
            group.leadership.retire()
            group.engine.retire()
        for name, group in added.items():
            self.groups[name] = group
            group.leadership.record_epoch(epoch)
            group.engine.update_services(
                self._cold_starts, self._unguarded_services
            )
        self._callbacks.on_change()

    def _update_engines(self, is_full_list: bool) -> None:
        if not self.layout.version:
            return
        members: dict[str, list[fleet.Listing]] = {n: [] for n in self.groups}
        for listing in self._listings:
            name = layouts.find_group(
                self.layout, listing.data_centre, listing.worker_id
            )
            # The layout does not have a new data centre before it has workers.
            members.get(name, []).append(listing)
        capacities = _sum_capacities(self._listings)
        for name, listings in members.items():
            shares = {
                service: capacity / capacities[service]
                for service, capacity in _sum_capacities(listings).items()
                if capacity
            }
            try:
                self.groups[name].engine.update_workers(
                    listings, is_full_list, shares
                )
            except Exception:
                # The other groups go on, and the next read repeats this one.
                logs.log_failure(LOGGER, "worker_list", name)


def _sum_capacities(listings: Iterable[fleet.Listing]) -> dict[str, int]:
    """Return the CPU of all workers, in thousandths of a core, by service."""
    sums: dict[str, int] = {}
    for listing in listings:
        before = sums.get(listing.service, 0)
        sums[listing.service] = before + listing.capacity.cpu_milli
    return sums
