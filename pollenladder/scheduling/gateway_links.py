"""Remove the attempts of gateways whose links have changed.

A link that ends loses what was on its way, and a new link may replace one that has
ended unnoticed. A gateway therefore forwards its open attempts again over each new
link. An attempt that it does not forward has been cancelled, or was forwarded to
another owner behind a network partition, which starts the job again once a lease has
expired. Its runs here must be over by then.

A new link may replace one that has carried nothing for some time, and what is heard over
it does not tell whether the attempt waits. So the attempt's lease still counts from the
last contact over the link before.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import attempts
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import tables

# Time from a change of the link to a gateway to the removal of its attempts.
GATEWAY_GRACE_S = 0.5
# Time that a gateway has at least to forward its attempts over a new link.
CONFIRMATION_S = 0.25


def record_change(
    region: tables.Region,
    gateway_id: str,
    is_linked: bool,
    now: float,
    lease_s: float = attempt_leases.MAX_LEASE_S,
) -> None:
    """Record that the link to a gateway has ended, or that there is a new one.

    Args:
        region: The region.
        gateway_id: The gateway.
        is_linked: Whether there is a new link.
        now: Monotonic time in seconds.
        lease_s: The length of an attempt's lease; see `attempt_leases`.
    """
    heard_at = min(now, region.gateways_heard_at.get(gateway_id, now))
    for job in region.jobs.values():
        for attempt in job.attempts.values():
            if attempt.gateway_id == gateway_id:
                attempt_doubts.record_link_change(region, job, attempt, now)
                attempt.link_changed_at = min(attempt.link_changed_at, now)
                attempt.unconfirmed_since = min(
                    attempt.unconfirmed_since, heard_at
                )
                confirm_by = _choose_end(attempt, is_linked, now)
                lease_end = attempt.unconfirmed_since + lease_s
                attempt.confirm_by = min(confirm_by, lease_end)
                region.confirmations_due[gateway_id] = max(
                    attempt.confirm_by,
                    region.confirmations_due.get(
                        gateway_id, attempt.confirm_by
                    ),
                )


def _choose_end(
    attempt: attempts.Attempt, is_linked: bool, now: float
) -> float:
    """Return until when a gateway has to forward an attempt again."""
    latest_at = attempt.link_changed_at + GATEWAY_GRACE_S
    if not is_linked:
        return latest_at
    return max(latest_at, min(now, latest_at) + CONFIRMATION_S)


def postpone_removal(region: tables.Region, now: float) -> None:
    """Keep all unconfirmed attempts until the next tick.

    After a pause of the process, they may have been forwarded again in time, and this
    was not read yet.
    """
    if not region.confirmations_due:
        return
    for job in region.jobs.values():
        for attempt in job.attempts.values():
            attempt.confirm_by = max(attempt.confirm_by, now)
    for gateway_id, until in region.confirmations_due.items():
        region.confirmations_due[gateway_id] = max(until, now)


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
