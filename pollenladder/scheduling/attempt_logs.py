"""Log the records of attempts whose place was in doubt."""

from pollenladder.jobs import doubts
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempt_records
from pollenladder.scheduling import tables


def write(region: tables.Region, now: float) -> None:
    """Log as many records as the rate allows, and how many were omitted."""
    attempt_doubts.check_runs(region, now)
    queue = region.attempt_records.queue
    for record in queue.take(now):
        attempt_doubts.update_lease(region, record)
        for attempt in record.attempts.values():
            if attempt.found_doubts:
                _log_attempt(region, record, attempt, now)
    omitted = queue.take_omitted()
    if omitted:
        region.log_event("attempt_records_omitted", records=omitted)


def _log_attempt(
    region: tables.Region,
    record: attempt_records.JobRecord,
    attempt: attempt_records.AttemptRecord,
    now: float,
) -> None:
    lease_ago_s = doubts.format_age(record.lease_until, now)
    region.log_event(
        "attempt_at_owner",
        job=record.job_id,
        attempt=attempt.number,
        gateway=attempt.gateway_id,
        group=region.group,
        epoch=record.epoch,
        origin=attempt.origin.value,
        doubts=doubts.format_doubts(attempt.found_doubts, now),
        arrived_ago_s=doubts.format_age(attempt.arrived_at, now),
        forwarded_ago_s=doubts.format_age(attempt.forwarded_at, now),
        heard_ago_s=doubts.format_age(_find_heard_at(region, attempt), now),
        removed_ago_s=doubts.format_age(attempt.removed_at, now),
        removal=attempt.removal,
        attempts=len(record.attempts),
        starts=record.starts,
        first_start_ago_s=doubts.format_age(record.first_start_at, now),
        first_worker=record.first_worker,
        first_run=record.first_run,
        last_start_ago_s=doubts.format_age(record.last_start_at, now),
        last_worker=record.last_worker,
        last_run=record.last_run,
        runs=len(region.runs.get(record.job_id, ())),
        lease_left_s=None if lease_ago_s is None else -lease_ago_s,
        runs_over_ago_s=doubts.format_age(record.runs_over_at, now),
        ended_ago_s=doubts.format_age(record.ended_at, now),
        outcome=record.outcome,
        reason=record.reason,
    )


def _find_heard_at(
    region: tables.Region, attempt: attempt_records.AttemptRecord
) -> float | None:
    """Return when an attempt's gateway was last heard, also before its removal."""
    if attempt.heard_at is not None:
        return attempt.heard_at
    return region.gateways_heard_at.get(attempt.gateway_id)
