"""The two main measures of a run and its other statistics.

They are defined in `docs/topics/measures.md`.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

from hdrh import histogram

from bench import callers

LATE_RATIO = 1.5
# The histogram stores integers, so ratios are stored in thousandths.
RATIO_SCALE = 1000
MAX_RATIO = 10_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True)
class Ratios:
    """Ratios of response time to ideal response time of a set of answers.

    Attributes:
        answers: Number of complete answers.
        p50: Median ratio.
        p99: 99th percentile of the ratio.
        late_share: Fraction of the answers above `LATE_RATIO`.
    """

    answers: int
    p50: float
    p99: float
    late_share: float


def compute_ratio(
    outcome: callers.Outcome, ideal_s: float, latency_s: float
) -> float:
    """Return the ratio of response time to ideal response time.

    Args:
        outcome: Outcome of a complete job.
        ideal_s: Response time in the ideal schedule, in seconds.
        latency_s: One-way latency between caller and daemon, in seconds.
    """
    return outcome.response_s / (ideal_s + 2 * latency_s)


def summarize_ratios(ratios: Sequence[float]) -> Ratios:
    """Return the percentiles of response time ratios."""
    hdr_histogram = histogram.HdrHistogram(
        1, MAX_RATIO * RATIO_SCALE, SIGNIFICANT_DIGITS
    )
    for ratio in ratios:
        scaled = min(ratio, MAX_RATIO) * RATIO_SCALE
        hdr_histogram.record_value(max(1, round(scaled)))
    late = sum(ratio > LATE_RATIO for ratio in ratios)
    return Ratios(
        answers=len(ratios),
        p50=hdr_histogram.get_value_at_percentile(50) / RATIO_SCALE,
        p99=hdr_histogram.get_value_at_percentile(99) / RATIO_SCALE,
        late_share=round(late / len(ratios), 4) if ratios else 0.0,
    )


def count_outcomes(outcomes: Iterable[callers.Outcome]) -> dict[str, int]:
    """Count jobs by outcome, tasks, crossed results and partial answers."""
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
    """Return the run time of complete jobs as a fraction of the capacity."""
    useful_ms = sum(
        outcome.work_ms for outcome in outcomes if outcome.outcome == "complete"
    )
    return useful_ms / 1000 / (slots * span_s)


def compute_fair_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return each customer's max-min fair share of a capacity.

    Args:
        demands: Offered work by customer.
        capacity: Capacity in the same unit.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    waiting = sorted(demands.items(), key=lambda item: item[1])
    for position, (customer_id, demand) in enumerate(waiting):
        shares[customer_id] = min(demand, remaining / (len(waiting) - position))
        remaining -= shares[customer_id]
    return shares


def summarize_fairness(
    outcomes: Sequence[callers.Outcome], slots: int, span_s: float
) -> dict[str, dict[str, float]]:
    """Return the offered, completed and fair work by customer, in slots."""
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
    """Return the response times and reasons of refusals.

    Refusals without a `Retry-After` header are counted.
    """
    refused = [one for one in outcomes if one.outcome == "refused"]
    times_s = sorted(one.response_s for one in refused)
    reasons: dict[str, int] = {}
    for one in refused:
        reasons[one.reason] = reasons.get(one.reason, 0) + 1
    return {
        "refused": len(refused),
        "p50_s": round(_get_quantile(times_s, 0.5), 4),
        "p99_s": round(_get_quantile(times_s, 0.99), 4),
        "max_s": round(_get_quantile(times_s, 1.0), 4),
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
    """Return the number of unnecessary messages per task.

    Each job needs a request and an answer, and each task a start and a reply.

    Args:
        daemon_messages: Number of messages sent by daemons, by kind.
        endpoint_replies: Number of messages sent by endpoints.
        jobs: Number of jobs submitted, each with one message of its caller.
        tasks: Number of tasks answered.
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


def _get_quantile(sorted_values: Sequence[float], fraction: float) -> float:
    if not sorted_values:
        return 0.0
    return sorted_values[
        min(len(sorted_values) - 1, int(fraction * len(sorted_values)))
    ]
