"""Correct declared run times by what tasks of the same queue took."""

import dataclasses
import math

# Weight of the newest task in the running mean.
LEARNING_RATE = 0.03
# One task says little: its own run time varies by more than the bias.
MAX_LOG_RATIO = 2.0


@dataclasses.dataclass
class Estimates:
    """How far off the declared run times are.

    Attributes:
        log_bias: Mean logarithm of measured by declared time, by queue.
    """

    log_bias: dict[str, float] = dataclasses.field(default_factory=dict)


def predict_run_s(own: Estimates, queue: str, declared_s: float) -> float:
    """Return the expected run time of a task on a sound worker, in seconds."""
    return declared_s * math.exp(own.log_bias.get(queue, 0.0))


def record_run(
    own: Estimates, queue: str, declared_s: float, measured_s: float
) -> None:
    """Learn from a task that a sound worker has completed."""
    if declared_s <= 0 or measured_s <= 0:
        return
    ratio = math.log(measured_s / declared_s)
    ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
    bias = own.log_bias.get(queue, 0.0)
    own.log_bias[queue] = bias + LEARNING_RATE * (ratio - bias)
