"""Record what becomes of attempts, and when their place has become doubtful.

Two owners may execute the same job if they do not know of each other. Afterwards, each of
them must tell what it knew of the job, however busy its log was.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_records
from pollenladder.scheduling import attempts
from pollenladder.scheduling import tables

# An attempt that comes within this time after the end of an earlier one of the same
# job is told with it.
RECENT_END_S = 10.0
# A lost link may have been silent for so long before it was closed. An attempt that
# ended meanwhile may have lost its caller.
SILENCE_S = 3.0
# Jobs that were admitted longer ago are not told when a link is lost.
MAX_OPEN_S = 30.0
# The runs of a job without attempts should be over within this time.
RUNS_LEFT_S = 1.0
_REMOVAL_DOUBTS = {
    jobs.Reason.MOVED: doubts.Doubt.MOVED,
    jobs.Reason.GATEWAY_LOST: doubts.Doubt.GATEWAY_LOST,
    jobs.Reason.ANSWERED_ELSEWHERE: doubts.Doubt.ANSWERED_ELSEWHERE,
}


def record_admission(
    region: tables.Region, job: tables.Job, now: float
) -> None:
    """Record that a job is admitted, or is again after its owner's next claim."""
    records = region.attempt_records
    records.latest_at = now
    submission = job.submission
    earlier = records.find(submission.job_id)
    if earlier is not None and earlier.ended_at is None:
        earlier.epoch = region.epoch
        job.record = earlier
        records.add_job_doubt(earlier, doubts.Doubt.CLAIMED_AGAIN, now)
        return
    origin = attempt_records.Origin.NEW
    if submission.may_have_begun:
        origin = attempt_records.Origin.FORWARDED_AGAIN
    job.record = _add_record(region, submission.job_id, job.attempts, origin)
    if earlier is not None and _is_recent(earlier, now):
        _tell_second_attempt(region, earlier, job.record, now)
    if submission.may_have_begun:
        doubt = doubts.Doubt.FORWARDED_AGAIN
        records.add_job_doubt(job.record, doubt, now)


def record_answered_at_once(
    region: tables.Region,
    job_id: str,
    open_attempts: dict[int, attempts.Attempt],
    now: float,
) -> None:
    """Record attempts of a job that has ended or may run elsewhere."""
    records = region.attempt_records
    records.latest_at = now
    record = records.find(job_id)
    if record is None:
        record = _add_record(
            region, job_id, {}, attempt_records.Origin.ANSWERED
        )
        record.ended_at = now
    for attempt in open_attempts.values():
        known = record.attempts.get(attempt.number)
        if known is None:
            origin = attempt_records.Origin.ANSWERED
            _add_attempt(region, record, attempt, origin)
        else:
            # It is forwarded again, as its answer may be lost.
            known.forwarded_at = now
    if len(record.attempts) > 1 or job_id in region.refusals:
        records.add_job_doubt(record, doubts.Doubt.SECOND_ATTEMPT, now)


def record_join(
    region: tables.Region,
    job: tables.Job,
    attempt: attempts.Attempt,
    previous: attempts.Attempt | None,
    now: float,
) -> None:
    """Record that an attempt of a job in progress was forwarded here.

    Args:
        region: The region.
        job: The job.
        attempt: The attempt.
        previous: The attempt as it was forwarded before, or None.
        now: Monotonic time in seconds.
    """
    record = job.record
    if record is None:
        return
    records = region.attempt_records
    records.latest_at = now
    known = record.attempts.get(attempt.number)
    if known is None:
        origin = attempt_records.Origin.JOINED
        known = _add_attempt(region, record, attempt, origin)
        records.add_job_doubt(record, doubts.Doubt.SECOND_ATTEMPT, now)
    known.forwarded_at = now
    known.removed_at = known.removal = known.heard_at = None
    if previous is None:
        return
    next_first_run = previous.first_run + jobs.RUN_NUMBERS_PER_FORWARD
    if attempt.first_run > next_first_run:
        doubt = doubts.Doubt.FORWARDED_AGAIN
        records.add_doubt(record, known, doubt, now)


def record_link_change(
    region: tables.Region,
    job: tables.Job,
    attempt: attempts.Attempt,
    now: float,
) -> None:
    """Record that the link to an attempt's gateway has changed."""
    record = job.record
    known = record.attempts.get(attempt.number) if record else None
    doubt = doubts.Doubt.LINK_CHANGED
    if known is not None and doubt not in (known.found_doubts or ()):
        region.attempt_records.add_doubt(record, known, doubt, now)


def record_lost_peer(region: tables.Region, now: float) -> None:
    """Record that the link to any other daemon was lost.

    The jobs that were open since the link may have been silent may start under another
    owner, if that daemon does not follow this one any more.
    """
    doubt = doubts.Doubt.PEER_LOST
    records = region.attempt_records
    for record in records.list_added_since(now - MAX_OPEN_S):
        is_open = record.ended_at is None
        if not is_open and now > record.ended_at + SILENCE_S:
            continue
        for attempt in record.attempts.values():
            if doubt not in (attempt.found_doubts or ()):
                records.add_doubt(record, attempt, doubt, now)


def record_removal(
    region: tables.Region,
    job: tables.Job,
    attempt: attempts.Attempt,
    reason: jobs.Reason,
    now: float,
) -> None:
    """Record that an attempt was removed from its job."""
    record = job.record
    known = record.attempts.get(attempt.number) if record else None
    if known is None:
        return
    known.removed_at = now
    known.removal = reason.value
    known.heard_at = job.served_at
    doubt = _REMOVAL_DOUBTS.get(reason)
    if doubt is not None:
        region.attempt_records.add_doubt(record, known, doubt, now)
    elif job.attempts:
        region.attempt_records.tell_change(record)


def record_end(
    region: tables.Region,
    job: tables.Job,
    outcome: jobs.Outcome,
    reason: jobs.Reason,
    now: float,
) -> None:
    """Record that a job has ended, before the records of its runs are deleted."""
    record = job.record
    if record is None:
        return
    record.ended_at = now
    record.outcome = outcome.value
    record.reason = reason.value
    records = region.attempt_records
    if record.job_id in region.runs:
        update_lease(region, record)
        records.watch_runs(record)
    if reason is jobs.Reason.DEADLINE and job.has_begun:
        records.add_job_doubt(record, doubts.Doubt.DEADLINE, now)
    else:
        records.tell_change(record)


def record_unclaimed_run(
    region: tables.Region, run: fleet.Run, now: float
) -> None:
    """Record that a run was found that no job here needs."""
    records = region.attempt_records
    job_id = jobs.parse_job_id(run.task)
    record = records.find(job_id)
    if record is None:
        origin = attempt_records.Origin.UNKNOWN
        record = attempt_records.JobRecord(job_id, region.epoch, now, {})
        attempt_records.add_attempt(
            record,
            attempt_records.AttemptRecord(0, "", origin, now, now),
        )
        record.ended_at = now
        record.last_worker = run.worker_id
        record.last_run = run.number
        records.add(record)
        records.watch_runs(record)
    records.add_job_doubt(record, doubts.Doubt.RUN_UNCLAIMED, now)


def record_adoption(region: tables.Region, job: tables.Job) -> None:
    """Record that a job has a run that this owner has not started."""
    if job.record is not None:
        records = region.attempt_records
        doubt = doubts.Doubt.RUN_ADOPTED
        records.add_job_doubt(job.record, doubt, records.latest_at)


def record_doubt(
    region: tables.Region, job_id: str, doubt: doubts.Doubt, now: float
) -> None:
    """Record a doubt about a job that has just come to this owner."""
    record = region.attempt_records.find(job_id)
    if record is not None and job_id in region.jobs:
        region.attempt_records.add_job_doubt(record, doubt, now)


def record_rebuilt(region: tables.Region, job: tables.Job, now: float) -> None:
    """Record that a job does not go on after its owner has claimed again."""
    record = job.record
    if record is None or job.submission.job_id in region.jobs:
        return
    if record.ended_at is None:
        record.ended_at = now
        record.reason = doubts.Doubt.CLAIMED_AGAIN.value
    doubt = doubts.Doubt.CLAIMED_AGAIN
    region.attempt_records.add_job_doubt(record, doubt, now)


def record_resignation(region: tables.Region, now: float) -> None:
    """Record that the owner resigns; its runs go on for the next owner."""
    records = region.attempt_records
    for job_id, job in region.jobs.items():
        record = job.record
        if record is None:
            continue
        record.ended_at = now
        record.reason = doubts.Doubt.RESIGNED.value
        if job_id in region.runs:
            update_lease(region, record)
        records.add_job_doubt(record, doubts.Doubt.RESIGNED, now)
    watched, records.watched = records.watched, {}
    for record in watched.values():
        records.tell_change(record)


def check_runs(region: tables.Region, now: float) -> None:
    """Record which ended jobs have no run left, and which still have some."""
    records = region.attempt_records
    records.latest_at = now
    for job_id, record in list(records.watched.items()):
        if job_id in region.jobs:
            # Another attempt has its runs.
            del records.watched[job_id]
            records.tell_change(record)
        elif job_id not in region.runs:
            del records.watched[job_id]
            record.runs_over_at = now
            records.tell_change(record)
        elif now > record.ended_at + RUNS_LEFT_S and not _is_known_left(record):
            records.add_job_doubt(record, doubts.Doubt.RUNS_LEFT, now)


def update_lease(
    region: tables.Region, record: attempt_records.JobRecord
) -> None:
    """Record until when leases were granted to the runs of a job."""
    for run in region.runs.get(record.job_id, ()):
        worker = region.workers[run.worker_id]
        if worker.granted_until_s:
            until = worker.granted_until_s - worker.clock_ahead_s
            record.lease_until = max(until, record.lease_until or until)


def _is_known_left(record: attempt_records.JobRecord) -> bool:
    """Return whether the runs that are left have been told already."""
    return any(
        doubts.Doubt.RUNS_LEFT in (attempt.found_doubts or ())
        for attempt in record.attempts.values()
    )


def _is_recent(record: attempt_records.JobRecord, now: float) -> bool:
    return record.ended_at is not None and now < record.ended_at + RECENT_END_S


def _tell_second_attempt(
    region: tables.Region,
    earlier: attempt_records.JobRecord,
    later: attempt_records.JobRecord,
    now: float,
) -> None:
    for record in (earlier, later):
        doubt = doubts.Doubt.SECOND_ATTEMPT
        region.attempt_records.add_job_doubt(record, doubt, now)


def _add_record(
    region: tables.Region,
    job_id: str,
    open_attempts: dict[int, attempts.Attempt],
    origin: attempt_records.Origin,
) -> attempt_records.JobRecord:
    """Add the record of a job that has none."""
    added_at = region.attempt_records.latest_at
    record = attempt_records.JobRecord(job_id, region.epoch, added_at, {})
    for attempt in open_attempts.values():
        _add_attempt(region, record, attempt, origin)
    region.attempt_records.add(record)
    return record


def _add_attempt(
    region: tables.Region,
    record: attempt_records.JobRecord,
    attempt: attempts.Attempt,
    origin: attempt_records.Origin,
) -> attempt_records.AttemptRecord:
    """Add an attempt to a record."""
    now = region.attempt_records.latest_at
    added = attempt_records.AttemptRecord(
        attempt.number, attempt.gateway_id, origin, now, now
    )
    attempt_records.add_attempt(record, added)
    return added
