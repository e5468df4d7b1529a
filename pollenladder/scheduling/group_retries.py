"""Decide whether a gateway asks another group after a refusal.

A burst does not hit all groups alike: on a day of overload, gateways tried at most
two more groups, the first of them without room, and answered refusals while a group
that was never asked had idle workers. A gateway therefore continues as long as a
report shows room for the whole job, asks each group at most once, and stops when
the job can no longer be in time.
"""

from pollenladder.jobs import entities as jobs

# A refusal for one of these reasons may not apply to another group.
REASONS = (
    jobs.Reason.NO_ROOM_IN_TIME,
    jobs.Reason.WAITED_TOO_LONG,
    jobs.Reason.TOO_LARGE,
    jobs.Reason.NO_WORKERS,
)


def may_ask_another(
    submission: jobs.Submission, reason: jobs.Reason, age_s: float
) -> bool:
    """Return whether another group may still serve a job that was refused.

    Args:
        submission: The job.
        reason: The reason of the last refusal.
        age_s: Time since the job arrived, in seconds.
    """
    return reason in REASONS and age_s <= _compute_latest_start_s(submission)


def needs_room(groups_asked: int, reason: jobs.Reason) -> bool:
    """Return whether only a group that reports room may be asked next.

    The second group may be one without room, as its next capacity may be free
    sooner than that of the first one, which was chosen without any report. A job
    that was displaced after a wait has no time for another one.

    Args:
        groups_asked: Number of groups that have refused the job.
        reason: The reason of the last refusal.
    """
    return groups_asked > 1 or reason is jobs.Reason.WAITED_TOO_LONG


def _compute_latest_start_s(submission: jobs.Submission) -> float:
    """Return the age at which the job must start to be in time, in seconds.

    The gateway knows neither the bias of declared run times nor the number of
    waves that a wide job may take, so the owner still decides.
    """
    return (
        submission.stretch - 1.0
    ) * submission.estimate_s + submission.slack_s
