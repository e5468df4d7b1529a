"""Decide whether a gateway asks another group after a refusal.

A burst does not hit all groups alike, so one group may refuse jobs while another has
idle workers. A gateway therefore continues as long as a report shows room for the
whole job, asks each group at most once, and stops when the job can no longer be in
time. The gateway knows neither the bias of declared run
times nor the number of waves that a wide job may take, so the owner still decides.
"""

from collections.abc import Callable
import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.jobs import estimates
from pollenladder.scheduling import deferral

# A refusal for one of these reasons may not apply to another group.
REASONS = (
    jobs.Reason.NO_ROOM_IN_TIME,
    jobs.Reason.WAITED_TOO_LONG,
    jobs.Reason.TOO_LARGE,
    jobs.Reason.NO_WORKERS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The group that is asked next.

    Attributes:
        group: The group, or "" if the refusal is final.
        may_be_late: Whether no group reports room, so that the job may be served
            late there.
    """

    group: str
    may_be_late: bool


def may_be_late_at_first(groups: int) -> bool:
    """Return whether the first group may serve a job late.

    It may if there is no other group that could serve the job in time.

    Args:
        groups: The number of groups.
    """
    return groups == 1


def choose_next(
    submission: jobs.Submission,
    reason: jobs.Reason,
    age_s: float,
    choose_group: Callable[[bool], str],
) -> Choice:
    """Return the group to ask after a refusal.

    Groups that report room come first. Once none does, one more group is asked,
    the one that is expected to have room first, and may serve the job late.

    Args:
        submission: The job, as it was sent to the last group.
        reason: The reason of the last refusal.
        age_s: Time since the job arrived, in seconds.
        choose_group: Returns a group that was not asked yet, or "". It is given
            whether only a group that has room may be chosen.
    """
    may_be_late = submission.may_be_late
    if reason not in REASONS:
        return Choice("", may_be_late)
    estimate_s = estimates.assume_run_s(submission.estimate_s)
    allowed_s = submission.stretch * estimate_s + submission.slack_s
    group = ""
    if age_s <= allowed_s - estimate_s:
        group = choose_group(True)
    if group or may_be_late:
        return Choice(group, may_be_late)
    late_s = min(
        deferral.LATE_FACTOR * allowed_s, submission.age_s + submission.budget_s
    )
    if age_s <= late_s - deferral.RUN_MARGIN * estimate_s:
        group = choose_group(False)
    return Choice(group, may_be_late=True)
