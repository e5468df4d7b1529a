"""The leases by which one daemon owns a shard.

The worker grants a lease only if no other holder's lease is live there, and to
another holder only with an epoch above all it has seen. A daemon owns the shard
while leases on two thirds of the listed workers are live by its own clock, which
counts each from the moment its request was sent.
"""

import collections
from collections.abc import Iterable
import math

from pollenladder.membership import hashing
from pollenladder.membership import leases

# A lease with less than this part of its term left is renewed.
RENEW_BELOW_PART = 2 / 5
# An unanswered request is sent again after this part of the term.
RETRY_PART = 1 / 6
MAX_BACKOFF_DOUBLINGS = 3
JITTER_PART = 1 / 4
# An epoch is a counter times this, plus a number of the daemon's own.
DAEMON_DIGITS = 1024


Ownership = leases.Ownership


def compute_quorum(workers: int) -> int:
    """Return how many leases make an owner: two thirds, at least 1."""
    return max(1, math.ceil(2 * workers / 3))


def count_live(state: Ownership, now: float) -> int:
    """Return the number of listed workers with a live lease of the epoch."""
    return sum(_is_live(state, row, now) for row in state.leases.values())


def owns(state: Ownership, now: float) -> bool:
    """Return whether this daemon owns the shard at `now`."""
    if state.phase is not leases.Phase.OWNER:
        return False
    if now >= state.quorum_until:
        # Renewals only move the end on, so it is looked for no sooner.
        state.quorum_until = _find_quorum_end(state)
    return now < state.quorum_until


def may_start(state: Ownership, worker_id: str, now: float) -> bool:
    """Return whether a task may be started on the worker at `now`."""
    row = state.leases.get(worker_id)
    if row is None or not _is_live(state, row, now):
        return False
    return owns(state, now)


def get_lease_epoch(state: Ownership, worker_id: str) -> int:
    """Return the epoch that a start on the worker names; 0 if none.

    It is above the epoch of the ownership on a worker that a challenger has
    asked with a higher one.
    """
    row = state.leases.get(worker_id)
    return row.epoch if row else 0


def set_workers(
    state: Ownership, worker_ids: Iterable[str], now: float
) -> None:
    """Take over a new list of the shard's workers.

    The lease on a worker that is no longer listed runs out by itself: a release
    could arrive after a grant of the same epoch, if the worker is listed again.
    """
    _notice_lapse(state, now)
    listed = set(worker_ids)
    state.quorum_until = -math.inf
    for worker_id in state.leases.keys() - listed:
        del state.leases[worker_id]
    for worker_id in sorted(listed - state.leases.keys()):
        state.leases[worker_id] = leases.WorkerLease(worker_id, voided_at=now)
    _notice_lapse(state, now)
    _notice_quorum(state, now)


def choose_requests(
    state: Ownership, wants: bool, wall_ms: int, now: float
) -> list[leases.LeaseRequest]:
    """Return the leases to ask for now: a campaign, or renewals.

    Args:
        state: The shard's state.
        wants: Whether this daemon should own the shard. An owner goes on
            without it until `resign` or the loss of its quorum.
        wall_ms: Wall clock in milliseconds since 1970, for a new epoch.
        now: Monotonic time in seconds.

    Returns:
        Requests in order of worker id; report each by `record_sent`.
    """
    _notice_lapse(state, now)
    _choose_phase(state, wants, wall_ms, now)
    if state.phase is leases.Phase.IDLE:
        return []
    if state.phase is not leases.Phase.OWNER:
        _raise_epoch(state, wall_ms, now)
    due = [row for row in state.leases.values() if _is_due(state, row, now)]
    for row in due:
        row.asked_epoch = _choose_epoch(state, row)
    return [
        leases.LeaseRequest(row.worker_id, row.asked_epoch, state.ttl_s)
        for row in sorted(due, key=lambda row: row.worker_id)
    ]


def record_sent(state: Ownership, worker_id: str, now: float) -> None:
    """Note that a request has been sent; it is not repeated for a while."""
    row = state.leases.get(worker_id)
    if row is not None:
        row.next_try = now + state.ttl_s * RETRY_PART


def record_granted(
    state: Ownership, worker_id: str, epoch: int, sent_at: float, now: float
) -> None:
    """Note a granted lease.

    Args:
        state: The shard's state.
        worker_id: Who granted it.
        epoch: The epoch it was granted with.
        sent_at: When the request was sent; the lease counts from there.
        now: Monotonic time in seconds.
    """
    _notice_lapse(state, now)
    row = state.leases.get(worker_id)
    if row is None:
        return
    if state.phase is leases.Phase.IDLE:
        state.releases.append(leases.LeaseRelease(worker_id, epoch))
        return
    if epoch < row.epoch or sent_at < row.voided_at:
        return
    row.epoch = epoch
    row.lease_until = max(row.lease_until, sent_at + state.ttl_s)
    leases.clear_failures(row)
    _notice_quorum(state, now)


def record_refused(
    state: Ownership,
    worker_id: str,
    max_epoch: int,
    remaining_s: float,
    now: float,
    holder: str = "",
) -> None:
    """Note a refused lease.

    Args:
        state: The shard's state.
        worker_id: Who refused it.
        max_epoch: The highest epoch that the worker has seen.
        remaining_s: What is left of the holder's lease, in seconds.
        now: Monotonic time in seconds.
        holder: The daemon that holds the lease; empty if it is not known.
    """
    _notice_lapse(state, now)
    row = state.leases.get(worker_id)
    if row is None:
        return
    leases.void(state, row, now)
    row.seen_epoch = max(row.seen_epoch, max_epoch)
    row.holder = holder
    row.blocked_until = now + remaining_s
    row.failures += 1
    row.next_try = row.blocked_until
    if remaining_s > 0:
        row.next_try += _compute_jitter(state, row.worker_id, str(row.failures))
    _notice_lapse(state, now)
    if state.phase is leases.Phase.CAMPAIGN:
        _judge_campaign(state, now)


def record_started(
    state: Ownership, worker_id: str, sent_at: float, now: float
) -> None:
    """Note that the worker accepted a start, which renews its lease."""
    _notice_lapse(state, now)
    row = state.leases.get(worker_id)
    if row is None or row.epoch == 0 or sent_at < row.voided_at:
        return
    if state.phase is leases.Phase.IDLE:
        return
    row.lease_until = max(row.lease_until, sent_at + state.ttl_s)
    leases.clear_failures(row)
    _notice_quorum(state, now)


def record_lease_lost(state: Ownership, worker_id: str, now: float) -> None:
    """Note that the lease is no longer ours: a start was refused as fenced.

    The worker is asked again at once, as it may have restarted.
    """
    _notice_lapse(state, now)
    row = state.leases.get(worker_id)
    if row is None:
        return
    leases.void(state, row, now)
    row.next_try = now
    _notice_lapse(state, now)


def record_unanswered(state: Ownership, worker_id: str, now: float) -> None:
    """Note that a request got no answer; the lease runs on by own clock."""
    _notice_lapse(state, now)
    row = state.leases.get(worker_id)
    if row is None:
        return
    doublings = min(row.failures, MAX_BACKOFF_DOUBLINGS)
    row.failures += 1
    wait_s = state.ttl_s * RETRY_PART * 2**doublings
    row.next_try = (
        now + wait_s + _compute_jitter(state, row.worker_id, str(row.failures))
    )


def resign(state: Ownership) -> list[leases.LeaseRelease]:
    """Give up the shard; return the leases to give back, each once."""
    if state.phase is leases.Phase.OWNER:
        state.events.append(
            leases.OwnershipEvent(leases.OwnershipChange.LOST, state.epoch)
        )
    _abandon(state)
    return pop_releases(state)


def pop_releases(state: Ownership) -> list[leases.LeaseRelease]:
    """Return the leases to give back, and forget them."""
    taken = state.releases
    state.releases = []
    return taken


def pop_events(state: Ownership, now: float) -> list[leases.OwnershipEvent]:
    """Return the changes of ownership up to `now`, and forget them."""
    _notice_lapse(state, now)
    taken = state.events
    state.events = []
    return taken


def _is_live(state: Ownership, row: leases.WorkerLease, now: float) -> bool:
    return row.lease_until > now and row.epoch >= max(1, state.epoch)


def _is_due(state: Ownership, row: leases.WorkerLease, now: float) -> bool:
    if now < row.next_try:
        return False
    if not _is_live(state, row, now):
        return True
    return row.lease_until - now < state.ttl_s * RENEW_BELOW_PART


def _choose_epoch(state: Ownership, row: leases.WorkerLease) -> int:
    epoch = max(state.epoch, row.epoch)
    if row.seen_epoch >= epoch:
        return row.seen_epoch + 1
    return epoch


def _choose_new_epoch(state: Ownership, wall_ms: int) -> int:
    """Return an epoch above all known ones that no other daemon chooses.

    Its last digits are the daemon's: after a worker has restarted and forgotten
    its epochs, two daemons could else own the shard with the same epoch, and
    the second would take the first one's keys for its own.
    """
    rows = state.leases.values()
    told = [max(row.asked_epoch, row.seen_epoch) for row in rows]
    highest = max(state.epoch, *told, 0)
    counter = max(wall_ms, highest // DAEMON_DIGITS + 1)
    own_digits = hashing.hash_text(state.daemon_id) % DAEMON_DIGITS
    return counter * DAEMON_DIGITS + own_digits


def _choose_phase(
    state: Ownership, wants: bool, wall_ms: int, now: float
) -> None:
    if state.phase is leases.Phase.CAMPAIGN and not wants:
        _abandon(state)
    if (
        state.phase is leases.Phase.EXPIRED
        and now - state.lapsed_at >= state.ttl_s
    ):
        if not wants:
            _abandon(state)
            return
        _begin_campaign(state, wall_ms)
    if state.phase is leases.Phase.IDLE and wants and now >= state.campaign_at:
        _begin_campaign(state, wall_ms)


def _begin_campaign(state: Ownership, wall_ms: int) -> None:
    state.phase = leases.Phase.CAMPAIGN
    state.quorum_until = -math.inf
    state.epoch = _choose_new_epoch(state, wall_ms)


def _raise_epoch(state: Ownership, wall_ms: int, now: float) -> None:
    """Begin anew if a worker that is free again has seen a higher epoch."""
    for row in state.leases.values():
        is_behind = row.seen_epoch >= max(state.epoch, row.epoch)
        if is_behind and row.blocked_until <= now:
            _begin_campaign(state, wall_ms)
            return


def _notice_lapse(state: Ownership, now: float) -> None:
    """Turn an owner without a quorum into one that has lapsed."""
    if state.phase is not leases.Phase.OWNER or owns(state, now):
        return
    state.phase = leases.Phase.EXPIRED
    ended_at = _find_quorum_end(state)
    # A lease that was taken away ended no sooner than now.
    state.lapsed_at = ended_at if ended_at > -math.inf else now
    state.events.append(
        leases.OwnershipEvent(leases.OwnershipChange.LOST, state.epoch)
    )


def _find_quorum_end(state: Ownership) -> float:
    """Return when the quorum of leases ends or ended; -inf if there is none."""
    quorum = compute_quorum(len(state.leases))
    epoch = max(1, state.epoch)
    ends = [r.lease_until for r in state.leases.values() if r.epoch >= epoch]
    if len(ends) < quorum:
        return -math.inf
    return sorted(ends, reverse=True)[quorum - 1]


def _notice_quorum(state: Ownership, now: float) -> None:
    """Turn a daemon that has a quorum into the owner."""
    if state.phase not in (leases.Phase.CAMPAIGN, leases.Phase.EXPIRED):
        return
    if count_live(state, now) < compute_quorum(len(state.leases)):
        return
    if (
        state.phase is leases.Phase.EXPIRED
        and now - state.lapsed_at >= state.ttl_s
    ):
        return
    regained = state.phase is leases.Phase.EXPIRED
    change = (
        leases.OwnershipChange.REGAINED
        if regained
        else leases.OwnershipChange.GAINED
    )
    state.phase = leases.Phase.OWNER
    state.attempts = 0
    state.events.append(leases.OwnershipEvent(change, state.epoch))


def _judge_campaign(state: Ownership, now: float) -> None:
    """Give up a campaign that another daemon is to win.

    A daemon that holds a quorum of the workers is the owner. Of challengers that
    split the workers, all but the first in rendezvous order give back what they
    got, so that one of them wins.
    """
    blocked = [r for r in state.leases.values() if r.blocked_until > now]
    quorum = compute_quorum(len(state.leases))
    if len(state.leases) - len(blocked) >= quorum:
        return
    held = collections.Counter(row.holder for row in blocked)
    candidates = [*held, state.daemon_id]
    first = hashing.rank_daemons(state.shard_id, candidates)[0]
    is_first = first == state.daemon_id and "" not in held
    if is_first and max(held.values()) < quorum:
        return
    ends = sorted(row.blocked_until for row in blocked)
    state.attempts += 1
    wait_s = _compute_jitter(state, str(state.attempts))
    surplus = len(blocked) - (len(state.leases) - quorum)
    state.campaign_at = ends[surplus - 1] + wait_s
    _abandon(state)


def _abandon(state: Ownership) -> None:
    """Give all leases back; the next campaign has a higher epoch."""
    for row in state.leases.values():
        if row.lease_until > -math.inf:
            state.releases.append(leases.LeaseRelease(row.worker_id, row.epoch))
        row.lease_until = -math.inf
    state.quorum_until = -math.inf
    state.phase = leases.Phase.IDLE


def _compute_jitter(state: Ownership, *parts: str) -> float:
    """Return seconds that differ between daemons but not between runs."""
    fraction = hashing.compute_fraction(state.daemon_id, state.shard_id, *parts)
    return fraction * state.ttl_s * JITTER_PART
