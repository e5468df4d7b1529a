"""Determine on which daemons a version of the declarations is in force."""

from collections.abc import Iterable
import dataclasses

LEFT_STATE = "left"


@dataclasses.dataclass(frozen=True)
class DaemonView:
    """What one daemon reports about another daemon or about itself.

    Attributes:
        daemon: The id of the daemon that is reported on.
        data_centre: The data centre of that daemon.
        version: The last known version of the declarations in force on it.
        state: Its membership state. Daemons that have left are ignored.
        last_heard_s: Age of this information in seconds; 0 if the daemon
            reports about itself, infinite if nothing was ever received.
    """

    daemon: str
    data_centre: str
    version: int
    state: str
    last_heard_s: float


@dataclasses.dataclass(frozen=True)
class View:
    """What one daemon reports about all daemons.

    Attributes:
        daemons: What it reports about each daemon.
        unreachable_data_centres: The data centres that it can't reach.
    """

    daemons: tuple[DaemonView, ...]
    unreachable_data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Lagging:
    """A daemon or a data centre that is not known to have the version yet.

    Attributes:
        data_centre: The data centre.
        daemon: The daemon's id; empty for a data centre that is unreachable
            and of which no daemon is known.
        version: The last known version; 0 if none.
        last_heard_s: Age of this information in seconds.
    """

    data_centre: str
    daemon: str
    version: int
    last_heard_s: float


@dataclasses.dataclass(frozen=True)
class Spread:
    """On which daemons and in which data centres a version is in force.

    Attributes:
        daemons: Ids of the daemons with this version or a later one.
        data_centres: Data centres in which all daemons have it.
        lagging: The other daemons and data centres, sorted by data centre.
    """

    daemons: tuple[str, ...]
    data_centres: tuple[str, ...]
    lagging: tuple[Lagging, ...]

    @property
    def is_everywhere(self) -> bool:
        """Whether all daemons have the version, and there is at least one."""
        return bool(self.daemons) and not self.lagging


def measure_spread(views: Iterable[View], version: int) -> Spread:
    """Return where a version is in force, by the latest view of each daemon.

    The daemons of a data centre that is unreachable in all views count as
    lagging, even if their last known version is recent enough.
    """
    views = list(views)
    latest_views = _select_latest_views(views)
    unreachable = _find_unreachable_data_centres(views)
    up_to_date, lagging = [], []
    for daemon in latest_views:
        is_up_to_date = (
            daemon.version >= version and daemon.data_centre not in unreachable
        )
        (up_to_date if is_up_to_date else lagging).append(daemon)
    all_centres = {daemon.data_centre for daemon in latest_views}
    lagging_items = [
        Lagging(centre, "", 0, 0.0) for centre in unreachable - all_centres
    ]
    lagging_items += [
        Lagging(d.data_centre, d.daemon, d.version, d.last_heard_s)
        for d in lagging
    ]
    lagging_items.sort(key=lambda item: (item.data_centre, item.daemon))
    lagging_centres = {item.data_centre for item in lagging_items}
    return Spread(
        daemons=tuple(daemon.daemon for daemon in up_to_date),
        data_centres=tuple(sorted(all_centres - lagging_centres)),
        lagging=tuple(lagging_items),
    )


def _find_unreachable_data_centres(views: list[View]) -> set[str]:
    """Return the data centres that are unreachable in all views."""
    by_view = [set(view.unreachable_data_centres) for view in views]
    return set.intersection(*by_view) if by_view else set()


def _select_latest_views(views: list[View]) -> list[DaemonView]:
    """Return the latest view of each daemon that has not left, sorted by id.

    Of two views of the same age, the one with the lower version is returned.
    """
    latest: dict[str, DaemonView] = {}
    for daemon in (daemon for view in views for daemon in view.daemons):
        known = latest.setdefault(daemon.daemon, daemon)
        latest[daemon.daemon] = min(known, daemon, key=_get_age_and_version)
    return [
        latest[name]
        for name in sorted(latest)
        if latest[name].state != LEFT_STATE
    ]


def _get_age_and_version(daemon: DaemonView) -> tuple[float, int]:
    return daemon.last_heard_s, daemon.version
