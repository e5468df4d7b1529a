"""Limit the forecast lateness up to which jobs are admitted.

The limit matters when the load exceeds the capacity of the workers. Lateness is
measured as a share of a job's run time. As long as nearly all jobs that have to
wait start in time, jobs that are forecast to be slightly late are admitted too.
If more than `TARGET_LATE_SHARE` of the admitted jobs start late, each such
admission delays other jobs. Only waiting counts: a job that started in time and
then ran long does not show a lack of capacity (`scheduling.delays`). A number
from 0 to 1, the pressure, then rises. At high pressure, a job must be forecast
to end in time with a margin, and small jobs are preferred over large ones,
because this serves more callers. If a queue's large jobs are admitted much more
rarely than its others, large jobs are preferred instead.
"""

import dataclasses
import math

# Largest admissible lateness, as a share of run time, at pressure 0 and 1.
# Negative values require the job to be early.
RELAXED_LATENESS = 0.5
STRICT_LATENESS = -0.2
# Pressure added by a job that waited and started late.
PRESSURE_STEP = 0.03
# Share of late jobs at which pressure stays constant. A job that started in
# time, or did not have to wait, subtracts a matching amount. Of the jobs that start
# in time under overload, some still end late, as declared run times are far off;
# 0.08 and more admitted so many jobs that fewer were in time at twice the load.
TARGET_LATE_SHARE = 0.04
# How much the limit rises at pressure 1, as a share of run time, for each
# factor of e by which a job's work is below the average. For work above the
# average, it falls accordingly.
SIZE_WEIGHT = 0.4
# Weights of the newest job in the moving averages of work, of the share of all
# jobs that are admitted, and of the share of large jobs that are admitted.
WORK_LEARNING_RATE = 0.02
ALL_LEARNING_RATE = 0.03
LARGE_LEARNING_RATE = 0.09
# A job with more than this multiple of the average work is large.
LARGE_FACTOR = 1.3
# Ratio of the shares admitted, of large jobs and of all jobs, below which large
# jobs are preferred.
MIN_LARGE_ADMISSION_RATIO = 0.9
# Bounds the preference for large jobs, as a multiple of `SIZE_WEIGHT`.
MAX_LARGE_PREFERENCE = 3.0
# Lower bound of amounts of work and of admitted shares. Avoids a division by
# zero and the logarithm of zero.
EPSILON = 1e-9


@dataclasses.dataclass(slots=True)
class QueueSizes:
    """Sizes of a queue's jobs, and shares of them that are admitted.

    Attributes:
        average_work: Moving average of the work of its jobs.
        admitted_share: Moving average share of its jobs that are admitted.
        large_admitted_share: Moving average share of its large jobs that are
            admitted.
    """

    average_work: float
    admitted_share: float = 1.0
    large_admitted_share: float = 1.0


@dataclasses.dataclass(slots=True)
class AdmissionState:
    """State of admission control, derived from recent jobs.

    Attributes:
        pressure: 0 while jobs that wait start in time, up to 1 if many do not.
        sizes: Job sizes by queue.
    """

    pressure: float = 0.0
    sizes: dict[str, QueueSizes] = dataclasses.field(default_factory=dict)


def record_in_time(state: AdmissionState) -> None:
    """Record a job that did not have to wait, or started in time."""
    relief = PRESSURE_STEP * TARGET_LATE_SHARE / (1.0 - TARGET_LATE_SHARE)
    state.pressure = max(0.0, state.pressure - relief)


def record_late(state: AdmissionState) -> None:
    """Record a job that was admitted but started too late, or not at all."""
    state.pressure = min(1.0, state.pressure + PRESSURE_STEP)


def choose_max_lateness(
    state: AdmissionState, queue: str, work: float
) -> float:
    """Return the largest admissible lateness of a job.

    Args:
        state: The state of admission.
        queue: The job's queue.
        work: The job's expected work, in the same unit for all jobs of the
            queue.

    Returns:
        A share of the job's run time.
    """
    lateness = RELAXED_LATENESS + state.pressure * (
        STRICT_LATENESS - RELAXED_LATENESS
    )
    sizes = state.sizes.get(queue)
    if sizes is None:
        return lateness
    relative = max(work, EPSILON) / max(sizes.average_work, EPSILON)
    return lateness - state.pressure * _get_size_weight(sizes) * math.log(
        relative
    )


def record_decision(
    state: AdmissionState, queue: str, work: float, is_admitted: bool
) -> None:
    """Update a queue's averages with the admission decision on a job.

    This applies to all jobs, including those that did not have to wait.
    """
    sizes = state.sizes.get(queue)
    if sizes is None:
        sizes = state.sizes[queue] = QueueSizes(work)
    admitted = float(is_admitted)
    if work > LARGE_FACTOR * sizes.average_work:
        change = admitted - sizes.large_admitted_share
        sizes.large_admitted_share += LARGE_LEARNING_RATE * change
    sizes.admitted_share += ALL_LEARNING_RATE * (
        admitted - sizes.admitted_share
    )
    sizes.average_work += WORK_LEARNING_RATE * (work - sizes.average_work)


def _get_size_weight(sizes: QueueSizes) -> float:
    """Return the weight of job size; negative values prefer large jobs."""
    ratio = sizes.large_admitted_share / max(sizes.admitted_share, EPSILON)
    small_preference = (ratio - MIN_LARGE_ADMISSION_RATIO) / (
        1.0 - MIN_LARGE_ADMISSION_RATIO
    )
    return SIZE_WEIGHT * max(-MAX_LARGE_PREFERENCE, min(1.0, small_preference))
