"""Cancel the attempts of a gateway at the owners that have them."""

from collections.abc import Iterable
import logging

from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.service import gateway_callbacks
from pollenladder.service import gateway_events
from pollenladder.service import open_jobs

LOGGER = logging.getLogger(__name__)


def cancel(
    callbacks: gateway_callbacks.Callbacks,
    job: open_jobs.OpenJob,
    reason: jobs.Reason,
    answered_by: str = "",
) -> None:
    """Send owners the cancellation of an attempt.

    An earlier owner may still execute the job, as it has not heard yet of the
    one after it. If the cancellation cannot arrive, the owner removes the
    attempt after the change of the link, as it is not forwarded again.

    Args:
        callbacks: The functions of other components.
        job: The job.
        reason: Why the attempt ends.
        answered_by: The owner that has answered it, which is not told.
    """
    job_id = job.submission.job_id
    for owner_id in job.group_owners - {answered_by}:
        if not callbacks.cancel_attempt(owner_id, job_id, job.attempt, reason):
            gateway_events.log_cancel_not_sent(job, owner_id, reason)


def cancel_moved(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> None:
    """Cancel an attempt at the owners that had it before the present one.

    As long as they hear this gateway, they would run it on beside the next
    owner. Those without a link are told once they have one.
    """
    _tell_moved(callbacks, job, open_jobs.list_untold_owners(job))


def cancel_in_dropped_group(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> None:
    """Cancel an attempt at all owners of a group that no longer exists.

    The owner of the next group may be the same daemon, which may not know yet that
    the group is gone.
    """
    _tell_moved(callbacks, job, sorted(job.group_owners))


def _tell_moved(
    callbacks: gateway_callbacks.Callbacks,
    job: open_jobs.OpenJob,
    owner_ids: Iterable[str],
) -> None:
    job_id = job.submission.job_id
    for owner_id in owner_ids:
        try:
            is_told = callbacks.cancel_attempt(
                owner_id, job_id, job.attempt, jobs.Reason.MOVED
            )
        except Exception:
            # The next owner gets the job all the same.
            logs.log_failure(LOGGER, "attempt_move", job_id)
            continue
        if is_told:
            open_jobs.record_told(job, owner_id)
            gateway_events.log_moved(job, owner_id)
