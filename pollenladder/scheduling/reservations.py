"""Tell gateways, as the registrar of their jobs, which group may execute a job."""

from pollenladder.jobs import doubts
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import places
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables


def reserve(
    region: tables.Region,
    job_id: str,
    attempt: int,
    group: str,
    budget_s: float,
    is_there: bool,
    now: float,
) -> places.Reservation:
    """Tell, as the registrar of a job, which group may execute it.

    Args:
        region: The region of the registrar.
        job_id: The job.
        attempt: Number of the attempt.
        group: The group that its gateway wants to send it to.
        budget_s: Time left until its deadline, in seconds.
        is_there: Whether that group has the job already.
        now: Monotonic time in seconds.
    """
    found = places.Reservation(group, is_first=True)
    if not is_there:
        found = _find_place(region, job_id, attempt, found, now)
    elif _is_known_elsewhere(region, job_id, attempt, group, now):
        # Both groups may execute the job, so the later attempt ends.
        known = region.places.find(job_id, now)
        return places.Reservation(known.group, is_first=False)
    # Late copies of the job go where its runs or its answer may be.
    lease_s = region.max_lease_s * (1 + runs.MAX_CLOCK_DRIFT)
    until = now + budget_s + max(lease_s, job_ends.ANSWER_RETENTION_S)
    place = places.Place(found.group, until, frozenset({attempt}))
    region.places.record(job_id, place, now)
    return found


def _is_known_elsewhere(
    region: tables.Region, job_id: str, attempt: int, group: str, now: float
) -> bool:
    """Return whether only other attempts of a job are known, in another group."""
    known = region.places.find(job_id, now)
    if known is None or known.group == group:
        return False
    return attempt not in known.attempts


def _find_place(
    region: tables.Region,
    job_id: str,
    attempt: int,
    wanted: places.Reservation,
    now: float,
) -> places.Reservation:
    """Return where another attempt of a job may be, or else what is wanted."""
    known = region.places.find(job_id, now)
    if known is not None and known.attempts != {attempt}:
        doubt = doubts.Doubt.SECOND_ATTEMPT
        attempt_doubts.record_doubt(region, job_id, doubt, now)
        return places.Reservation(known.group, is_first=False)
    if known is None and _may_be_here(region, job_id, now):
        return places.Reservation(region.group, is_first=False)
    return wanted


def _may_be_here(region: tables.Region, job_id: str, now: float) -> bool:
    """Return whether the registrar's own group has, had or refused a job."""
    refusal = region.refusals.get(job_id)
    return (
        job_id in region.jobs
        or job_id in region.recent_ends
        or runs.has_runs(region, job_id)
        or (refusal is not None and now < refusal.until)
    )
