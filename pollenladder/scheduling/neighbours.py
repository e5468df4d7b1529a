"""Learn from the runs of a region, and use what was learned.

Without a pair of kinds that slow each other down, and with the feature switched
off, all costs are 0 and all slowdowns 1.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import interference
from pollenladder.scheduling import interference_rows
from pollenladder.scheduling import neighbourhood
from pollenladder.scheduling import tables

# Runs that are compared for each job. More add cost, but little evidence.
MAX_SAMPLES = 12
# Interval between two jobs that are learned from. Bounds the cost to about 1% of
# a core; at 50 jobs a second, a pair among 12 kinds is found within a minute.
OBSERVATION_INTERVAL_S = 0.02
# Age at which the stored row is replaced even if the pairs are the same. Little
# evidence is lost with it, as it decays with a half-life of minutes.
ROW_INTERVAL_S = 30.0
# Cost of a slowdown by a factor of 2, in thousandths of a core. A task beside a
# neighbour with a factor of 1.5 in both directions is thus placed on an idle
# worker of 64 cores instead.
COST_MILLI = 64_000


def has_pairs(region: tables.Region) -> bool:
    """Return whether any known interference is to be taken into account."""
    return region.features.interference and bool(
        region.neighbourhood.model.pairs
    )


def record_end(
    region: tables.Region,
    worker: fleet.Worker,
    job: tables.Job,
    run: fleet.Run,
    now: float,
    get_speed: Callable[[str], float] = lambda worker_id: 1.0,
) -> None:
    """Learn from a completed run, once all tasks of its job are done.

    Must be called after the run was removed from its worker, and before the job
    is answered.

    Args:
        region: The region.
        worker: The run's worker.
        job: The run's job.
        run: The completed run.
        now: Monotonic time in seconds.
        get_speed: Returns the speed of a worker, given its id.
    """
    if not region.features.interference:
        return
    state = region.neighbourhood
    if job.is_observed is None:
        job.is_observed = now >= state.next_observed_at
        if job.is_observed:
            state.next_observed_at = now + OBSERVATION_INTERVAL_S
            job.samples = []
    if job.is_observed:
        _observe(region, worker, job, run, now, get_speed)
    if worker.runs:
        oldest = min([_get_begin(other) for other in worker.runs.values()])
    else:
        oldest = float("inf")
    neighbourhood.record_ended(
        state, run.worker_id, _build_neighbour(run, now), oldest
    )


def _observe(
    region: tables.Region,
    worker: fleet.Worker,
    job: tables.Job,
    run: fleet.Run,
    now: float,
    get_speed: Callable[[str], float],
) -> None:
    """Take a sample of a completed run; learn if the job is complete."""
    model = region.neighbourhood.model
    if run.is_start_known and len(job.samples) < MAX_SAMPLES:
        overlaps, cpu_milli = neighbourhood.measure_overlaps(
            _list_neighbours(region, worker, run, now), run.confirmed_at, now
        )
        job.samples.append(
            interference.Sample(
                run.worker_id,
                (now - run.confirmed_at) * get_speed(run.worker_id),
                overlaps,
                cpu_milli / max(1, worker.listing.capacity.cpu_milli),
            )
        )
    changes = []
    if job.is_complete():
        kind = job.submission.queue
        changes = interference.record_job(model, kind, job.samples, now)
    changes += interference.fit_next(model, now)
    for change in changes:
        name = "found" if change.is_found else "dropped"
        _log_change(region, change.kind, change.neighbour, name, change.pair)


def restore(
    region: tables.Region, row: object, now: float, age_s: float = 0.0
) -> None:
    """Continue with what an earlier owner learned.

    Args:
        region: The region.
        row: What `interference_rows.encode` returned.
        now: Monotonic time in seconds.
        age_s: Time since the row was encoded, in seconds.

    Raises:
        ValueError: The row is invalid; nothing has changed.
    """
    if region.features.interference:
        region.neighbourhood.model = interference_rows.decode(row, now, age_s)
        log_restored(region)


def get_row(region: tables.Region, now: float) -> dict[str, Any] | None:
    """Return what is to be stored for the next owner.

    The row is encoded again only after `ROW_INTERVAL_S` or after a pair was
    found or dropped, so that the row in the store rarely changes.

    Returns:
        Plain values for `restore`; None with the feature off, and before
        anything was learned.
    """
    state = region.neighbourhood
    if not region.features.interference or not state.model.evidence:
        return None
    pairs = frozenset(state.model.pairs)
    is_old = now >= state.row_encoded_at + ROW_INTERVAL_S
    if is_old or pairs != state.row_pairs:
        state.row = interference_rows.encode(state.model)
        state.row_encoded_at = now
        state.row_pairs = pairs
    return state.row


def log_restored(region: tables.Region) -> None:
    """Log the pairs with which a new owner starts."""
    for key, pair in region.neighbourhood.model.pairs.items():
        _log_change(region, *key, "restored", pair)


def _log_change(
    region: tables.Region,
    kind: str,
    neighbour: str,
    change: str,
    pair: interference.Pair,
) -> None:
    region.log_event(
        "interference_changed",
        group=region.group,
        queue=kind,
        neighbour=neighbour,
        change=change,
        slowdown=round(pair.slowdown, 3),
        lower_bound=round(pair.lower_bound, 3),
        overlap=round(pair.overlap, 1),
    )


def _get_begin(run: fleet.Run) -> float:
    return run.confirmed_at or run.sent_at


def _build_neighbour(
    run: fleet.Run, ended_at: float
) -> neighbourhood.Neighbour:
    return neighbourhood.Neighbour(
        run.kind, run.resources.cpu_milli, _get_begin(run), ended_at
    )


def _list_neighbours(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> Iterable[neighbourhood.Neighbour]:
    """Return other runs of a worker, in progress or recently ended."""
    yield from region.neighbourhood.ended.get(worker.listing.worker_id, ())
    for other in worker.runs.values():
        if other is not run:
            yield _build_neighbour(other, now)


def measure_slowdown(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> float:
    """Return the expected slowdown of a run by its neighbours until now."""
    if not has_pairs(region):
        return 1.0
    overlaps, _ = neighbourhood.measure_overlaps(
        _list_neighbours(region, worker, run, now), _get_begin(run), now
    )
    model = region.neighbourhood.model
    return interference.get_mean_slowdown(model, run.kind, overlaps)


def predict_slowdown(
    region: tables.Region, worker: fleet.Worker, kind: str
) -> float:
    """Return the expected slowdown of a new task beside a worker's runs."""
    if not has_pairs(region):
        return 1.0
    return interference.get_slowdown(
        region.neighbourhood.model,
        kind,
        (run.kind for run in worker.runs.values()),
    )


def compute_cost(
    region: tables.Region, worker: fleet.Worker, kind: str
) -> float:
    """Return the cost of the slowdowns that a new task suffers and causes.

    To be called only if `must_separate`.

    Returns:
        The cost in thousandths of a core; 0 without interference.
    """
    pairs = region.neighbourhood.model.pairs
    suffered = 1.0
    caused = 0.0
    for run in worker.runs.values():
        pair = pairs.get((kind, run.kind))
        if pair:
            suffered *= pair.slowdown
        pair = pairs.get((run.kind, kind))
        if pair:
            caused += pair.slowdown - 1.0
    return COST_MILLI * (suffered - 1.0 + caused)


def must_separate(region: tables.Region, kind: str, now: float) -> bool:
    """Return whether tasks of a kind should be kept apart from others.

    A kind whose tasks went to too few workers lately is placed as usual.
    """
    if not has_pairs(region):
        return False
    state = region.neighbourhood
    is_concerned = any(kind in pair for pair in state.model.pairs)
    return is_concerned and not neighbourhood.is_confined(state, kind, now)


def record_placement(
    region: tables.Region,
    job: tables.Job,
    worker: fleet.Worker,
    is_changed: bool,
    now: float,
) -> None:
    """Count a placement if any interference is known.

    Args:
        region: The region.
        job: The task's job.
        worker: The chosen worker.
        is_changed: Whether another worker was chosen because of interference.
        now: Monotonic time in seconds.
    """
    if not has_pairs(region):
        return
    state = region.neighbourhood
    state.changed_placements += is_changed
    neighbourhood.record_placement(
        state,
        job.submission.queue,
        worker.listing.worker_id,
        job.resources.cpu_milli * job.expected_s,
        now,
    )
