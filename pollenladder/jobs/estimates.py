"""Correct the run times that callers declare.

The correction is learned from the measured run times of the same queue.
"""

import dataclasses
import math

from pollenladder.jobs import durations

# Weight of the newest task in the moving average.
LEARNING_RATE = 0.03
# Bounds the influence of one task, as the natural logarithm of measured run
# time divided by declared run time. One task says little about the bias of its
# queue, because the run times of single tasks vary by more than that bias.
MAX_LOG_RATIO = 2.0


@dataclasses.dataclass
class Estimates:
    """Bias of the declared run times.

    Attributes:
        log_bias: Moving average of the natural logarithm of measured run time
            divided by declared run time, by queue.
        distributions: Distribution of measured run time divided by declared run
            time, by queue.
    """

    log_bias: dict[str, float] = dataclasses.field(default_factory=dict)
    distributions: dict[str, durations.Distribution] = dataclasses.field(
        default_factory=dict
    )


def predict_run_s(estimates: Estimates, queue: str, declared_s: float) -> float:
    """Return a task's expected run time on a healthy worker, in seconds.

    In a queue with a long tail, the median is used, because the few long tasks
    shift the average.
    """
    tail = find_long_tail(estimates, queue)
    if tail is not None:
        return declared_s * tail.median
    return declared_s * math.exp(estimates.log_bias.get(queue, 0.0))


def record_run(
    estimates: Estimates, queue: str, declared_s: float, measured_s: float
) -> None:
    """Update a queue's bias with a task that a healthy worker completed."""
    if declared_s <= 0 or measured_s <= 0:
        return
    log_ratio = math.log(measured_s / declared_s)
    log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
    bias = estimates.log_bias.get(queue, 0.0)
    estimates.log_bias[queue] = bias + LEARNING_RATE * (log_ratio - bias)


def record_duration(
    estimates: Estimates, queue: str, declared_s: float, measured_s: float
) -> None:
    """Add a completed task to the distribution of its queue's run times."""
    if declared_s <= 0:
        return
    found = estimates.distributions.setdefault(queue, durations.Distribution())
    durations.record(found, measured_s / declared_s)


def find_long_tail(
    estimates: Estimates, queue: str
) -> durations.Distribution | None:
    """Return the distribution of a queue's run times if it has a long tail."""
    found = estimates.distributions.get(queue)
    return found if found is not None and found.has_long_tail else None
