"""The two measures, and what is reported beside them.

Defined in `docs/topics/measures.md`.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

from hdrh import histogram

from bench import callers

LATE_RATIO = 1.5
RATIO_SCALE = 1000
MAX_RATIO = 10_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Ratios:
    """Response over ideal of a set of answers.

    Attributes:
        answers: Number of complete answers.
        p50: The median.
        p99: The 99th percentile.
        late_share: The part above `LATE_RATIO`.
    """

    answers: int
    p50: float
    p99: float
    late_share: float


def compute_ratio(
    outcome: callers.Outcome, ideal_s: float, latency_s: float
) -> float:
    """Return response over ideal.

    Args:
        outcome: A complete answer.
        ideal_s: The job's response time in the replay.
        latency_s: One way between caller and daemon.
    """
    return outcome.response_s / (ideal_s + 2 * latency_s)


def summarize_ratios(ratios: Sequence[float]) -> Ratios:
    """Return the percentiles of response over ideal."""
    histo = histogram.HdrHistogram(
        1, MAX_RATIO * RATIO_SCALE, SIGNIFICANT_DIGITS
    )
    for ratio in ratios:
        scaled = min(ratio, MAX_RATIO) * RATIO_SCALE
        histo.record_value(max(1, round(scaled)))
    late = sum(ratio > LATE_RATIO for ratio in ratios)
    return Ratios(
        answers=len(ratios),
        p50=histo.get_value_at_percentile(50) / RATIO_SCALE,
        p99=histo.get_value_at_percentile(99) / RATIO_SCALE,
        late_share=round(late / len(ratios), 4) if ratios else 0.0,
    )


def count_outcomes(outcomes: Iterable[callers.Outcome]) -> dict[str, int]:
    """Return jobs by outcome, tasks, crossed answers and partial ones."""
    counts = {
        "jobs": 0,
        "tasks": 0,
        "complete": 0,
        "failed": 0,
        "refused": 0,
        "closed": 0,
        "lost": 0,
        "error": 0,
        "crossed": 0,
        "partial": 0,
    }
    for outcome in outcomes:
        counts["jobs"] += 1
        counts["tasks"] += outcome.tasks
        counts[outcome.outcome] += 1
        counts["crossed"] += outcome.crossed
        counts["partial"] += outcome.partial
    return counts


def compute_useful_share(
    outcomes: Iterable[callers.Outcome], slots: int, span_s: float
) -> float:
    """Return the run times of complete jobs as a part of the capacity."""
    useful_ms = sum(
        outcome.work_ms for outcome in outcomes if outcome.outcome == "complete"
    )
    return useful_ms / 1000 / (slots * span_s)


def compute_fair_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return each customer's max-min fair part of a capacity.

    Args:
        demands: Offered work by customer.
        capacity: In the same unit.
    """
    shares: dict[str, float] = {}
    left = capacity
    waiting = sorted(demands.items(), key=lambda item: item[1])
    for position, (customer_id, demand) in enumerate(waiting):
        shares[customer_id] = min(demand, left / (len(waiting) - position))
        left -= shares[customer_id]
    return shares


def summarize_fairness(
    outcomes: Sequence[callers.Outcome], slots: int, span_s: float
) -> dict[str, dict[str, float]]:
    """Return work offered, complete and fair by customer, in slots."""
    offered: dict[str, float] = {}
    complete: dict[str, float] = {}
    for outcome in outcomes:
        name, work = outcome.customer_id, outcome.work_ms / 1000 / span_s
        offered[name] = offered.get(name, 0) + work
        done = work if outcome.outcome == "complete" else 0
        complete[name] = complete.get(name, 0) + done
    fair = compute_fair_shares(offered, slots)
    return {
        name: {
            "offered": round(offered[name], 2),
            "complete": round(complete[name], 2),
            "fair": round(fair[name], 2),
            "complete_over_fair": round(complete[name] / fair[name], 3),
        }
        for name in sorted(offered)
    }


def summarize_refusals(outcomes: Sequence[callers.Outcome]) -> dict[str, Any]:
    """Return how fast refusals came and whether each says when to retry."""
    refused = [one for one in outcomes if one.outcome == "refused"]
    times_s = sorted(one.response_s for one in refused)
    reasons: dict[str, int] = {}
    for one in refused:
        reasons[one.reason] = reasons.get(one.reason, 0) + 1
    return {
        "refused": len(refused),
        "p50_s": round(_pick(times_s, 0.5), 4),
        "p99_s": round(_pick(times_s, 0.99), 4),
        "max_s": round(_pick(times_s, 1.0), 4),
        "without_retry_after": sum(
            one.retry_after_s is None for one in refused
        ),
        "reasons": reasons,
    }


def summarize_messages(
    daemon_messages: dict[str, float],
    endpoint_replies: float,
    jobs: int,
    tasks: int,
) -> dict[str, Any]:
    """Return wasted messages a task.

    Args:
        daemon_messages: Messages sent by daemons, by kind.
        endpoint_replies: Messages sent by endpoints.
        jobs: Jobs submitted; each is one message of its caller and an answer.
        tasks: Tasks answered.
    """
    sent = sum(daemon_messages.values()) + endpoint_replies
    needed = 2 * jobs + 2 * tasks
    count = max(1, tasks)
    kinds = {
        kind: round(number / count, 4)
        for kind, number in sorted(daemon_messages.items())
        if number
    }
    return {
        "wasted_per_task": round((sent + jobs - needed) / count, 4),
        "by_kind_per_task": kinds,
        "endpoint_replies_per_task": round(endpoint_replies / count, 4),
    }


def _pick(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
