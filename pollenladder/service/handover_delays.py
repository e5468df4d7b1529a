"""How long two owners may overlap during a network partition."""

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import runs

# Margin for the stop requests and clock differences of an isolated owner.
HANDOVER_DELAY_MARGIN_S = 0.2


def bound_handover_delay_s(peers: int) -> float:
    """Return how long another owner may go on renewing leases, in seconds.

    This is the bound for a job that is forwarded to this owner while a network
    partition hides the other owner. Both sides of the partition start to wait
    at the same time. The gateway loses the old owner after the shortest timeout
    and forwards its jobs to this one. The old owner loses the gateway only
    after the longest timeout, waits for it to return, and may hand over just
    then. The next owner on that side treats the runs as orphans and waits once
    more.

    Args:
        peers: The number of near peers; see `cluster.heartbeats`.
    """
    doublings = heartbeats.MAX_TIMEOUT_DOUBLINGS
    timeout_s = max(
        heartbeats.choose_timeout_s(peers, False, doublings),
        heartbeats.choose_distant_timeout_s(True, False, doublings, 0.0),
    )
    grace_s = gateway_links.GATEWAY_GRACE_S + runs.ORPHAN_GRACE_S
    return (
        timeout_s
        - heartbeats.OWNER_TIMEOUT_S
        + grace_s
        + HANDOVER_DELAY_MARGIN_S
    )
