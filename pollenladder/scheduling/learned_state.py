"""What an owner has learned, for the next owner of its group.

An owner may be lost or hand over while workers differ in speed. Without this state,
the next owner would move healthy runs on slow workers until it has learned the
speeds anew.

The state is bounded and holds no job. A new owner works without it.
"""

from collections.abc import Mapping
import dataclasses
import math

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import speeds
from pollenladder.jobs import durations
from pollenladder.scheduling import tables

# Older states are ignored: workers and load may have changed.
MAX_AGE_S = 600.0
# Bounds the size of the state. An owner has at most 161 workers.
MAX_WORKERS = 200
MAX_QUEUES = 64
# A change of a speed or a quantile by less than this factor, as a natural
# logarithm, is no reason to write the state again.
CHANGE_STEP = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedState:
    """What an owner has learned.

    Attributes:
        learned_at_s: Wall-clock time at which it was learned, in seconds.
        speeds: Speeds by worker id.
        durations: Counts of the histogram of run times, by queue.
        interference: State of the detection of tasks that slow each other
            down, as it was passed in.
    """

    learned_at_s: float
    speeds: Mapping[str, fleet.LearnedSpeed]
    durations: Mapping[str, tuple[float, ...]]
    interference: object = None


def capture(
    region: tables.Region, wall_s: float, interference: object = None
) -> LearnedState:
    """Return what an owner has learned so far."""
    known = [w for w in region.workers.values() if w.speed.evidence]
    known.sort(key=lambda worker: -worker.speed.evidence)
    queues = [
        (queue, distribution)
        for queue, distribution in region.estimates.distributions.items()
        if distribution.samples >= durations.MIN_SAMPLES
    ]
    queues.sort(key=lambda item: -item[1].samples)
    return LearnedState(
        learned_at_s=wall_s,
        speeds={
            worker.listing.worker_id: fleet.LearnedSpeed(
                worker.started_ms,
                round(worker.speed.log_speed, 3),
                round(worker.speed.evidence, 1),
            )
            for worker in known[:MAX_WORKERS]
        },
        durations={
            queue: tuple(round(count, 1) for count in distribution.counts)
            for queue, distribution in queues[:MAX_QUEUES]
        },
        interference=interference,
    )


def is_worth_writing(state: LearnedState, written: LearnedState | None) -> bool:
    """Return whether a state differs enough from the one that was written."""
    if written is None:
        return bool(state.speeds or state.durations or state.interference)
    if state.interference != written.interference:
        return True
    if any(
        abs(learned.log_speed - _get_log_speed(written, worker_id))
        > CHANGE_STEP
        for worker_id, learned in state.speeds.items()
    ):
        return True
    return any(
        _differ(counts, written.durations.get(queue))
        for queue, counts in state.durations.items()
    )


def is_recent(state: LearnedState, wall_s: float) -> bool:
    """Return whether a new owner may start from a state."""
    return 0.0 <= wall_s - state.learned_at_s <= MAX_AGE_S


def restore(region: tables.Region, state: LearnedState) -> None:
    """Let a new owner start with the speeds and run times of a state.

    A worker's speed is applied at its first poll, which tells whether its
    process is still the same. Queues that are known already are left alone.
    """
    if not region.features.speeds:
        return
    region.inherited_speeds = dict(state.speeds)
    for queue, counts in state.durations.items():
        if queue in region.estimates.distributions:
            continue
        if len(counts) == durations.BUCKETS and _are_valid(counts):
            region.estimates.distributions[queue] = _restore_counts(counts)
    for worker in region.workers.values():
        apply_inherited_speed(region, worker)


def apply_inherited_speed(region: tables.Region, worker: fleet.Worker) -> None:
    """Apply the inherited speed of a worker that has been polled.

    It is ignored if the process of the worker is another one, or if speeds
    have been learned for the worker here.
    """
    worker_id = worker.listing.worker_id
    if not worker.started_ms or worker_id not in region.inherited_speeds:
        return
    learned = region.inherited_speeds.pop(worker_id)
    if learned.started_ms != worker.started_ms or worker.speed.evidence:
        return
    if not _are_valid((learned.evidence, abs(learned.log_speed))):
        return
    log_speed = max(math.log(speeds.MIN_SPEED), learned.log_speed)
    log_speed = min(math.log(speeds.MAX_SPEED), log_speed)
    evidence = min(learned.evidence, speeds.MAX_EVIDENCE)
    worker.speed = fleet.SpeedEstimate(log_speed, evidence)


def _get_log_speed(state: LearnedState, worker_id: str) -> float:
    learned = state.speeds.get(worker_id)
    return learned.log_speed if learned else 0.0


def _differ(
    counts: tuple[float, ...], written: tuple[float, ...] | None
) -> bool:
    """Return whether two histograms lead to different decisions."""
    if written is None:
        return True
    new, old = _restore_counts(counts), _restore_counts(written)
    if new.has_long_tail != old.has_long_tail:
        return True
    # Without enough samples, there is no median.
    if not new.median or not old.median:
        return new.median != old.median
    return abs(math.log(new.median / old.median)) > CHANGE_STEP


def _restore_counts(counts: tuple[float, ...]) -> durations.Distribution:
    found = durations.Distribution(list(counts), sum(counts))
    durations.refresh(found)
    return found


def _are_valid(values: tuple[float, ...]) -> bool:
    return all(math.isfinite(value) and value >= 0 for value in values)
