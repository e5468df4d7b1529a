"""Estimate the speed of each worker from completed runs.

The load that this answers: workers of one service differ in speed, so that a
run on a healthy worker may take more than twice as long as its siblings (the
other tasks of its job) on a faster one.

A speed of 1.0 is the average of the workers of a service. Speeds are estimated
as natural logarithms. An estimate is shrunk towards 1.0 until there is enough
evidence. Run times far beyond the range of speeds are the subject of `health`.
"""

from collections.abc import Collection
import math

from pollenladder.fleet import entities

MIN_SPEED = 0.4
MAX_SPEED = 2.5
# A speed within this range around 1.0 counts as 1.0, so that learning noise
# changes no decision among equal workers.
DEAD_BAND = 0.1
# Evidence is counted in comparisons with siblings. This much evidence for a
# speed of 1.0 is assumed at first. Tasks of one job differ by a sigma of 0.15,
# so the noise of an estimate then stays below half of the dead band.
PRIOR_EVIDENCE = 8.0
# Older evidence decays beyond this amount, so that estimates follow changes.
MAX_EVIDENCE = 60.0
# Bounds the influence of one run, as a natural logarithm. Single tasks may take
# many times as long as their siblings on any worker.
MAX_LOG_RESIDUAL = 0.9
# Weight of a run without siblings, which is compared with the expected run
# time. Declared run times are wrong by a sigma of 0.4, tasks of one job by 0.15.
DECLARED_WEIGHT = 0.15


def get_speed(estimate: entities.SpeedEstimate) -> float:
    """Return the speed that decisions use: exactly 1.0 in the dead band."""
    speed = get_learned_speed(estimate)
    return 1.0 if abs(speed - 1.0) <= DEAD_BAND else speed


def get_learned_speed(estimate: entities.SpeedEstimate) -> float:
    """Return the estimated speed, without a dead band."""
    return math.exp(estimate.log_speed)


def record_run(
    estimate: entities.SpeedEstimate, log_speed: float, weight: float
) -> None:
    """Update an estimate with the speed that one run shows.

    Args:
        estimate: The worker's estimate.
        log_speed: Natural logarithm of the run time on an average worker,
            divided by the measured run time.
        weight: Weight of this run; 1 for a comparison with several siblings.
    """
    residual = log_speed - estimate.log_speed
    residual = max(-MAX_LOG_RESIDUAL, min(MAX_LOG_RESIDUAL, residual))
    estimate.evidence = min(estimate.evidence + weight, MAX_EVIDENCE)
    share = weight / (PRIOR_EVIDENCE + estimate.evidence)
    _set_log_speed(estimate, estimate.log_speed + share * residual)


def centre(estimates: Collection[entities.SpeedEstimate]) -> None:
    """Shift the estimates of one service so that their average is 1.0.

    Comparisons between workers determine only the ratios of their speeds.
    Without this step, all estimates could drift together.
    """
    total = sum(estimate.evidence for estimate in estimates)
    if not total:
        return
    mean = sum(e.evidence * e.log_speed for e in estimates) / total
    for estimate in estimates:
        if estimate.evidence:
            _set_log_speed(estimate, estimate.log_speed - mean)


def _set_log_speed(estimate: entities.SpeedEstimate, log_speed: float) -> None:
    estimate.log_speed = max(
        math.log(MIN_SPEED), min(math.log(MAX_SPEED), log_speed)
    )
