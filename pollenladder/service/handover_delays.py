"""How long an earlier owner may go on with a job that a gateway has forwarded again."""

from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import lease_limits


def bound_handover_delay_s(attempt_lease_s: float) -> float:
    """Return how long another owner may go on renewing leases, in seconds.

    This is the bound for a job that its gateway forwards to this owner, as it has lost
    the earlier one or follows another. What it has sent before may still arrive there.
    The earlier owner then ends the attempt once its lease has expired, and stops the
    runs. It may hand over just before; the next owner does not renew leases of runs
    that no gateway claims there.

    The bound does not depend on how the gateway has lost the owner: it may have heard
    nothing while the owner heard everything.

    Args:
        attempt_lease_s: The length of an attempt's lease; see `attempt_leases`.
    """
    stopped_s = attempt_lease_s + attempt_leases.STOP_ALLOWANCE_S
    return lease_limits.ARRIVAL_S + stopped_s


def choose_run_limit_s(resubmission_s: float, max_lease_s: float) -> float:
    """Return for how long runs go on after the last contact with a gateway.

    Args:
        resubmission_s: Time after which a caller submits its job again.
        max_lease_s: The longest lease of a worker.
    """
    attempt_lease_s = attempt_leases.choose_lease_s(resubmission_s)
    return min(
        lease_limits.choose_limit_s(resubmission_s, attempt_lease_s),
        bound_run_limit_s(attempt_lease_s, max_lease_s),
    )


def bound_run_limit_s(attempt_lease_s: float, max_lease_s: float) -> float:
    """Return for how long runs may go on after the last contact, in seconds.

    An owner that is paused ends attempts late. The leases that it renews after the
    pause must not outlast the wait of the next owner either.

    Args:
        attempt_lease_s: The length of an attempt's lease; see `attempt_leases`.
        max_lease_s: The longest lease of a worker.
    """
    delay_s = bound_handover_delay_s(attempt_lease_s)
    return delay_s + max_lease_s - lease_limits.ARRIVAL_S
