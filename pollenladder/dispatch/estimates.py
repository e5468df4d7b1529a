"""Run times learned for each kind of task."""

import dataclasses
import math

PRIOR_RUN_S = 0.5
SMOOTHING = 0.05
PRIOR_WEIGHT = 5
# What was seen longer ago says nothing of what cannot run now.
LEAST_VALID_S = 30.0


@dataclasses.dataclass
class Estimate:
    """What has been seen of one kind.

    Attributes:
        mean_s: Smoothed mean of run times, in seconds.
        seen: Tasks seen so far.
        least_s: The shortest run time lately, in seconds.
        least_at: When that was seen.
    """

    mean_s: float = PRIOR_RUN_S
    seen: int = 0
    least_s: float = 0.0
    least_at: float = -math.inf


@dataclasses.dataclass
class Estimates:
    """Estimates by plan and kind, learned from finished tasks only."""

    rows: dict[tuple[str, str], Estimate] = dataclasses.field(
        default_factory=dict
    )


def record_run(
    table: Estimates, plan_id: str, kind: str, run_s: float, now: float
) -> None:
    """Learn from one finished task."""
    row = table.rows.setdefault((plan_id, kind), Estimate())
    row.seen += 1
    step = max(SMOOTHING, 1.0 / (row.seen + PRIOR_WEIGHT))
    row.mean_s += step * (run_s - row.mean_s)
    if run_s <= row.least_s or now - row.least_at > LEAST_VALID_S:
        row.least_s, row.least_at = run_s, now


def estimate_run_s(table: Estimates, plan_id: str, kind: str) -> float:
    """Return the run time to expect, in seconds, whatever callers declare."""
    row = table.rows.get((plan_id, kind))
    return row.mean_s if row else PRIOR_RUN_S


def get_least_run_s(
    table: Estimates, plan_id: str, kind: str, now: float
) -> float:
    """Return what a run took at least lately, in seconds; 0 if unknown."""
    row = table.rows.get((plan_id, kind))
    if row is None or now - row.least_at > LEAST_VALID_S:
        return 0.0
    return row.least_s
