"""Choose heartbeat intervals and the timeouts after which a peer is lost.

All daemons of a region are linked with each other, so the cost of heartbeats
grows with the number of daemons. Peers that may own the same groups of workers
are near, the others are distant. To near peers, an owner sends heartbeats at
the full rate, as no work proceeds until its loss is detected. The other daemons
lengthen their interval with the number of near peers, so that the heartbeats
which each daemon sends and receives stay below a fixed rate. While there is no
owner, all daemons send at the full rate until one of them has claimed the
workers. Distant peers need an owner's load, and owners need to know which
gateways are alive; nothing else is urgent between them.
"""

# Interval at the full rate.
MIN_INTERVAL_S = 0.1
OWNER_TIMEOUT_S = 0.45
# Each false alarm doubles the owner timeout, up to this many times.
MAX_TIMEOUT_DOUBLINGS = 2
# The timeout is extended by this multiple of the event loop lag that the owner
# reports, as its heartbeats are delayed by about the lag.
LAG_FACTOR = 4.0
MAX_OWNER_TIMEOUT_S = 1.8
# Limit on the heartbeats that a daemon sends, and on those that it receives,
# while it follows an owner.
MAX_HEARTBEATS_PER_S = 60.0
# Intervals of heartbeats to distant peers: of an owner, of another daemon to an
# owner, and between two other daemons.
DISTANT_OWNER_INTERVAL_S = 0.25
TO_DISTANT_OWNER_INTERVAL_S = 0.8
DISTANT_INTERVAL_S = 5.0
# Every daemon sends something to each owner at this interval, if only an empty frame,
# as an owner stops the jobs of a gateway that falls silent.
TO_OWNER_INTERVAL_S = 0.3
# Timeout of a daemon that is not the owner, in heartbeat intervals: allows two
# missed heartbeats and some delay.
TIMEOUT_INTERVALS = 2.5
# After losing the owner, a daemon waits this long at most for fresh heartbeats
# that show which peers are alive.
OWNER_LOSS_WAIT_S = 0.25


def choose_interval_s(peers: int, is_owner: bool, has_owner: bool) -> float:
    """Return the interval between two heartbeats of a daemon, in seconds.

    Args:
        peers: The number of near peers.
        is_owner: Whether the daemon owns the workers.
        has_owner: Whether the daemon follows an owner or is the owner.
    """
    if is_owner or not has_owner:
        return MIN_INTERVAL_S
    return max(MIN_INTERVAL_S, peers / MAX_HEARTBEATS_PER_S)


def choose_distant_interval_s(is_owner: bool, is_peer_owner: bool) -> float:
    """Return the interval between two heartbeats to a distant peer, in seconds.

    Args:
        is_owner: Whether the sender owns any workers.
        is_peer_owner: Whether the receiver owns any workers.
    """
    if is_owner:
        return DISTANT_OWNER_INTERVAL_S
    return TO_DISTANT_OWNER_INTERVAL_S if is_peer_owner else DISTANT_INTERVAL_S


def choose_distant_timeout_s(
    is_owner: bool, is_peer_owner: bool, false_alarms: int, lag_s: float
) -> float:
    """Return the silence after which a distant peer counts as lost, in seconds.

    Args:
        is_owner: Whether this daemon owns any workers.
        is_peer_owner: Whether the peer does.
        false_alarms: See `choose_timeout_s`.
        lag_s: See `choose_timeout_s`.
    """
    interval_s = choose_distant_interval_s(is_peer_owner, is_owner)
    return max(
        TIMEOUT_INTERVALS * interval_s,
        choose_timeout_s(0, is_peer_owner, false_alarms, lag_s),
    )


def is_peer_timeout_longer(peers: int) -> bool:
    """Return whether the loss of a peer takes longer to detect than an owner's.

    Args:
        peers: The number of other daemons.
    """
    return choose_timeout_s(peers, False) > OWNER_TIMEOUT_S


def choose_timeout_s(
    peers: int, is_owner: bool, false_alarms: int = 0, lag_s: float = 0.0
) -> float:
    """Return the silence after which a peer counts as lost, in seconds.

    Args:
        peers: The number of other daemons, seen from the receiver.
        is_owner: Whether the peer owns the workers.
        false_alarms: The number of owners that were recently declared lost but
            were only slow; each one doubles the timeout, up to
            `MAX_TIMEOUT_DOUBLINGS`.
        lag_s: The event loop lag that the owner has reported.
    """
    doubled_s = OWNER_TIMEOUT_S * 2 ** min(false_alarms, MAX_TIMEOUT_DOUBLINGS)
    owner_timeout_s = min(MAX_OWNER_TIMEOUT_S, doubled_s + LAG_FACTOR * lag_s)
    if is_owner:
        return owner_timeout_s
    return max(
        owner_timeout_s, TIMEOUT_INTERVALS * peers / MAX_HEARTBEATS_PER_S
    )
