"""A fake worker that grants leases by the endpoint's rules, in memory."""

import dataclasses

from pollenladder.membership import ownership


@dataclasses.dataclass
class FakeWorker:
    """A worker and its lease; times are by the worker's own clock."""

    holder: str = ""
    epoch: int = 0
    lease_until: float = 0.0
    max_epoch: int = 0

    def lease(self, holder, epoch, ttl_s, now):
        """Handle a lease request; return whether the lease is granted."""
        if self.holder == holder:
            granted = epoch >= self.epoch
        else:
            granted = self.lease_until <= now and epoch > self.max_epoch
        if granted:
            self.holder, self.epoch = holder, epoch
            self.max_epoch = max(self.max_epoch, epoch)
            self.lease_until = now + ttl_s
        return granted

    def start(self, holder, epoch, ttl_s, now):
        """Handle a task start; return whether it is accepted.

        An accepted start renews the lease.
        """
        is_holder = self.holder == holder and self.epoch == epoch
        if not is_holder or self.lease_until <= now:
            return False
        self.lease_until = now + ttl_s
        return True

    def release(self, holder, epoch):
        """End the lease if holder and epoch match."""
        if self.holder == holder and self.epoch == epoch:
            self.lease_until = 0.0


def deliver_request(state, worker, request, sent_at, now):
    """Deliver a lease request to a worker, and its reply to the daemon."""
    if worker.lease(state.daemon_id, request.epoch, request.ttl_s, now):
        ownership.record_granted(
            state, request.worker_id, request.epoch, sent_at, now
        )
        return
    ownership.record_refused(
        state,
        request.worker_id,
        worker.max_epoch,
        max(0.0, worker.lease_until - now),
        now,
        worker.holder,
    )


def run_round(state, workers, wants, now, wall_ms=1):
    """Send all due requests and releases, with immediate replies.

    Args:
        state: The shard's ownership state at one daemon.
        workers: Fake workers by id. Requests to other workers get no reply.
        wants: Whether the daemon should own the shard.
        now: Time in seconds, the same for the daemon and the workers.
        wall_ms: Wall clock in milliseconds since 1970, for a new epoch.

    Returns:
        The number of requests sent, including those without a reply.
    """
    requests = ownership.choose_requests(state, wants, wall_ms, now)
    for request in requests:
        ownership.record_sent(state, request.worker_id, now)
        if request.worker_id in workers:
            deliver_request(
                state, workers[request.worker_id], request, now, now
            )
    for release in ownership.pop_releases(state):
        if release.worker_id in workers:
            worker = workers[release.worker_id]
            worker.release(state.daemon_id, release.epoch)
    return len(requests)
