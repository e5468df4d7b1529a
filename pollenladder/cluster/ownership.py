"""Decide which daemon owns the workers of a group.

Workers enforce exclusive ownership: each worker keeps the highest epoch that it
has seen and rejects requests with a lower one. So a new owner fences an old
one, even if the old owner does not know of the new one. This module only
decides, from heartbeats, which daemon tries to become the owner:

- A reachable owner stays unless it hands over. Daemons are ranked by access to
  the store, event loop lag and machine size, but a better rank alone does not
  replace an owner.
- If no owner is reachable, the daemon of best rank that reaches at least half
  of the daemons claims the workers. An owner that hands over names its
  successor, and no other daemon claims while that one is about to.
- If only this daemon has lost the connection to the owner, it waits, because
  the other daemons still follow that owner.
- A daemon that is isolated together with its data centre, and so reaches
  workers in it and none elsewhere, claims those workers: no other daemon can
  reach them.
- The owner has the highest load, so a daemon on a larger machine is preferred,
  and an owner whose event loop lags hands over to a larger machine.
- An owner also hands over when it shuts down, or when it cannot read the store
  and another daemon can.
- Of two owners that reach each other, the one with the higher epoch stays, so
  that each claim ends at most one ownership and causes no other claim. The
  number of workers that an owner reaches changes with every poll, so it counts
  only if both have been owners for a while, as after a network partition.
"""

from collections.abc import Mapping
import dataclasses
import enum

# An owner whose event loop lags hands over only to a daemon with a lag below
# LOW_LAG_S. The lag that the owner itself must exceed depends on the size of
# the other machine.
# Limit if the other machine is at least as large. In the choice of a new owner,
# daemons with a higher lag rank lower.
SLOW_LAG_S = 0.06
# Limit if the other machine is clearly larger.
LOW_LAG_S = 0.02
# Limit if the other machine is smaller.
SEVERE_LAG_S = 0.3
# Ratio of processor capacities above which a machine counts as clearly larger.
LARGER_MACHINE_FACTOR = 2.0
# After this many owners within the window, all machines seem to be slow, and
# the owner no longer hands over because of its lag.
MAX_RECENT_OWNERS = 3
RECENT_OWNERS_WINDOW_S = 10.0
# A daemon that has resigned does not claim ownership again for this long.
CLAIM_BACKOFF_S = 2.0
# An owner is settled after this time. By then it has polled its workers, and
# all other daemons have received its heartbeats.
SETTLING_S = 1.0
# Other daemons leave the claim to a named successor for this long.
SUCCESSOR_WAIT_S = 0.5


# Not frozen, as one is built for each heartbeat and this takes half the time.
@dataclasses.dataclass(slots=True)
class DaemonView:
    """The state of a daemon, as in its latest heartbeat. It is not changed.

    Attributes:
        is_owner: Whether the daemon considers itself the owner.
        epoch: The epoch of its ownership.
        workers_reached: The number of workers that the daemon reaches.
        reads_store: Whether the daemon reaches the platform's store.
        lag_s: The mean lag of its event loop.
        is_leaving: Whether the daemon is shutting down.
        is_backing_off: Whether the daemon claims no ownership, because it has
            recently resigned or started.
        processor_cores: The processor capacity of the daemon, in cores.
        follows: The owner that the daemon follows, or "".
        is_settled: As the owner, whether it has been for `SETTLING_S`.
        groups_owned: The number of groups that the daemon owns.
    """

    is_owner: bool = False
    epoch: int = 0
    workers_reached: int = 0
    reads_store: bool = True
    lag_s: float = 0.0
    is_leaving: bool = False
    is_backing_off: bool = False
    processor_cores: float = 1.0
    follows: str = ""
    is_settled: bool = False
    groups_owned: int = 0


class Decision(enum.Enum):
    """What a daemon does about the ownership.

    Attributes:
        KEEP: Stay the owner.
        CLAIM: Become the owner, or stay the owner with a higher epoch.
        RESIGN: Stop being the owner.
        FOLLOW: Follow another owner.
        WAIT: Follow no owner and claim nothing.
    """

    KEEP = "keep"
    CLAIM = "claim"
    RESIGN = "resign"
    FOLLOW = "follow"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """The input of a decision.

    Attributes:
        own_id: The id of this daemon.
        own: The state of this daemon.
        reachable: The states of the reachable daemons, by id.
        known: The ids of all known daemons, including this one.
        is_data_centre_isolated: Whether this daemon reaches a worker in its
            own data centre, and none elsewhere.
        may_claim_alone: Whether the store shows that there is no live owner,
            so that this daemon may claim without reaching half of the daemons.
        recent_owners: The number of owners within `RECENT_OWNERS_WINDOW_S`.
        announced: The state of this daemon in its latest heartbeat, by which
            the other daemons rank it; None before the first one.
        successor: The daemon to which the last owner has just handed over, or
            "". It may not be reachable from here yet.
    """

    own_id: str
    own: DaemonView
    reachable: Mapping[str, DaemonView]
    known: frozenset[str]
    is_data_centre_isolated: bool
    may_claim_alone: bool
    recent_owners: int = 0
    announced: DaemonView | None = None
    successor: str = ""


def decide(situation: Situation) -> tuple[Decision, str]:
    """Decide what this daemon does about the ownership.

    Returns:
        The decision, and the id of the owner from now on, which may be this
        daemon, or "" if there is none.
    """
    other_owner = find_owner(situation.reachable)
    if situation.own.is_owner:
        return _decide_as_owner(situation, other_owner)
    if other_owner:
        return Decision.FOLLOW, other_owner
    if is_cut_off_from_owner(situation.own_id, situation.reachable):
        return Decision.WAIT, ""
    if _may_claim(situation) and _is_best(situation):
        return Decision.CLAIM, situation.own_id
    return Decision.WAIT, ""


def find_owner(reachable: Mapping[str, DaemonView]) -> str:
    """Return the id of the reachable owner that prevails, or "".

    This is the owner with the highest epoch, or, if all have settled, the one
    that reaches the most workers.
    """
    owners = {name: view for name, view in reachable.items() if view.is_owner}
    have_settled = all(view.is_settled for view in owners.values())

    def get_strength(name: str) -> tuple[int, int, str]:
        view = owners[name]
        return (view.workers_reached * have_settled, view.epoch, name)

    return max(owners, key=get_strength, default="")


def reaches_half(
    known: frozenset[str], reachable: Mapping[str, DaemonView]
) -> bool:
    """Return whether at least half of the known daemons are reachable.

    This daemon counts as reachable. Two halves may both claim the workers,
    which then follow the higher epoch.
    """
    return 2 * (len(known & reachable.keys()) + 1) >= len(known)


def has_no_owner(
    known: frozenset[str], reachable: Mapping[str, DaemonView]
) -> bool:
    """Return whether half of the known daemons are reachable and ownerless.

    None of the reachable daemons owns the workers or follows an owner then.
    """
    return reaches_half(known, reachable) and not any(
        view.is_owner or view.follows for view in reachable.values()
    )


def is_cut_off_from_owner(
    own_id: str, reachable: Mapping[str, DaemonView]
) -> bool:
    """Return whether this daemon alone seems to have lost the owner.

    This is so if at least half of the reachable daemons follow an owner that is
    not reachable from here.
    """
    reachable_ids = reachable.keys() | {own_id, ""}
    followers_of_lost = sum(
        view.follows not in reachable_ids for view in reachable.values()
    )
    return followers_of_lost > 0 and 2 * followers_of_lost >= len(reachable)


def _decide_as_owner(situation: Situation, rival: str) -> tuple[Decision, str]:
    own = situation.own
    if rival:
        other = situation.reachable[rival]
        winner = find_owner({situation.own_id: own, rival: other})
        if winner == rival:
            return Decision.RESIGN, rival
        if other.epoch > own.epoch:
            # Workers that have seen the rival's epoch reject lower ones, so
            # claim again with a higher epoch.
            return Decision.CLAIM, situation.own_id
    if find_handover_reason(situation):
        return Decision.RESIGN, ""
    return Decision.KEEP, situation.own_id


def find_handover_reason(situation: Situation) -> str:
    """Return why another daemon is clearly a better owner, or ""."""
    own = situation.own
    others = [v for v in situation.reachable.values() if not v.is_leaving]
    if own.is_leaving:
        return "leaving" if others else ""
    if not own.reads_store and any(v.reads_store for v in others):
        return "lacks the store"
    if situation.recent_owners >= MAX_RECENT_OWNERS:
        # The other machines seem to be as slow. They lag less only because
        # they do not have the load of the owner.
        return ""
    is_slow = any(
        v.lag_s < LOW_LAG_S
        and v.reads_store >= own.reads_store
        and own.lag_s > _get_max_lag_s(own, v)
        for v in others
    )
    return f"slow, lag {own.lag_s:.3f} s" if is_slow else ""


def _get_max_lag_s(own: DaemonView, other: DaemonView) -> float:
    """Return the lag above which an owner hands over to another daemon."""
    if other.processor_cores >= LARGER_MACHINE_FACTOR * own.processor_cores:
        return LOW_LAG_S
    if other.processor_cores >= own.processor_cores:
        return SLOW_LAG_S
    return SEVERE_LAG_S


def _may_claim(situation: Situation) -> bool:
    """Return whether this daemon may claim if no other ranks better.

    A daemon that is shutting down claims only if it reaches no other daemon.
    """
    if situation.own.is_leaving and situation.reachable:
        return False
    if situation.own.is_backing_off:
        return False
    if reaches_half(situation.known, situation.reachable):
        return True
    return situation.is_data_centre_isolated or situation.may_claim_alone


def _is_best(situation: Situation) -> bool:
    """Return whether this daemon is to be the next owner.

    This is the successor that the last owner has named, or else the daemon that
    ranks better than all reachable ones.
    """
    if situation.successor:
        return situation.successor == situation.own_id
    own_view = situation.announced or situation.own
    own = _get_rank(situation.own_id, own_view)
    return all(
        own < _get_rank(name, view)
        for name, view in situation.reachable.items()
    )


def choose_successor(reachable: Mapping[str, DaemonView]) -> str:
    """Return the daemon to which an owner hands over, or "" if none can claim.

    Args:
        reachable: The states of the reachable daemons, by id.
    """
    able = [
        name
        for name, view in reachable.items()
        if not (view.is_owner or view.is_leaving or view.is_backing_off)
    ]
    return min(able, key=lambda n: _get_rank(n, reachable[n]), default="")


def _get_rank(
    name: str, view: DaemonView
) -> tuple[bool, bool, bool, bool, int, float, str]:
    """Return the sort key for choosing the next owner; the smallest wins."""
    is_slow = view.lag_s > SLOW_LAG_S
    return (
        view.is_backing_off,
        view.is_leaving,
        not view.reads_store,
        is_slow,
        view.groups_owned - view.is_owner,
        -view.processor_cores,
        name,
    )
