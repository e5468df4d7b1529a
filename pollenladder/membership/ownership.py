"""Ownership of a shard, held through leases on the shard's workers.

A worker grants a lease only while no other holder has a live lease on it, and
grants a new holder only an epoch above all epochs that it has seen. A daemon
owns the shard while it holds live leases on two thirds of the listed workers.
The daemon determines this by its own clock. It counts each lease from the time at
which it sent the request, so it stops using a lease before the worker ends it.
"""

import collections
from collections.abc import Iterable
import math

from pollenladder.membership import hashing
from pollenladder.membership import leases

# A lease is renewed when less than this fraction of its term is left.
RENEW_BELOW_FRACTION = 2 / 5
# An unanswered request is first repeated after this fraction of the term.
RETRY_FRACTION = 1 / 6
# That time doubles with each further failure, up to this number of times.
MAX_BACKOFF_DOUBLINGS = 3
# The largest jitter, as a fraction of the term. Jitter keeps daemons from sending
# requests or starting campaigns at the same time.
JITTER_FRACTION = 1 / 4
# An epoch is a counter times this range, plus a number derived from the daemon.
EPOCH_DAEMON_RANGE = 1024


Ownership = leases.Ownership


def compute_quorum(workers: int) -> int:
    """Return how many leases make an owner: two thirds, at least 1."""
    return max(1, math.ceil(2 * workers / 3))


def count_live(state: Ownership, now: float) -> int:
    """Return the number of listed workers with a live lease of the epoch."""
    return sum(_is_live(state, lease, now) for lease in state.leases.values())


def owns(state: Ownership, now: float) -> bool:
    """Return whether this daemon owns the shard at `now`."""
    if state.phase is not leases.Phase.OWNER:
        return False
    if now >= state.quorum_valid_until:
        # Renewals only postpone the end, so the cached one is valid until then.
        state.quorum_valid_until = _find_quorum_end(state)
    return now < state.quorum_valid_until


def may_start(state: Ownership, worker_id: str, now: float) -> bool:
    """Return whether a task may be started on the worker at `now`."""
    lease = state.leases.get(worker_id)
    if lease is None or not _is_live(state, lease, now):
        return False
    return owns(state, now)


def get_lease_epoch(state: Ownership, worker_id: str) -> int:
    """Return the epoch to send with a start on the worker; 0 if none.

    It is above the epoch of the ownership if a challenger had requested the
    worker's lease with a higher epoch than that.
    """
    lease = state.leases.get(worker_id)
    return lease.epoch if lease else 0


def set_workers(
    state: Ownership, worker_ids: Iterable[str], now: float
) -> None:
    """Replace the list of the shard's workers.

    The lease on a worker that is no longer listed is left to expire. Releasing
    it would be unsafe: if the worker is listed again, the release could arrive
    after a new grant with the same epoch.
    """
    _detect_expiry(state, now)
    listed = set(worker_ids)
    state.quorum_valid_until = -math.inf
    for worker_id in state.leases.keys() - listed:
        del state.leases[worker_id]
    for worker_id in sorted(listed - state.leases.keys()):
        state.leases[worker_id] = leases.WorkerLease(
            worker_id, invalidated_at=now
        )
    _detect_expiry(state, now)
    _detect_quorum(state, now)


def choose_requests(
    state: Ownership, wants_ownership: bool, wall_ms: int, now: float
) -> list[leases.LeaseRequest]:
    """Return the lease requests to send now, for a campaign or for renewals.

    Args:
        state: The shard's state.
        wants_ownership: Whether this daemon should own the shard. An owner
            renews its leases even if not, until `resign` or the loss of its
            quorum.
        wall_ms: Wall clock in milliseconds since 1970, for a new epoch.
        now: Monotonic time in seconds.

    Returns:
        Requests in order of worker id; report each by `record_sent`.
    """
    _detect_expiry(state, now)
    _update_phase(state, wants_ownership, wall_ms, now)
    if state.phase is leases.Phase.IDLE:
        return []
    if state.phase is not leases.Phase.OWNER:
        _restart_outdated_campaign(state, wall_ms, now)
    due = [
        lease for lease in state.leases.values() if _is_due(state, lease, now)
    ]
    for lease in due:
        lease.requested_epoch = _choose_epoch(state, lease)
    return [
        leases.LeaseRequest(lease.worker_id, lease.requested_epoch, state.ttl_s)
        for lease in sorted(due, key=lambda lease: lease.worker_id)
    ]


def record_sent(state: Ownership, worker_id: str, now: float) -> None:
    """Record that a request was sent, and delay the next one."""
    lease = state.leases.get(worker_id)
    if lease is not None:
        lease.next_request_at = now + state.ttl_s * RETRY_FRACTION


def record_granted(
    state: Ownership, worker_id: str, epoch: int, sent_at: float, now: float
) -> None:
    """Record a granted lease.

    A grant that arrives after this daemon gave up the shard is released.

    Args:
        state: The shard's state.
        worker_id: The worker that granted it.
        epoch: The epoch it was granted with.
        sent_at: When the request was sent; the lease's term counts from then.
        now: Monotonic time in seconds.
    """
    _detect_expiry(state, now)
    lease = state.leases.get(worker_id)
    if lease is None:
        return
    if state.phase is leases.Phase.IDLE:
        state.releases.append(leases.LeaseRelease(worker_id, epoch))
        return
    if epoch < lease.epoch or sent_at < lease.invalidated_at:
        return
    lease.epoch = epoch
    lease.lease_until = max(lease.lease_until, sent_at + state.ttl_s)
    leases.clear_failures(lease)
    _detect_quorum(state, now)


def record_refused(
    state: Ownership,
    worker_id: str,
    max_epoch: int,
    remaining_s: float,
    now: float,
    holder: str = "",
) -> None:
    """Record a refused lease.

    Args:
        state: The shard's state.
        worker_id: The worker that refused it.
        max_epoch: The highest epoch that the worker has seen.
        remaining_s: Remaining time of the holder's lease, in seconds.
        now: Monotonic time in seconds.
        holder: The daemon that holds the lease; empty if it is not known.
    """
    _detect_expiry(state, now)
    lease = state.leases.get(worker_id)
    if lease is None:
        return
    leases.invalidate(state, lease, now)
    lease.max_seen_epoch = max(lease.max_seen_epoch, max_epoch)
    lease.holder = holder
    lease.blocked_until = now + remaining_s
    lease.failures += 1
    lease.next_request_at = lease.blocked_until
    if remaining_s > 0:
        lease.next_request_at += _compute_jitter(
            state, lease.worker_id, str(lease.failures)
        )
    _detect_expiry(state, now)
    if state.phase is leases.Phase.CAMPAIGN:
        _check_campaign(state, now)


def record_started(
    state: Ownership, worker_id: str, sent_at: float, now: float
) -> None:
    """Record that the worker accepted a start, which renews its lease."""
    _detect_expiry(state, now)
    lease = state.leases.get(worker_id)
    if lease is None or lease.epoch == 0 or sent_at < lease.invalidated_at:
        return
    if state.phase is leases.Phase.IDLE:
        return
    lease.lease_until = max(lease.lease_until, sent_at + state.ttl_s)
    leases.clear_failures(lease)
    _detect_quorum(state, now)


def record_lease_lost(state: Ownership, worker_id: str, now: float) -> None:
    """Record that a worker refused a start as fenced: the lease is lost.

    The next request to the worker is due at once, as the worker may have
    restarted and forgotten the lease.
    """
    _detect_expiry(state, now)
    lease = state.leases.get(worker_id)
    if lease is None:
        return
    leases.invalidate(state, lease, now)
    lease.next_request_at = now
    _detect_expiry(state, now)


def record_unanswered(state: Ownership, worker_id: str, now: float) -> None:
    """Record an unanswered request, and delay the next one exponentially.

    A lease already held stays valid until it ends by this daemon's clock.
    """
    _detect_expiry(state, now)
    lease = state.leases.get(worker_id)
    if lease is None:
        return
    doublings = min(lease.failures, MAX_BACKOFF_DOUBLINGS)
    lease.failures += 1
    wait_s = state.ttl_s * RETRY_FRACTION * 2**doublings
    lease.next_request_at = (
        now
        + wait_s
        + _compute_jitter(state, lease.worker_id, str(lease.failures))
    )


def resign(state: Ownership) -> list[leases.LeaseRelease]:
    """Give up the shard and return the leases to release, each once."""
    if state.phase is leases.Phase.OWNER:
        state.events.append(
            leases.OwnershipEvent(leases.OwnershipChange.LOST, state.epoch)
        )
    _release_all(state)
    return pop_releases(state)


def pop_releases(state: Ownership) -> list[leases.LeaseRelease]:
    """Return and remove the leases to release."""
    popped = state.releases
    state.releases = []
    return popped


def pop_events(state: Ownership, now: float) -> list[leases.OwnershipEvent]:
    """Return and remove the changes of ownership up to `now`."""
    _detect_expiry(state, now)
    popped = state.events
    state.events = []
    return popped


def _is_live(state: Ownership, lease: leases.WorkerLease, now: float) -> bool:
    return lease.lease_until > now and lease.epoch >= max(1, state.epoch)


def _is_due(state: Ownership, lease: leases.WorkerLease, now: float) -> bool:
    """Return whether a request for the lease should be sent now."""
    if now < lease.next_request_at:
        return False
    if not _is_live(state, lease, now):
        return True
    return lease.lease_until - now < state.ttl_s * RENEW_BELOW_FRACTION


def _choose_epoch(state: Ownership, lease: leases.WorkerLease) -> int:
    """Return an epoch that the worker has not seen from another daemon."""
    epoch = max(state.epoch, lease.epoch)
    if lease.max_seen_epoch >= epoch:
        return lease.max_seen_epoch + 1
    return epoch


def _choose_new_epoch(state: Ownership, wall_ms: int) -> int:
    """Return an epoch above all known ones that no other daemon chooses.

    Its lowest part identifies the daemon. Without it, two daemons could own the
    shard with the same epoch, one after the other, if the workers had restarted
    and forgotten their epochs in between. The second owner would then mistake
    idempotency keys that the first one issued for its own keys.
    """
    worker_leases = state.leases.values()
    known_epochs = [
        max(lease.requested_epoch, lease.max_seen_epoch)
        for lease in worker_leases
    ]
    highest = max(state.epoch, *known_epochs, 0)
    counter = max(wall_ms, highest // EPOCH_DAEMON_RANGE + 1)
    daemon_number = hashing.hash_text(state.daemon_id) % EPOCH_DAEMON_RANGE
    return counter * EPOCH_DAEMON_RANGE + daemon_number


def _update_phase(
    state: Ownership, wants_ownership: bool, wall_ms: int, now: float
) -> None:
    """Start or end a campaign, depending on whether ownership is wanted.

    A daemon that lost its quorum keeps its epoch for one term of the leases;
    after that it starts a campaign with a new epoch.
    """
    if state.phase is leases.Phase.CAMPAIGN and not wants_ownership:
        _release_all(state)
    if (
        state.phase is leases.Phase.EXPIRED
        and now - state.expired_at >= state.ttl_s
    ):
        if not wants_ownership:
            _release_all(state)
            return
        _start_campaign(state, wall_ms)
    if (
        state.phase is leases.Phase.IDLE
        and wants_ownership
        and now >= state.next_campaign_at
    ):
        _start_campaign(state, wall_ms)


def _start_campaign(state: Ownership, wall_ms: int) -> None:
    state.phase = leases.Phase.CAMPAIGN
    state.quorum_valid_until = -math.inf
    state.epoch = _choose_new_epoch(state, wall_ms)


def _restart_outdated_campaign(
    state: Ownership, wall_ms: int, now: float
) -> None:
    """Start a new campaign if a worker has seen this epoch or a higher one.

    Workers whose lease is held by another daemon are not considered.
    """
    for lease in state.leases.values():
        is_outdated = lease.max_seen_epoch >= max(state.epoch, lease.epoch)
        if is_outdated and lease.blocked_until <= now:
            _start_campaign(state, wall_ms)
            return


def _detect_expiry(state: Ownership, now: float) -> None:
    """Move an owner that has lost its quorum to the phase `EXPIRED`."""
    if state.phase is not leases.Phase.OWNER or owns(state, now):
        return
    state.phase = leases.Phase.EXPIRED
    ended_at = _find_quorum_end(state)
    # An invalidated lease has no end, so the quorum was lost only now.
    state.expired_at = ended_at if ended_at > -math.inf else now
    state.events.append(
        leases.OwnershipEvent(leases.OwnershipChange.LOST, state.epoch)
    )


def _find_quorum_end(state: Ownership) -> float:
    """Return when the quorum of leases ends or ended; -inf if there is none."""
    quorum = compute_quorum(len(state.leases))
    epoch = max(1, state.epoch)
    ends = [
        lease.lease_until
        for lease in state.leases.values()
        if lease.epoch >= epoch
    ]
    if len(ends) < quorum:
        return -math.inf
    return sorted(ends, reverse=True)[quorum - 1]


def _detect_quorum(state: Ownership, now: float) -> None:
    """Make this daemon the owner if it holds a quorum of leases.

    A daemon that lost its quorum regains the shard with the same epoch only
    within one term of the leases.
    """
    if state.phase not in (leases.Phase.CAMPAIGN, leases.Phase.EXPIRED):
        return
    if count_live(state, now) < compute_quorum(len(state.leases)):
        return
    if (
        state.phase is leases.Phase.EXPIRED
        and now - state.expired_at >= state.ttl_s
    ):
        return
    regained = state.phase is leases.Phase.EXPIRED
    change = (
        leases.OwnershipChange.REGAINED
        if regained
        else leases.OwnershipChange.GAINED
    )
    state.phase = leases.Phase.OWNER
    state.failed_campaigns = 0
    state.events.append(leases.OwnershipEvent(change, state.epoch))


def _check_campaign(state: Ownership, now: float) -> None:
    """Give up a campaign that another daemon should win.

    If one daemon holds a quorum of the workers, it is the owner and the
    campaign is given up. If several challengers split the workers so that none
    has a quorum, all but the first in rendezvous order release their leases,
    and the first one wins.
    """
    blocked = [
        lease for lease in state.leases.values() if lease.blocked_until > now
    ]
    quorum = compute_quorum(len(state.leases))
    if len(state.leases) - len(blocked) >= quorum:
        return
    workers_by_holder = collections.Counter(
        blocked_lease.holder for blocked_lease in blocked
    )
    candidates = [*workers_by_holder, state.daemon_id]
    first = hashing.rank_daemons(state.shard_id, candidates)[0]
    is_first = first == state.daemon_id and "" not in workers_by_holder
    if is_first and max(workers_by_holder.values()) < quorum:
        return
    ends = sorted(blocked_lease.blocked_until for blocked_lease in blocked)
    state.failed_campaigns += 1
    wait_s = _compute_jitter(state, str(state.failed_campaigns))
    # Number of blocked leases that must end before a quorum is possible.
    surplus = len(blocked) - (len(state.leases) - quorum)
    state.next_campaign_at = ends[surplus - 1] + wait_s
    _release_all(state)


def _release_all(state: Ownership) -> None:
    """Schedule the release of all leases and become idle."""
    for lease in state.leases.values():
        if lease.lease_until > -math.inf:
            state.releases.append(
                leases.LeaseRelease(lease.worker_id, lease.epoch)
            )
        lease.lease_until = -math.inf
    state.quorum_valid_until = -math.inf
    state.phase = leases.Phase.IDLE


def _compute_jitter(state: Ownership, *parts: str) -> float:
    """Return a delay in seconds that differs by daemon but is repeatable."""
    fraction = hashing.compute_fraction(state.daemon_id, state.shard_id, *parts)
    return fraction * state.ttl_s * JITTER_FRACTION
