"""Lease rules of a worker, as pure functions of lease state and time."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The last lease that a worker granted.

    Attributes:
        shard: The shard that the holder owns.
        holder: The daemon that holds the lease.
        epoch: The epoch with which the lease was granted.
        expires_s: The expiry time on the clock of the worker.
    """

    shard: str
    holder: str
    epoch: int
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseState:
    """The lease state of a worker.

    Attributes:
        lease: The last lease granted, expired or not; None after a restart.
        max_epoch: The highest epoch in any lease request since the restart.
    """

    lease: Lease | None = None
    max_epoch: int = 0


NO_LEASE = LeaseState()


def is_live(state: LeaseState, now_s: float) -> bool:
    """Return whether the last lease has not expired."""
    return state.lease is not None and now_s < state.lease.expires_s


def compute_remaining_s(state: LeaseState, now_s: float) -> float:
    """Return the seconds until the lease expires, or 0 if it has expired."""
    if state.lease is None:
        return 0.0
    return max(0.0, state.lease.expires_s - now_s)


def may_grant(state: LeaseState, requested: Lease, now_s: float) -> bool:
    """Return whether a worker grants a requested lease.

    The last holder may renew with the same epoch or a higher one. Another
    daemon needs the last lease to have expired and an epoch above every epoch
    that the worker has seen.
    """
    last = state.lease
    if last is not None and last.holder == requested.holder:
        return requested.epoch >= last.epoch
    if is_live(state, now_s):
        return False
    return requested.epoch > state.max_epoch


def grant(
    state: LeaseState, requested: Lease, now_s: float
) -> tuple[LeaseState, bool]:
    """Grant or refuse a lease without shortening a live one.

    Returns:
        The state after the request, and whether the lease was granted.
    """
    max_epoch = max(state.max_epoch, requested.epoch)
    if not may_grant(state, requested, now_s):
        return LeaseState(state.lease, max_epoch), False
    lease = requested
    if is_live(state, now_s):
        expires_s = max(state.lease.expires_s, requested.expires_s)
        lease = dataclasses.replace(requested, expires_s=expires_s)
    return LeaseState(lease, max_epoch), True


def is_held(state: LeaseState, named: Lease, now_s: float) -> bool:
    """Return whether the lease named in a request is the live lease."""
    return (
        is_live(state, now_s)
        and state.lease.shard == named.shard
        and state.lease.holder == named.holder
        and state.lease.epoch == named.epoch
    )


def renew(state: LeaseState, named: Lease, now_s: float) -> LeaseState:
    """Extend a held lease; an earlier expiry time has no effect."""
    if not is_held(state, named, now_s):
        return state
    if named.expires_s <= state.lease.expires_s:
        return state
    return LeaseState(named, state.max_epoch)


def release(
    state: LeaseState, named: Lease, now_s: float
) -> tuple[LeaseState, bool]:
    """Expire a held lease at once.

    Returns:
        The state after the request, and whether the lease was held.
    """
    if not is_held(state, named, now_s):
        return state, False
    lease = dataclasses.replace(state.lease, expires_s=now_s)
    return LeaseState(lease, state.max_epoch), True
