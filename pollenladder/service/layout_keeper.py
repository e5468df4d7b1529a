"""Choose the layout of groups, and adapt it when the workers need more."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from pollenladder.cluster import groups
from pollenladder.cluster import roster as rosters
from pollenladder.fleet import entities as fleet


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the keeper calls.

    Attributes:
        get_layout: Returns the current layout.
        apply_layout: Applies a layout unless it is older than the current one.
        write_layout: Stores a layout in place of the row with the version that
            was read, 0 if there was none.
        list_workers: Returns the listed workers.
        is_keeper: Returns whether this daemon adapts the layout.
    """

    get_layout: Callable[[], groups.Layout]
    apply_layout: Callable[[groups.Layout], None]
    write_layout: Callable[[groups.Layout, int], None]
    list_workers: Callable[[], Iterable[fleet.Listing]]
    is_keeper: Callable[[], bool]


class LayoutKeeper:
    """Follows the stored layout, and replaces it if it no longer suffices."""

    def __init__(
        self,
        own_id: str,
        processor_cores: float,
        roster: rosters.Roster,
        callbacks: Callbacks,
    ):
        self._own_id = own_id
        self._processor_cores = processor_cores
        self._roster = roster
        self._callbacks = callbacks

    def update(self, stored: groups.Layout, row_version: int) -> None:
        """Apply the stored layout, and store a new one if it is needed.

        The new one is applied once it has been read back, so that of several
        daemons that store one, all apply the same.

        Args:
            stored: The layout in the store; version 0 if there is none.
            row_version: The version of its row; 0 if there is none.
        """
        if stored.version:
            self._callbacks.apply_layout(stored)
        if not self._may_choose(stored):
            return
        # The row may be lost or invalid while a layout is in force.
        newest = max(stored, self._callbacks.get_layout(), key=_get_version)
        chosen = self._choose(newest)
        if chosen != stored:
            self._callbacks.write_layout(chosen, row_version)

    def needs_change(self) -> bool:
        """Return whether this daemon is to replace the current layout."""
        layout = self._callbacks.get_layout()
        if not layout.version or not self._callbacks.is_keeper():
            return False
        return self._choose(layout) != layout

    def _choose(self, layout: groups.Layout) -> groups.Layout:
        """Return the layout that the workers need, or the given one."""
        counts: dict[str, int] = {}
        for listing in self._callbacks.list_workers():
            before = counts.get(listing.data_centre, 0)
            counts[listing.data_centre] = before + 1
        if not counts:
            return layout
        return groups.choose_layout(layout, counts, self._find_owner_cores())

    def _may_choose(self, stored: groups.Layout) -> bool:
        """Return whether this daemon chooses the layout.

        The first one is chosen by the daemon with the smallest id that is
        linked.
        """
        if stored.version or self._callbacks.get_layout().version:
            return self._callbacks.is_keeper()
        linked = self._roster.list_linked()
        return all(self._own_id < daemon_id for daemon_id in linked)

    def _find_owner_cores(self) -> float:
        """Return the largest processor capacity of a daemon, in cores."""
        linked = self._roster.list_linked().values()
        return max(
            [self._processor_cores, *(view.processor_cores for view in linked)]
        )


def _get_version(layout: groups.Layout) -> int:
    return layout.version
