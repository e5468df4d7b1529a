"""Choose workers that are fast enough for a job to be in time.

The load that this answers: with workers of speed 0.7 and 1.7, a long job ends
after its objective or the caller's deadline on a slow worker, although a fast
one has room.
"""

from pollenladder.scheduling import tables

# Cost of a worker that lacks speed, and again for each unit of speed that it
# lacks, in thousandths of a core. More than the capacity of most workers, so that
# being in time comes before keeping capacity free for wide tasks.
LACKING_SPEED_COST_MILLI = 100_000
# Expected run times are wrong by a log-normal factor with sigma 0.4. The objective
# changes with the true run time and needs only a small margin. The caller's
# deadline does not; its margin covers 99 of 100 run times.
OBJECTIVE_MARGIN = 1.1
DEADLINE_MARGIN = 2.5
# Avoids a division by zero if no time is left.
MIN_LEFT_S = 0.001


def compute_needed_speed(
    region: tables.Region, job: tables.Job, now: float
) -> float:
    """Return the speed at which a task that starts now is in time.

    Returns:
        At most the speed of the fastest worker; 0 if all are equal.
    """
    if region.fastest_speed <= 1.0 or not region.features.speeds:
        return 0.0
    start = now + tables.OVERHEAD_S
    objective_s = max(MIN_LEFT_S, job.objective_at - start)
    deadline_s = max(MIN_LEFT_S, job.deadline_at - start)
    needed = job.expected_s * max(
        OBJECTIVE_MARGIN / objective_s, DEADLINE_MARGIN / deadline_s
    )
    return min(needed, region.fastest_speed)


def compute_cost(needed_speed: float, speed: float) -> float:
    """Return the cost of a worker's lack of speed, in thousandths of a core."""
    if needed_speed <= speed:
        return 0.0
    return LACKING_SPEED_COST_MILLI * (1.0 + needed_speed - speed)
