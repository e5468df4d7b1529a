"""Decide how long a daemon that has just started leaves the ownership to others.

A restarted daemon must not claim workers that have an owner, so it first waits for
the heartbeats of an owner. The load that this answers: all daemons lose power and
start together, some of them never, and jobs wait until one of the others claims.
"""

from collections.abc import Mapping

from pollenladder.cluster import ownership

# A daemon that has just started waits this long for heartbeats from an owner.
GRACE_S = 0.8
# The same if none of the daemons that it reaches has an owner. A daemon that runs
# accepts links within a few milliseconds, so by then the others are lost or cut off.
OWNERLESS_GRACE_S = 0.25


def must_wait(
    up_s: float,
    known: frozenset[str],
    own_id: str,
    reachable: Mapping[str, ownership.DaemonView],
    grace_s: float = GRACE_S,
) -> bool:
    """Return whether a daemon that has just started claims nothing for now.

    Args:
        up_s: The time since the start, in seconds.
        known: The ids of all listed daemons, including this one.
        own_id: The id of this daemon.
        reachable: The states of the reachable daemons, by id.
        grace_s: The longest wait, in seconds.
    """
    if up_s >= grace_s:
        return False
    others = known - {own_id}
    if not others:
        return True
    if others <= reachable.keys():
        # It reaches all others and need not wait for more.
        return False
    if up_s < OWNERLESS_GRACE_S:
        return True
    return not ownership.has_no_owner(known, reachable)
