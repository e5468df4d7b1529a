"""What ran beside what on each worker, and where each kind was placed."""

from collections.abc import Iterable
import dataclasses

from pollenladder.scheduling import interference

# Ended runs kept for each worker. A long run may end after some dozen short
# neighbours; older ones are then missing from its overlaps.
MAX_ENDED_RUNS = 128
# Time over which the workers that got tasks of a kind are counted.
WINDOW_S = 5.0
# A kind is confined if its tasks went to fewer than this share of its fair
# share of the workers in use.
CONFINED_SHARE = 0.5
# Placements of a kind below which it is not considered confined.
MIN_PLACEMENTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A run beside another one. Times are monotonic, in seconds.

    Attributes:
        kind: The kind of its task; empty if unknown.
        cpu_milli: CPU that it occupies, in thousandths of a core.
        began_at: When it began.
        ended_at: When it ended; now, if it is in progress.
    """

    kind: str
    cpu_milli: int
    began_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class _Window:
    """Placements within one window of time."""

    began_at: float
    workers: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    placements: dict[str, int] = dataclasses.field(default_factory=dict)
    work: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Neighbourhood:
    """State of an owner about runs that are neighbours.

    Attributes:
        model: What was learned.
        ended: Recently ended runs by worker id, in order of their ends, while
            another run on the worker began before their end.
        changed_placements: Number of tasks that were placed on another worker
            than without the model.
        window: Placements since the window began.
        last_window: Placements in the window before.
    """

    model: interference.Model = dataclasses.field(
        default_factory=interference.Model
    )
    ended: dict[str, list[Neighbour]] = dataclasses.field(default_factory=dict)
    changed_placements: int = 0
    window: _Window = dataclasses.field(
        default_factory=lambda: _Window(float("-inf"))
    )
    last_window: _Window = dataclasses.field(
        default_factory=lambda: _Window(float("-inf"))
    )


def record_ended(
    state: Neighbourhood,
    worker_id: str,
    ended: Neighbour,
    oldest_began_at: float,
) -> None:
    """Keep an ended run, and delete those that overlap no run in progress.

    Args:
        state: The state.
        worker_id: The worker.
        ended: The ended run.
        oldest_began_at: When the oldest run in progress on the worker began;
            infinite if there is none.
    """
    kept = [
        neighbour
        for neighbour in (*state.ended.get(worker_id, ()), ended)
        if neighbour.ended_at > oldest_began_at
    ]
    if kept:
        state.ended[worker_id] = kept[-MAX_ENDED_RUNS:]
    else:
        state.ended.pop(worker_id, None)


def measure_overlaps(
    neighbours: Iterable[Neighbour], began_at: float, ended_at: float
) -> tuple[dict[str, float], float]:
    """Return the mean neighbours of a run.

    Returns:
        The mean number of neighbours of each known kind, and the mean CPU of
        all neighbours, in thousandths of a core.
    """
    took_s = ended_at - began_at
    overlaps: dict[str, float] = {}
    cpu_milli = 0.0
    if took_s <= 0:
        return overlaps, cpu_milli
    for neighbour in neighbours:
        common_s = min(ended_at, neighbour.ended_at) - max(
            began_at, neighbour.began_at
        )
        if common_s <= 0:
            continue
        share = common_s / took_s
        cpu_milli += share * neighbour.cpu_milli
        if neighbour.kind:
            kind = neighbour.kind
            overlaps[kind] = overlaps.get(kind, 0.0) + share
    return overlaps, cpu_milli


def record_placement(
    state: Neighbourhood, kind: str, worker_id: str, work: float, now: float
) -> None:
    """Count a placement of a task.

    Args:
        state: The state.
        kind: The kind of the task.
        worker_id: The chosen worker.
        work: The task's expected work, in any unit.
        now: Monotonic time in seconds.
    """
    if now >= state.window.began_at + WINDOW_S:
        state.last_window, state.window = state.window, _Window(now)
    window = state.window
    window.workers.setdefault(kind, set()).add(worker_id)
    window.placements[kind] = window.placements.get(kind, 0) + 1
    window.work[kind] = window.work.get(kind, 0.0) + work


def is_confined(state: Neighbourhood, kind: str) -> bool:
    """Return whether a kind's tasks went to too few workers lately.

    Its fair share of the workers in use is its share of the work.
    """
    window = state.window
    if window.placements.get(kind, 0) < MIN_PLACEMENTS:
        window = state.last_window
    if window.placements.get(kind, 0) < MIN_PLACEMENTS:
        return False
    in_use = len(set().union(*window.workers.values()))
    share = window.work[kind] / (sum(window.work.values()) or 1.0)
    return len(window.workers[kind]) < CONFINED_SHARE * share * in_use
