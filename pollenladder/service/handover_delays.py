"""How long two owners may overlap during a network partition."""

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import runs

# Margin for late ticks and clock differences of an isolated owner.
HANDOVER_DELAY_MARGIN_S = 0.2


def bound_handover_delay_s(attempt_lease_s: float) -> float:
    """Return how long another owner may go on renewing leases, in seconds.

    This is the bound for a job that is forwarded to this owner while a network
    partition hides the other owner. Both sides of the partition start to wait
    at the same time. The gateway loses the old owner after the shortest timeout
    and forwards its jobs to this one. The old owner ends the attempts of the gateway
    once their lease has expired, and may hand over just then. The next owner on that
    side treats the runs as orphans and waits once more.

    Args:
        attempt_lease_s: The length of an attempt's lease; see `attempt_leases`.
    """
    stopped_s = attempt_lease_s + attempt_leases.STOP_ALLOWANCE_S
    return (
        stopped_s
        + runs.ORPHAN_GRACE_S
        - heartbeats.OWNER_TIMEOUT_S
        + HANDOVER_DELAY_MARGIN_S
    )
