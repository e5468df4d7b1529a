"""Acquisition of the workers' leases, by which a daemon owns shards."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.dispatch import directory
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.endpoints import outcomes
from pollenladder.membership import leases
from pollenladder.membership import ownership
from pollenladder.membership import regions

LOGGER = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.1
# An owner is considered dead if nothing was received about it for this many
# lease terms.
OWNER_TIMEOUT_TERMS = 1.7
# Each candidate waits this many lease terms longer than the one before: the
# leases of a dead owner expire within one term, and the candidate before needs
# part of another term to acquire them.
CANDIDATE_DELAY_TERMS = 1.5


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that `LeaseManager` calls.

    Attributes:
        acquire: Request a lease; takes the worker, the shard, the epoch and
            the lease term in seconds.
        release: Release a lease; takes the worker, the shard and the epoch.
        list_candidates: Return the live daemons of this region.
        is_linked: Return whether a daemon has an open link, and so is alive.
        on_changed: Called with a shard that this daemon gained or lost.
    """

    acquire: Callable[[str, str, int, float], outcomes.LeaseOutcome]
    release: Callable[[str, str, int], None]
    list_candidates: Callable[[], Iterable[str]]
    is_linked: Callable[[str], bool]
    on_changed: Callable[[str], None]


class LeaseManager:
    """Acquires, renews and releases the ownership of this region's shards.

    Attributes:
        draining: Whether this daemon is leaving and acquires no more leases.
    """

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        layout: regions.Regions,
        callbacks: Callbacks,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        grace_s: float,
    ):
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._layout = layout
        self._callbacks = callbacks
        self._clock = clock
        self._wall_clock = wall_clock
        self._ownerless_since = dict.fromkeys(shard_tables, clock() + grace_s)
        self.draining = False

    def run(self) -> None:
        """Step through all shards periodically; never return."""
        while True:
            for shard in self._shards.values():
                try:
                    self.step(shard)
                except Exception:
                    LOGGER.exception(
                        "lease step failed for shard %s", shard.shard_id
                    )
            gevent.sleep(STEP_INTERVAL_S)

    def step(self, shard: tables.Shard) -> None:
        """Send the lease requests that are due for one shard."""
        now = self._clock()
        wall_ms = int(self._wall_clock() * 1000)
        should_own = self._should_own(shard, now)
        requests = ownership.choose_requests(
            shard.ownership, should_own, wall_ms, now
        )
        for request in requests:
            ownership.record_sent(shard.ownership, request.worker_id, now)
            gevent.spawn(self._request_lease, shard, request)
        self.process_changes(shard)

    def resign(self) -> None:
        """Release all leases and acquire no more."""
        self.draining = True
        greenlets = []
        for shard in self._shards.values():
            for release in ownership.resign(shard.ownership):
                greenlets.append(
                    gevent.spawn(
                        self._callbacks.release,
                        release.worker_id,
                        shard.shard_id,
                        release.epoch,
                    )
                )
            self.process_changes(shard)
        gevent.joinall(greenlets, timeout=1.0)

    def process_changes(self, shard: tables.Shard) -> None:
        """Send the releases that are due; handle gained and lost ownership."""
        for release in ownership.pop_releases(shard.ownership):
            gevent.spawn(
                self._callbacks.release,
                release.worker_id,
                shard.shard_id,
                release.epoch,
            )
        now = self._clock()
        for change in ownership.pop_events(shard.ownership, now):
            self._handle_change(shard, change, now)

    def _handle_change(
        self,
        shard: tables.Shard,
        change: leases.OwnershipEvent,
        now: float,
    ) -> None:
        LOGGER.info(
            "%s shard %s with epoch %d",
            change.change.value,
            shard.shard_id,
            change.epoch,
            extra={"shard": shard.shard_id},
        )
        if change.change is leases.OwnershipChange.GAINED:
            shards.become_owner(shard, now)
        if change.change is leases.OwnershipChange.LOST:
            directory.forget_shard(self._shard_directory, shard.shard_id)
        self._callbacks.on_changed(shard.shard_id)

    def _should_own(self, shard: tables.Shard, now: float) -> bool:
        """Return whether this daemon should own the shard.

        If the shard has no live owner, the first candidate in rendezvous order
        should own it. Each following candidate waits until the one before has
        had time to acquire the leases.
        """
        if self.draining:
            return False
        if ownership.owns(shard.ownership, now):
            self._ownerless_since[shard.shard_id] = now
            return True
        entry = self._shard_directory.entries.get(shard.shard_id)
        ttl_s = shard.limits.lease_ttl_s
        is_other = entry is not None and entry.daemon_id != shard.daemon_id
        if is_other and self._is_alive(entry, ttl_s, now):
            self._ownerless_since[shard.shard_id] = now
            return False
        candidates = set(self._callbacks.list_candidates()) | {shard.daemon_id}
        ranked = self._layout.rank_owners(shard.shard_id, candidates)
        rank = ranked.index(shard.daemon_id)
        wait_s = rank * CANDIDATE_DELAY_TERMS * ttl_s
        return now >= self._ownerless_since[shard.shard_id] + wait_s

    def _is_alive(
        self, entry: directory.ShardEntry, ttl_s: float, now: float
    ) -> bool:
        """Return whether the known owner of a shard may still own it."""
        if self._callbacks.is_linked(entry.daemon_id):
            return True
        return now - entry.received_at < OWNER_TIMEOUT_TERMS * ttl_s

    def _request_lease(
        self, shard: tables.Shard, request: leases.LeaseRequest
    ) -> None:
        """Request one worker's lease and record the outcome."""
        sent_at = self._clock()
        outcome = self._callbacks.acquire(
            request.worker_id, shard.shard_id, request.epoch, request.ttl_s
        )
        now = self._clock()
        state = shard.ownership
        if isinstance(outcome, outcomes.LeaseGranted):
            shards.record_lease(shard, request.worker_id, outcome, now)
            ownership.record_granted(
                state, request.worker_id, outcome.epoch, sent_at, now
            )
        elif isinstance(outcome, outcomes.LeaseRefused):
            ownership.record_refused(
                state,
                request.worker_id,
                outcome.max_epoch,
                outcome.remaining_s,
                now,
                outcome.holder or "",
            )
        else:
            ownership.record_unanswered(state, request.worker_id, now)
        self.process_changes(shard)
