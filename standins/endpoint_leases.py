"""Lease rules of a worker, as pure functions of its lease and the time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The last lease that a worker granted.

    Attributes:
        shard: The shard that the holder owns.
        holder: The daemon that holds it.
        epoch: The epoch it was granted with.
        expires_s: On the worker's clock, when it lapses.
    """

    shard: str
    holder: str
    epoch: int
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """What a worker knows of leases.

    Attributes:
        lease: The last one granted, live or not; None after a restart.
        max_epoch: The highest epoch that any request named.
    """

    lease: Lease | None = None
    max_epoch: int = 0


FORGOTTEN = LeaseState()


def is_live(state: LeaseState, now_s: float) -> bool:
    """Return whether a lease is in force."""
    return state.lease is not None and now_s < state.lease.expires_s


def compute_remaining_s(state: LeaseState, now_s: float) -> float:
    """Return for how many seconds the lease is still in force."""
    if state.lease is None:
        return 0.0
    return max(0.0, state.lease.expires_s - now_s)


def may_grant(state: LeaseState, asked: Lease, now_s: float) -> bool:
    """Return whether a worker grants the lease that is asked for."""
    last = state.lease
    if last is not None and last.holder == asked.holder:
        return asked.epoch >= last.epoch
    if is_live(state, now_s):
        return False
    return asked.epoch > state.max_epoch


def grant(
    state: LeaseState, asked: Lease, now_s: float
) -> tuple[LeaseState, bool]:
    """Grant a lease or refuse it; a live lease is never made shorter.

    Returns:
        The state after the request, and whether the lease was granted.
    """
    max_epoch = max(state.max_epoch, asked.epoch)
    if not may_grant(state, asked, now_s):
        return LeaseState(state.lease, max_epoch), False
    lease = asked
    if is_live(state, now_s):
        expires_s = max(state.lease.expires_s, asked.expires_s)
        lease = dataclasses.replace(asked, expires_s=expires_s)
    return LeaseState(lease, max_epoch), True


def is_held(state: LeaseState, named: Lease, now_s: float) -> bool:
    """Return whether the lease in force is the one that a request names."""
    return (
        is_live(state, now_s)
        and state.lease.shard == named.shard
        and state.lease.holder == named.holder
        and state.lease.epoch == named.epoch
    )


def renew(state: LeaseState, named: Lease, now_s: float) -> LeaseState:
    """Put off the lapse of a held lease; a shorter term changes nothing."""
    if not is_held(state, named, now_s):
        return state
    if named.expires_s <= state.lease.expires_s:
        return state
    return LeaseState(named, state.max_epoch)


def release(
    state: LeaseState, named: Lease, now_s: float
) -> tuple[LeaseState, bool]:
    """End a held lease; return the state and whether it was held."""
    if not is_held(state, named, now_s):
        return state, False
    lease = dataclasses.replace(state.lease, expires_s=now_s)
    return LeaseState(lease, state.max_epoch), True
