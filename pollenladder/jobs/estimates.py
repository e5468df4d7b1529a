"""Correct the run times that callers declare.

The correction is learned from the measured run times of the same queue: a bias,
and how far a declared run time that differs from the usual one can be trusted.
If declared run times vary more than measured ones, much of the difference is an
error of the caller, and the expected run time is moved towards the usual one.

A caller may declare no run time. Its jobs are then expected to take as long as the
last ones of their queue without one. They teach nothing about declared run times.
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
# Weight of the newest task in the moments of the regression.
REGRESSION_RATE = 0.003
# Number of tasks after which a regression counts for half.
REGRESSION_HALF_TASKS = 50.0
# Smallest variance of the logarithm of declared run times from which anything
# is learned; a spread of 5%.
MIN_VARIANCE = 0.0025
# Run time that is assumed for jobs without a declared one while none of the queue
# has been measured, in seconds.
UNDECLARED_RUN_S = 0.25
# Measured tasks without a declared run time from which a run can be told to be
# unusually long.
MIN_UNDECLARED_TASKS = 20
# A run of a job without a declared run time is unusual beyond this number of standard
# deviations of the logarithm.
UNUSUAL_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class Regression:
    """Regression of the log ratio on the log of the declared run time.

    The log ratio is the natural logarithm of measured run time divided by
    declared run time.

    Attributes:
        tasks: Number of tasks recorded.
        mean_declared: Moving average of the log of the declared run time.
        mean_ratio: Moving average of the log ratio.
        variance: Moving variance of the log of the declared run time.
        covariance: Moving covariance of the two.
    """

    tasks: int = 0
    mean_declared: float = 0.0
    mean_ratio: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def record(self, log_declared: float, log_ratio: float) -> None:
        """Add a task."""
        self.tasks += 1
        rate = max(REGRESSION_RATE, 1.0 / self.tasks)
        declared = log_declared - self.mean_declared
        ratio = log_ratio - self.mean_ratio
        self.mean_declared += rate * declared
        self.mean_ratio += rate * ratio
        self.variance += rate * ((1 - rate) * declared**2 - self.variance)
        self.covariance += rate * (
            (1 - rate) * declared * ratio - self.covariance
        )

    def predict_log_ratio(self, log_declared: float) -> float:
        """Return how far the log ratio differs from its mean.

        The slope is between -1, if declared run times say nothing about single
        jobs, and 0, if they are as good for unusual jobs as for others.
        """
        if self.variance < MIN_VARIANCE:
            return 0.0
        slope = max(-1.0, min(0.0, self.covariance / self.variance))
        slope *= self.tasks / (self.tasks + REGRESSION_HALF_TASKS)
        return slope * (log_declared - self.mean_declared)


@dataclasses.dataclass(slots=True)
class UndeclaredRuns:
    """Measured run times of the tasks of a queue without a declared one.

    Attributes:
        tasks: Number of tasks recorded.
        mean: Moving average of the natural logarithm of the run time in seconds.
        variance: Moving variance of the logarithm.
    """

    tasks: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def record(self, measured_s: float) -> None:
        """Add a task."""
        self.tasks += 1
        rate = max(LEARNING_RATE, 1.0 / self.tasks)
        deviation = math.log(measured_s) - self.mean
        self.mean += rate * deviation
        self.variance += rate * ((1 - rate) * deviation**2 - self.variance)

    def get_usual_s(self) -> float:
        """Return the usual run time, in seconds."""
        return math.exp(self.mean)

    def get_longest_usual_s(self) -> float:
        """Return the run time beyond which a run is unusual, in seconds."""
        deviation = math.sqrt(max(0.0, self.variance))
        return math.exp(self.mean + UNUSUAL_DEVIATIONS * deviation)


@dataclasses.dataclass
class Estimates:
    """What is known about run times, by queue.

    Attributes:
        log_bias: Moving average of the natural logarithm of measured run time
            divided by declared run time, by queue.
        regressions: How the ratio depends on the declared run time, by queue.
        distributions: Distribution of measured run time divided by declared run
            time, by queue.
        undeclared: Measured run times of tasks without a declared one, by queue.
    """

    log_bias: dict[str, float] = dataclasses.field(default_factory=dict)
    regressions: dict[str, Regression] = dataclasses.field(default_factory=dict)
    distributions: dict[str, durations.Distribution] = dataclasses.field(
        default_factory=dict
    )
    undeclared: dict[str, UndeclaredRuns] = dataclasses.field(
        default_factory=dict
    )


def assume_run_s(declared_s: float) -> float:
    """Return the run time that is assumed before any was measured, in seconds.

    Args:
        declared_s: The declared run time, in seconds; 0 if there is none.
    """
    return declared_s if declared_s > 0 else UNDECLARED_RUN_S


def predict_run_s(estimates: Estimates, queue: str, declared_s: float) -> float:
    """Return a task's expected run time on a healthy worker, in seconds.

    In a queue with a long tail, the median is used, because the few long tasks
    shift the average.

    Args:
        estimates: What is known about run times.
        queue: The queue.
        declared_s: The declared run time, in seconds; 0 if there is none.

    Returns:
        Seconds, more than 0.
    """
    if declared_s <= 0:
        runs = estimates.undeclared.get(queue)
        return runs.get_usual_s() if runs else UNDECLARED_RUN_S
    tail = find_long_tail(estimates, queue)
    if tail is not None:
        return declared_s * tail.median
    log_ratio = estimates.log_bias.get(queue, 0.0)
    regression = estimates.regressions.get(queue)
    if regression is not None:
        log_ratio += regression.predict_log_ratio(math.log(declared_s))
    return declared_s * math.exp(log_ratio)


def find_longest_usual_s(
    estimates: Estimates, queue: str, declared_s: float, expected_s: float
) -> float | None:
    """Return the longest run time of a task that is not unusual, in seconds.

    Args:
        estimates: What is known about run times.
        queue: The queue.
        declared_s: The declared run time, in seconds; 0 if there is none.
        expected_s: The expected run time, in seconds.

    Returns:
        The expected run time if one is declared. Otherwise, None until enough
        tasks have been measured.
    """
    if declared_s > 0:
        return expected_s
    runs = estimates.undeclared.get(queue)
    if runs is None or runs.tasks < MIN_UNDECLARED_TASKS:
        return None
    return runs.get_longest_usual_s()


def record_run(
    estimates: Estimates, queue: str, declared_s: float, measured_s: float
) -> None:
    """Learn from a task that a healthy worker completed.

    Args:
        estimates: What is known about run times.
        queue: The queue.
        declared_s: The declared run time, in seconds; 0 if there is none.
        measured_s: The measured run time on an average worker, in seconds.
    """
    if measured_s <= 0:
        return
    if declared_s <= 0:
        estimates.undeclared.setdefault(queue, UndeclaredRuns()).record(
            measured_s
        )
        return
    log_ratio = math.log(measured_s / declared_s)
    log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
    bias = estimates.log_bias.get(queue, 0.0)
    estimates.log_bias[queue] = bias + LEARNING_RATE * (log_ratio - bias)
    regression = estimates.regressions.setdefault(queue, Regression())
    regression.record(math.log(declared_s), log_ratio)


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
