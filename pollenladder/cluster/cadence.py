"""Decide how often a daemon beats, and after what silence it is taken for lost.

Answers regions of many daemons, all linked with each other: the owner beats at
the full rate, as work stands still until its loss is noticed; the others beat
the more seldom the more they are, so that what each one reads and writes for
beats stays below a bound. Without an owner all beat at the full rate, until one
of them has claimed the workers.
"""

FULL_BEAT_S = 0.1
OWNER_SILENCE_S = 0.45
# The silence allowed to an owner is doubled so many times at the most.
MAX_DOUBLINGS = 2
# Beats that a daemon writes, and reads, in a second, if an owner is followed.
MAX_BEATS_PER_S = 60.0
# A daemon that is not the owner may miss so many beats, with some delay.
SILENT_BEATS = 2.5
# Who has lost its owner waits so long to hear which of the others are left.
FRESH_S = 0.25


def choose_beat_s(peers: int, is_owner: bool, has_owner: bool) -> float:
    """Return the time between two beats of a daemon, in seconds.

    Args:
        peers: The other daemons.
        is_owner: Whether it owns the workers.
        has_owner: Whether it follows an owner or is one.
    """
    if is_owner or not has_owner:
        return FULL_BEAT_S
    return max(FULL_BEAT_S, peers / MAX_BEATS_PER_S)


def beats_seldom(peers: int) -> bool:
    """Return whether a silent daemon is noticed later than a silent owner."""
    return choose_silence_s(peers, False) > OWNER_SILENCE_S


def choose_silence_s(peers: int, is_owner: bool, alarms: int = 0) -> float:
    """Return after what silence a peer is taken for lost, in seconds.

    Args:
        peers: The other daemons of whoever listens.
        is_owner: Whether the peer owns the workers.
        alarms: How many owners were lately taken for lost and were only slow.
    """
    owner_s = OWNER_SILENCE_S * 2 ** min(alarms, MAX_DOUBLINGS)
    if is_owner:
        return owner_s
    return max(owner_s, SILENT_BEATS * peers / MAX_BEATS_PER_S)
