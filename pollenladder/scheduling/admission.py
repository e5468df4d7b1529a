"""Decide whether a job is admitted, by how late it would be.

Answers load beyond what the workers can do. A job on the edge is tried, as long as
nearly all jobs that have to wait end in time. If more of them do not, what is
admitted on the edge takes the place of others: then a job has to be in time with
some margin, and a small one may wait longer than a large one, as more callers are
served that way. If large jobs of a queue are admitted much more seldom than its
others, it is the other way round.
"""

import dataclasses
import math

# How late a job may be, as a part of its run time, without pressure and with all.
LOOSE_EXCESS = 0.5
STRICT_EXCESS = -0.5
# What a job that waited and was late adds to the pressure. One that was in time,
# or found room at once, takes back so much that this share of late ones keeps it.
PRESSURE_STEP = 0.03
LATE_SHARE = 0.15
# How much more excess is allowed to a job with 1 / e of the usual work.
SIZE_WEIGHT = 0.4
# The usual work, and the shares admitted, are means of about so many jobs.
WORK_LEARNING_RATE = 0.02
ALL_LEARNING_RATE = 0.03
LARGE_LEARNING_RATE = 0.09
# A job with so many times the usual work is a large one.
LARGE_FACTOR = 1.5
# Large jobs are admitted this often at least, compared with all; see
# `_weigh_size`.
LARGE_SHARE = 0.9
MAX_FAVOUR = 3.0
MIN_WORK = 1e-9


@dataclasses.dataclass(slots=True)
class QueueSizes:
    """The sizes of a queue's jobs, and which are admitted.

    Attributes:
        usual_work: Running mean of the work of its jobs.
        admitted_all: Running share of its jobs that are admitted.
        admitted_large: The same of its large jobs.
    """

    usual_work: float
    admitted_all: float = 1.0
    admitted_large: float = 1.0


@dataclasses.dataclass(slots=True)
class Admission:
    """What is known of the load.

    Attributes:
        pressure: 0 while those who wait are in time, up to 1 if they are not.
        sizes: By queue.
    """

    pressure: float = 0.0
    sizes: dict[str, QueueSizes] = dataclasses.field(default_factory=dict)


def record_in_time(own: Admission) -> None:
    """Note a job that found room at once, or waited and was in time."""
    relief = PRESSURE_STEP * LATE_SHARE / (1.0 - LATE_SHARE)
    own.pressure = max(0.0, own.pressure - relief)


def record_late(own: Admission) -> None:
    """Note a job that was admitted, waited, and was late or given up."""
    own.pressure = min(1.0, own.pressure + PRESSURE_STEP)


def choose_excess(own: Admission, queue: str, work: float) -> float:
    """Return how late a job may be, as a part of its run time.

    Args:
        own: What is known of the load.
        queue: The job's queue.
        work: Its expected work, in any unit that is the same for all its jobs.
    """
    excess = LOOSE_EXCESS + own.pressure * (STRICT_EXCESS - LOOSE_EXCESS)
    sizes = own.sizes.get(queue)
    if sizes is None:
        return excess
    relative = max(work, MIN_WORK) / max(sizes.usual_work, MIN_WORK)
    return excess - own.pressure * _weigh_size(sizes) * math.log(relative)


def record_decision(
    own: Admission, queue: str, work: float, is_admitted: bool
) -> None:
    """Note whether a job was admitted."""
    sizes = own.sizes.get(queue)
    if sizes is None:
        sizes = own.sizes[queue] = QueueSizes(work)
    admitted = float(is_admitted)
    if work > LARGE_FACTOR * sizes.usual_work:
        change = admitted - sizes.admitted_large
        sizes.admitted_large += LARGE_LEARNING_RATE * change
    sizes.admitted_all += ALL_LEARNING_RATE * (admitted - sizes.admitted_all)
    sizes.usual_work += WORK_LEARNING_RATE * (work - sizes.usual_work)


def _weigh_size(sizes: QueueSizes) -> float:
    """Return how much smaller jobs are preferred; negative for larger ones."""
    ratio = sizes.admitted_large / max(sizes.admitted_all, MIN_WORK)
    favour = (ratio - LARGE_SHARE) / (1.0 - LARGE_SHARE)
    return SIZE_WEIGHT * max(-MAX_FAVOUR, min(1.0, favour))
