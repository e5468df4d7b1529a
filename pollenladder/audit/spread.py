"""Judge whether a version is in force everywhere."""

from collections.abc import Iterable
import dataclasses

LEFT = "left"


@dataclasses.dataclass(frozen=True)
class DaemonView:
    """What one daemon says of another, or of itself.

    Attributes:
        daemon: The daemon's id.
        data_centre: Where it is.
        version: The declarations' version in force there, as last heard.
        state: Its membership state; one that has left is not waited for.
        last_heard_s: Seconds since it was heard of; 0 for itself, infinite
            for never.
    """

    daemon: str
    data_centre: str
    version: int
    state: str
    last_heard_s: float


@dataclasses.dataclass(frozen=True)
class View:
    """What one daemon says of the whole system."""

    daemons: tuple[DaemonView, ...]
    unreachable_data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Lagging:
    """A daemon, or a whole data centre, that is not known to be there yet.

    Attributes:
        data_centre: Where it is.
        daemon: The daemon's id; empty for a data centre that no one reaches.
        version: The version last heard of; 0 if none.
        last_heard_s: Seconds since it was heard of.
    """

    data_centre: str
    daemon: str
    version: int
    last_heard_s: float


@dataclasses.dataclass(frozen=True)
class Spread:
    """How far a version has come.

    Attributes:
        daemons: Daemons where it, or a later one, is in force.
        data_centres: Data centres all of whose daemons have it.
        lagging: The others, by data centre.
    """

    daemons: tuple[str, ...]
    data_centres: tuple[str, ...]
    lagging: tuple[Lagging, ...]

    @property
    def is_everywhere(self) -> bool:
        """Return whether every daemon has it, and there is a daemon."""
        return bool(self.daemons) and not self.lagging


def measure_spread(views: Iterable[View], version: int) -> Spread:
    """Return how far a version has come, by the freshest word on each daemon.

    A data centre that none of the views reaches counts as not there, whatever
    was last heard of its daemons.
    """
    views = list(views)
    freshest = _pick_freshest(views)
    cut = _find_unreached(views)
    there, lagging = [], []
    for daemon in freshest:
        is_there = daemon.version >= version and daemon.data_centre not in cut
        (there if is_there else lagging).append(daemon)
    known = {daemon.data_centre for daemon in freshest}
    missing = [Lagging(centre, "", 0, 0.0) for centre in cut - known]
    missing += [
        Lagging(d.data_centre, d.daemon, d.version, d.last_heard_s)
        for d in lagging
    ]
    missing.sort(key=lambda item: (item.data_centre, item.daemon))
    behind = {item.data_centre for item in missing}
    return Spread(
        daemons=tuple(daemon.daemon for daemon in there),
        data_centres=tuple(sorted(known - behind)),
        lagging=tuple(missing),
    )


def _find_unreached(views: list[View]) -> set[str]:
    """Return the data centres that every view calls unreachable."""
    each = [set(view.unreachable_data_centres) for view in views]
    return set.intersection(*each) if each else set()


def _pick_freshest(views: list[View]) -> list[DaemonView]:
    """Return the freshest view of each daemon that has not left, by id.

    Of two equally fresh ones the lower version counts.
    """
    best: dict[str, DaemonView] = {}
    for daemon in (daemon for view in views for daemon in view.daemons):
        known = best.setdefault(daemon.daemon, daemon)
        best[daemon.daemon] = min(known, daemon, key=_rank_view)
    return [best[name] for name in sorted(best) if best[name].state != LEFT]


def _rank_view(daemon: DaemonView) -> tuple[float, int]:
    return daemon.last_heard_s, daemon.version
