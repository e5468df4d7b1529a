"""Decide how often a daemon beats, and after what silence it is taken for lost.

Answers regions of many daemons, all linked with each other: the owner beats at
the full rate, as work stands still until its loss is noticed; the others beat
the more seldom the more they are, so that what each one reads and writes for
beats stays below a bound. Without an owner all beat at the full rate, until one
of them has claimed the workers.
"""

MIN_INTERVAL_S = 0.1
OWNER_TIMEOUT_S = 0.45
# The silence allowed to an owner is doubled so many times at the most.
MAX_TIMEOUT_DOUBLINGS = 2
# Beats that a daemon writes, and reads, in a second, if an owner is followed.
MAX_HEARTBEATS_PER_S = 60.0
# A daemon that is not the owner may miss so many beats, with some delay.
TIMEOUT_INTERVALS = 2.5
# Who has lost its owner waits so long to hear which of the others are left.
OWNER_LOSS_WAIT_S = 0.25


def choose_interval_s(peers: int, is_owner: bool, has_owner: bool) -> float:
    """Return the time between two beats of a daemon, in seconds.

    Args:
        peers: The other daemons.
        is_owner: Whether it owns the workers.
        has_owner: Whether it follows an owner or is one.
    """
    if is_owner or not has_owner:
        return MIN_INTERVAL_S
    return max(MIN_INTERVAL_S, peers / MAX_HEARTBEATS_PER_S)


def is_peer_timeout_longer(peers: int) -> bool:
    """Return whether a silent daemon is noticed later than a silent owner."""
    return choose_timeout_s(peers, False) > OWNER_TIMEOUT_S


def choose_timeout_s(
    peers: int, is_owner: bool, false_alarms: int = 0
) -> float:
    """Return after what silence a peer is taken for lost, in seconds.

    Args:
        peers: The other daemons of whoever listens.
        is_owner: Whether the peer owns the workers.
        false_alarms: How many owners were lately taken for lost and were only slow.
    """
    owner_timeout_s = OWNER_TIMEOUT_S * 2 ** min(
        false_alarms, MAX_TIMEOUT_DOUBLINGS
    )
    if is_owner:
        return owner_timeout_s
    return max(
        owner_timeout_s, TIMEOUT_INTERVALS * peers / MAX_HEARTBEATS_PER_S
    )
