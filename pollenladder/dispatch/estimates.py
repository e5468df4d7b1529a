"""Run times learned for each kind of task."""

import dataclasses

PRIOR_RUN_S = 0.5
SMOOTHING = 0.05
PRIOR_WEIGHT = 5


@dataclasses.dataclass
class Estimate:
    """What has been seen of one kind.

    Attributes:
        mean_s: Smoothed mean of run times, in seconds.
        seen: Tasks seen so far.
    """

    mean_s: float = PRIOR_RUN_S
    seen: int = 0


@dataclasses.dataclass
class Estimates:
    """Estimates by plan and kind, learned from finished tasks only."""

    rows: dict[tuple[str, str], Estimate] = dataclasses.field(
        default_factory=dict
    )


def record_run(table: Estimates, plan_id: str, kind: str, run_s: float) -> None:
    """Learn from one finished task."""
    row = table.rows.setdefault((plan_id, kind), Estimate())
    row.seen += 1
    step = max(SMOOTHING, 1.0 / (row.seen + PRIOR_WEIGHT))
    row.mean_s += step * (run_s - row.mean_s)


def estimate_run_s(table: Estimates, plan_id: str, kind: str) -> float:
    """Return the run time to expect, in seconds, whatever callers declare."""
    row = table.rows.get((plan_id, kind))
    return row.mean_s if row else PRIOR_RUN_S
