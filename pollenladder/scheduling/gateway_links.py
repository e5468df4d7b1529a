"""Remove the attempts of gateways whose links have changed.

A link that ends loses what was on its way, and a new link may replace one that has
ended unnoticed. A gateway therefore forwards its open attempts again over each new
link. An attempt that it does not forward has been cancelled, or was forwarded to
another owner behind a network partition, which starts the job again once a lease has
expired. Its runs here must be over by then.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempts
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import tables

# Time from a change of the link to a gateway to the removal of its attempts.
GATEWAY_GRACE_S = 0.5
# Time that a gateway has at least to forward its attempts over a new link.
CONFIRMATION_S = 0.25


def record_change(
    region: tables.Region, gateway_id: str, is_linked: bool, now: float
) -> None:
    """Record that the link to a gateway has ended, or that there is a new one."""
    for job in region.jobs.values():
        for attempt in job.attempts.values():
            if attempt.gateway_id == gateway_id:
                _mark_unconfirmed(attempt, is_linked, now)
                region.confirmations_due[gateway_id] = max(
                    attempt.confirm_by,
                    region.confirmations_due.get(
                        gateway_id, attempt.confirm_by
                    ),
                )


def _mark_unconfirmed(
    attempt: attempts.Attempt, is_linked: bool, now: float
) -> None:
    attempt.unconfirmed_since = min(attempt.unconfirmed_since, now)
    latest_at = attempt.unconfirmed_since + GATEWAY_GRACE_S
    attempt.confirm_by = latest_at
    if is_linked:
        earliest_at = min(now, latest_at) + CONFIRMATION_S
        attempt.confirm_by = max(latest_at, earliest_at)


def remove_unconfirmed(region: tables.Region, now: float) -> None:
    """Remove the attempts that were not forwarded again in time."""
    if not region.confirmations_due:
        return
    for job in list(region.jobs.values()):
        for attempt in list(job.attempts.values()):
            if now > attempt.confirm_by:
                reason = jobs.Reason.GATEWAY_LOST
                job_ends.remove_attempt(region, job, attempt, reason, now)
    for gateway_id, until in list(region.confirmations_due.items()):
        if now > until:
            del region.confirmations_due[gateway_id]
