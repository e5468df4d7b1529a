"""Ask workers for the leases by which this daemon owns shards."""

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

STEP_S = 0.1
# An owner that was not heard of for this many lease terms is taken for dead.
SILENT_TERMS = 1.7
# A dead owner's leases run out within a term, and are asked for again within a
# part of another one.
CANDIDATE_TERMS = 1.5


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions by which leases are asked for and given back.

    Attributes:
        acquire: Ask a worker (id) for a lease of a shard with an epoch and a
            term in seconds.
        release: Give a worker's lease of a shard with an epoch back.
        list_candidates: Return the live daemons of this region.
        is_linked: Return whether a daemon has an open link, and so is alive.
        on_changed: A shard was gained or lost.
    """

    acquire: Callable[[str, str, int, float], outcomes.LeaseOutcome]
    release: Callable[[str, str, int], None]
    list_candidates: Callable[[], Iterable[str]]
    is_linked: Callable[[str], bool]
    on_changed: Callable[[str], None]


class Leasing:
    """Drives the ownership of each shard of the data centre."""

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        layout: regions.Regions,
        outlets: Outlets,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        grace_s: float,
    ):
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._layout = layout
        self._outlets = outlets
        self._clock = clock
        self._wall_clock = wall_clock
        self._ownerless_since = dict.fromkeys(shard_tables, clock() + grace_s)
        self.draining = False

    def run(self) -> None:
        """Step through all shards for ever."""
        while True:
            for shard in self._shards.values():
                try:
                    self.step(shard)
                except Exception:
                    LOGGER.exception("leases of %s", shard.shard_id)
            gevent.sleep(STEP_S)

    def step(self, shard: tables.Shard) -> None:
        """Send the requests that are due for one shard."""
        now = self._clock()
        wall_ms = int(self._wall_clock() * 1000)
        wants = self._wants(shard, now)
        requests = ownership.choose_requests(
            shard.ownership, wants, wall_ms, now
        )
        for request in requests:
            ownership.record_sent(shard.ownership, request.worker_id, now)
            gevent.spawn(self._ask, shard, request)
        self.settle(shard)

    def resign(self) -> None:
        """Give back every lease and ask for no more."""
        self.draining = True
        greenlets = []
        for shard in self._shards.values():
            for release in ownership.resign(shard.ownership):
                greenlets.append(
                    gevent.spawn(
                        self._outlets.release,
                        release.worker_id,
                        shard.shard_id,
                        release.epoch,
                    )
                )
            self.settle(shard)
        gevent.joinall(greenlets, timeout=1.0)

    def settle(self, shard: tables.Shard) -> None:
        """Act on what changed: releases due, and ownership gained or lost."""
        for release in ownership.pop_releases(shard.ownership):
            gevent.spawn(
                self._outlets.release,
                release.worker_id,
                shard.shard_id,
                release.epoch,
            )
        now = self._clock()
        for change in ownership.pop_events(shard.ownership, now):
            self._take_change(shard, change, now)

    def _take_change(
        self,
        shard: tables.Shard,
        change: leases.OwnershipEvent,
        now: float,
    ) -> None:
        LOGGER.info(
            "%s %s with epoch %d",
            change.change.value,
            shard.shard_id,
            change.epoch,
            extra={"shard": shard.shard_id},
        )
        if change.change is leases.OwnershipChange.GAINED:
            shards.become_owner(shard, now)
        if change.change is leases.OwnershipChange.LOST:
            directory.forget_shard(self._shard_directory, shard.shard_id)
        self._outlets.on_changed(shard.shard_id)

    def _wants(self, shard: tables.Shard, now: float) -> bool:
        """Return whether this daemon should own the shard.

        The first candidate in rendezvous order should; each next one only
        after the time in which the one before would have got it.
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
        candidates = set(self._outlets.list_candidates()) | {shard.daemon_id}
        ranked = self._layout.rank_owners(shard.shard_id, candidates)
        rank = ranked.index(shard.daemon_id)
        wait_s = rank * CANDIDATE_TERMS * ttl_s
        return now >= self._ownerless_since[shard.shard_id] + wait_s

    def _is_alive(
        self, entry: directory.ShardEntry, ttl_s: float, now: float
    ) -> bool:
        """Return whether the daemon that owned a shard may still do so."""
        if self._outlets.is_linked(entry.daemon_id):
            return True
        return now - entry.received_at < SILENT_TERMS * ttl_s

    def _ask(self, shard: tables.Shard, request: leases.LeaseRequest) -> None:
        """Ask one worker and record what it says."""
        sent_at = self._clock()
        outcome = self._outlets.acquire(
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
        self.settle(shard)
