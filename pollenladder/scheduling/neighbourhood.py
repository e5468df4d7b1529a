"""What ran beside what on each worker, and where each kind was placed."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import NamedTuple

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
# Interval between two searches for confined kinds, as a search visits all
# workers in use.
CONFINED_CHECK_INTERVAL_S = 0.5


class Neighbour(NamedTuple):
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
        next_observed_at: When another job may be observed.
        changed_placements: Number of tasks that were placed on another worker
            than without the model.
        row: What was last encoded for the store.
        row_encoded_at: When `row` was encoded.
        row_pairs: The pairs in `row`.
        confined: Kinds whose tasks went to too few workers lately.
        confined_checked_at: When `confined` was determined.
        window: Placements since the window began.
        last_window: Placements in the window before.
    """

    model: interference.Model = dataclasses.field(
        default_factory=interference.Model
    )
    ended: dict[str, collections.deque[Neighbour]] = dataclasses.field(
        default_factory=dict
    )
    next_observed_at: float = float("-inf")
    changed_placements: int = 0
    row: dict[str, Any] | None = None
    row_encoded_at: float = float("-inf")
    row_pairs: frozenset[tuple[str, str]] = frozenset()
    confined: frozenset[str] = frozenset()
    confined_checked_at: float = float("-inf")
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
    if oldest_began_at >= ended.ended_at:
        state.ended.pop(worker_id, None)
        return
    kept = state.ended.get(worker_id)
    if kept is None:
        kept = state.ended[worker_id] = collections.deque(maxlen=MAX_ENDED_RUNS)
    while kept and kept[0].ended_at <= oldest_began_at:
        kept.popleft()
    kept.append(ended)


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
    # `min` and `max` would take most of the time of this loop.
    for kind, neighbour_cpu_milli, begin, end in neighbours:
        if end <= began_at or begin >= ended_at:
            continue
        first = began_at if begin < began_at else begin
        last = ended_at if end > ended_at else end
        share = (last - first) / took_s
        cpu_milli += share * neighbour_cpu_milli
        if kind:
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


def is_confined(state: Neighbourhood, kind: str, now: float) -> bool:
    """Return whether a kind's tasks went to too few workers lately.

    Its fair share of the workers in use is its share of the work.
    """
    if now >= state.confined_checked_at + CONFINED_CHECK_INTERVAL_S:
        state.confined_checked_at = now
        confined = _find_confined(state.last_window) - {
            kind
            for kind, placements in state.window.placements.items()
            if placements >= MIN_PLACEMENTS
        }
        state.confined = frozenset(confined | _find_confined(state.window))
    return kind in state.confined


def _find_confined(window: _Window) -> set[str]:
    in_use = len(set().union(*window.workers.values()))
    total = sum(window.work.values()) or 1.0
    return {
        kind
        for kind, placements in window.placements.items()
        if placements >= MIN_PLACEMENTS
        and len(window.workers[kind])
        < CONFINED_SHARE * in_use * window.work[kind] / total
    }
