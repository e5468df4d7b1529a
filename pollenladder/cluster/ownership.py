"""Decide which daemon owns the workers.

Workers arbitrate: each keeps the highest epoch it has seen and does nothing for
a lower one, so a new owner fences out an old one whether that one knows of it or
not. What is decided here is only who tries, from heartbeats:

- An owner that is heard stays; nobody replaces it for its rank.
- Without one, the best daemon that hears most of the others claims the workers.
- One that is cut off from the owner alone waits: the others still follow it.
- A daemon cut off with its data centre claims the workers that it still reaches,
  if it reaches none elsewhere: nobody else can reach its own then.
- Where machines are unequal, a larger one is preferred: the owner has the most
  to do. A smaller one that falls behind hands over to a larger one.
- Of two owners that hear each other, the one with more workers stays.
"""

from collections.abc import Mapping
import dataclasses
import enum

# An owner whose event loop is so late hands over to one that is not.
SLOW_LAG_S = 0.06
LOW_LAG_S = 0.02
# One that is so late also hands over to a smaller machine.
SEVERE_LAG_S = 0.3
# A machine with so many times the processor is clearly larger.
LARGER_MACHINE_FACTOR = 2.0
# An owner that is late stays if there have been so many owners in this time.
MAX_RECENT_OWNERS = 3
RECENT_OWNERS_WINDOW_S = 10.0
# A daemon that has just lost the workers to another one does not claim at once.
CLAIM_BACKOFF_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonView:
    """A daemon as it is heard here.

    Attributes:
        is_owner: Whether it says that it owns the workers.
        epoch: Of its ownership.
        workers_reached: Workers that it reaches.
        reads_store: Whether it reaches the platform's store.
        lag_s: How late its event loop runs.
        is_leaving: Whether it is shutting down.
        is_yielding: Whether it claims nothing for a while.
        processor_cores: The processor that it has.
        follows: The owner that it follows, or "".
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


class Decision(enum.Enum):
    """What a daemon does about the ownership now."""

    KEEP = "keep"
    CLAIM = "claim"
    RESIGN = "resign"
    FOLLOW = "follow"
    WAIT = "wait"


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a decision rests on.

    Attributes:
        own_id: This daemon.
        own: What it says of itself.
        heard: The daemons that are heard, by id.
        known: All daemons that are thought to exist, this one among them.
        is_cut_off_with_zone: Whether no worker of another data centre is
            reached, and at least one here is.
        may_claim_alone: Whether the store shows that no other owner lives.
        recent_owners: How many owners there have been in `RESTLESS_S`.
    """

    own_id: str
    own: DaemonView
    reachable: Mapping[str, DaemonView]
    known: frozenset[str]
    is_data_centre_isolated: bool
    may_claim_alone: bool
    recent_owners: int = 0


def decide(situation: Situation) -> tuple[Decision, str]:
    """Return what to do, and the owner that is followed or ""."""
    rival = find_owner(situation.reachable)
    if situation.own.is_owner:
        return _decide_as_owner(situation, rival)
    if rival:
        return Decision.FOLLOW, rival
    if is_cut_off_from_owner(situation.own_id, situation.reachable):
        return Decision.WAIT, ""
    if _may_claim(situation) and _is_best(situation):
        return Decision.CLAIM, situation.own_id
    return Decision.WAIT, ""


def find_owner(reachable: Mapping[str, DaemonView]) -> str:
    """Return the strongest owner that is heard, or ""."""
    owners = [name for name, view in reachable.items() if view.is_owner]
    return max(owners, key=lambda n: _get_strength(n, reachable[n]), default="")


def reaches_half(
    known: frozenset[str], reachable: Mapping[str, DaemonView]
) -> bool:
    """Return whether half of the daemons or more are heard, with this one."""
    return 2 * (len(known & reachable.keys()) + 1) >= len(known)


def is_cut_off_from_owner(
    own_id: str, reachable: Mapping[str, DaemonView]
) -> bool:
    """Return whether most who are heard follow an owner that is not heard."""
    candidates = reachable.keys() | {own_id, ""}
    followers = sum(
        view.follows not in candidates for view in reachable.values()
    )
    return followers > 0 and 2 * followers >= len(reachable)


def _get_strength(name: str, view: DaemonView) -> tuple[int, int, str]:
    return (view.workers_reached, view.epoch, name)


def _decide_as_owner(situation: Situation, rival: str) -> tuple[Decision, str]:
    own = situation.own
    if rival:
        other = situation.reachable[rival]
        stronger = _get_strength(rival, other) > _get_strength(
            situation.own_id, own
        )
        if stronger:
            return Decision.RESIGN, rival
        if other.epoch > own.epoch:
            # Workers have seen the weaker one's epoch: ours must be higher.
            return Decision.CLAIM, situation.own_id
    if _should_hand_over(situation):
        return Decision.RESIGN, ""
    return Decision.KEEP, situation.own_id


def _should_hand_over(situation: Situation) -> bool:
    """Return whether another daemon is clearly better off."""
    own = situation.own
    others = [v for v in situation.reachable.values() if not v.is_leaving]
    if own.is_leaving:
        return bool(others)
    if not own.reads_store and any(v.reads_store for v in others):
        return True
    if situation.recent_owners >= MAX_RECENT_OWNERS:
        # All are slow: who owns nothing is only less busy.
        return False
    return any(
        v.lag_s < LOW_LAG_S
        and v.reads_store >= own.reads_store
        and own.lag_s > _get_max_lag_s(own, v)
        for v in others
    )


def _get_max_lag_s(own: DaemonView, other: DaemonView) -> float:
    """Return how late an owner may run before another one would do better."""
    if other.processor_cores >= LARGER_MACHINE_FACTOR * own.processor_cores:
        return LOW_LAG_S
    if other.processor_cores >= own.processor_cores:
        return SLOW_LAG_S
    return SEVERE_LAG_S


def _may_claim(situation: Situation) -> bool:
    if situation.own.is_leaving and situation.reachable:
        return False
    if situation.own.is_backing_off:
        return False
    if reaches_half(situation.known, situation.reachable):
        return True
    return situation.is_data_centre_isolated or situation.may_claim_alone


def _is_best(situation: Situation) -> bool:
    own = _get_rank(situation.own_id, situation.own)
    return all(
        own < _get_rank(name, view)
        for name, view in situation.reachable.items()
    )


def _get_rank(
    name: str, view: DaemonView
) -> tuple[bool, bool, bool, bool, float, str]:
    """Return the key by which the next owner is chosen, the smallest first."""
    is_slow = view.lag_s > SLOW_LAG_S
    return (
        view.is_backing_off,
        view.is_leaving,
        not view.reads_store,
        is_slow,
        -view.processor_cores,
        name,
    )
