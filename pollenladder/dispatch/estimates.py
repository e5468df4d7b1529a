"""Run time estimates for each kind of task, learned from finished tasks."""

import dataclasses
import math

# Estimate for a kind of which no task has finished yet.
PRIOR_RUN_S = 0.5
# Least weight of a new run time in the moving average.
SMOOTHING = 0.05
# The prior counts as this many finished tasks.
PRIOR_WEIGHT = 5
# An older minimum no longer shows how fast a kind can run now.
MIN_RUN_VALID_S = 30.0


@dataclasses.dataclass
class Estimate:
    """The run times of one kind of task.

    Attributes:
        mean_s: Exponentially smoothed mean run time, in seconds.
        samples: Number of finished tasks.
        min_run_s: The shortest recent run time, in seconds.
        min_run_at: Monotonic time at which it was recorded, in seconds.
    """

    mean_s: float = PRIOR_RUN_S
    samples: int = 0
    min_run_s: float = 0.0
    min_run_at: float = -math.inf


@dataclasses.dataclass
class Estimates:
    """Estimates learned from finished tasks.

    Attributes:
        rows: Estimates by plan id and kind.
    """

    rows: dict[tuple[str, str], Estimate] = dataclasses.field(
        default_factory=dict
    )


def record_run(
    table: Estimates, plan_id: str, kind: str, run_s: float, now: float
) -> None:
    """Update the estimate of a kind with the run time of a finished task."""
    row = table.rows.setdefault((plan_id, kind), Estimate())
    row.samples += 1
    step = max(SMOOTHING, 1.0 / (row.samples + PRIOR_WEIGHT))
    row.mean_s += step * (run_s - row.mean_s)
    if run_s <= row.min_run_s or now - row.min_run_at > MIN_RUN_VALID_S:
        row.min_run_s, row.min_run_at = run_s, now


def estimate_run_s(table: Estimates, plan_id: str, kind: str) -> float:
    """Return the expected run time of a kind, in seconds."""
    row = table.rows.get((plan_id, kind))
    return row.mean_s if row else PRIOR_RUN_S


def get_recent_min_run_s(
    table: Estimates, plan_id: str, kind: str, now: float
) -> float:
    """Return the shortest recent run time, in seconds; 0 if there is none."""
    row = table.rows.get((plan_id, kind))
    if row is None or now - row.min_run_at > MIN_RUN_VALID_S:
        return 0.0
    return row.min_run_s
