"""Share jobs between the groups of workers.

Each group has an owner with a queue of its own. A job first goes to the group
that its id hashes to, so that a job that is submitted again, through any
gateway, meets the first submission. A group that refuses a job has not begun
it, so the gateway may send the job to another one (`group_retries`), by the loads
that the owners report: a group of its own data centre with room, then another one
with room, and only if none has any, the one that is expected to have room first.
Until the gateway has an answer, the groups that refused the job remember that it
may run elsewhere.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import zlib

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import warmup
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import candidates
from pollenladder.scheduling import tables

# Share of a group's capacity that a gateway of the same data centre leaves free
# for jobs that are on their way from other gateways.
RESERVED_SHARE = 0.05
_BUCKETS = 1 << 32


def measure_loads(
    region: tables.Region, now: float
) -> dict[str, fleet.ServiceLoad]:
    """Return the load of an owner's workers, by service."""
    capacity: dict[str, int] = {}
    free: dict[str, int] = {}
    for worker in region.workers.values():
        if not candidates.is_available(worker, now):
            continue
        service = worker.listing.service
        capacity[service] = (
            capacity.get(service, 0) + worker.listing.capacity.cpu_milli
        )
        usable = warmup.compute_free(worker, now)
        free[service] = free.get(service, 0) + max(0, usable.cpu_milli)
    waiting: dict[str, float] = {}
    for job_id in region.waiting:
        job = region.jobs[job_id]
        if job.is_deferred and not job.has_begun:
            # Jobs that can be in time do not wait for it.
            continue
        tasks = len(job.list_waiting_tasks())
        work = tasks * job.resources.cpu_milli * job.expected_s
        service = job.submission.service
        waiting[service] = waiting.get(service, 0.0) + work
    return {
        service: fleet.ServiceLoad(
            total, free[service], waiting.get(service, 0.0)
        )
        for service, total in capacity.items()
    }


def rank_groups(job_id: str, groups: Iterable[str]) -> list[str]:
    """Return the groups in the order in which a job may first go to them.

    The first one is the job's home group. Without some group, only the jobs of
    that group go to other ones.
    """
    return sorted(
        groups,
        key=lambda name: (zlib.crc32(f"{name} {job_id}".encode()), name),
        reverse=True,
    )


def choose_first_group(job_id: str, groups: Iterable[str]) -> str:
    """Return the home group of a job, or "" if there are no groups."""
    return next(iter(rank_groups(job_id, groups)), "")


def choose_group(
    submission: jobs.Submission,
    loads: Mapping[str, fleet.ServiceLoad],
    local: frozenset[str],
    needs_room: bool = False,
) -> str:
    """Return the group for a job that others refused, or "" if none suits.

    Args:
        submission: The job.
        loads: The load of the job's service in the groups to choose from.
        local: The groups of the gateway's own data centre.
        needs_room: Whether to choose only a group with room for the whole job.
    """
    roomy = list_with_room(submission, loads)
    nearby = {name: free for name, free in roomy.items() if name in local}
    if nearby or roomy:
        return _draw(submission.job_id, nearby or roomy)
    if needs_room or not loads:
        return ""
    needed = submission.tasks * submission.cpu_milli
    return min(
        loads,
        key=lambda name: (
            _estimate_wait_s(loads[name], needed),
            name not in local,
            name,
        ),
    )


def list_with_room(
    submission: jobs.Submission, loads: Mapping[str, fleet.ServiceLoad]
) -> dict[str, int]:
    """Return the free CPU of the groups that report room for a whole job.

    Args:
        submission: The job.
        loads: The load of the job's service, by group.

    Returns:
        Thousandths of a core, by group.
    """
    needed = submission.tasks * submission.cpu_milli
    return {
        name: load.free_milli
        for name, load in loads.items()
        if not load.waiting_milli_s
        and load.free_milli >= needed + RESERVED_SHARE * load.capacity_milli
    }


def _estimate_wait_s(load: fleet.ServiceLoad, needed_milli: int) -> float:
    """Return the time until all waiting work has started, roughly.

    A group without waiting jobs is preferred by its free share.
    """
    if not load.capacity_milli:
        return math.inf
    missing = max(0, needed_milli - load.free_milli) / load.capacity_milli
    return load.waiting_milli_s / load.capacity_milli + missing


def _draw(job_id: str, weights: Mapping[str, int]) -> str:
    """Draw a group by the job's id, with probabilities in proportion."""
    names = sorted(weights)
    position = zlib.crc32(job_id.encode()) / _BUCKETS * sum(weights.values())
    for name in names:
        position -= weights[name]
        if position < 0:
            return name
    return names[-1]
