"""Each way in which a worker with a run leaves the view of the next owner.

The tests guard against a task that runs twice, because the absence of its worker is
taken for the proof that its run is over. The rows of the tests are those of the table
in docs/design/overlapping-runs.md.
"""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import named_workers
from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from pollenladder.scheduling import maintenance
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs
from tests.scheduling import simulations

REPORT_INTERVAL_S = 1.5
EXPIRY_S = 3 * REPORT_INTERVAL_S
OWNER_READS_S = 0.4
OTHER_READS_S = 2.0
STEP_S = 0.1
# Shorter than the wait for the leases of an earlier owner.
WATCH_S = 0.8
BEGIN_AT = 100.0
# A daemon with long pauses reads this report 1.8 s after its last read but one, and
# the removal of the row 2 s later.
LAST_REPORT_AT = 139.8
IDLE = "idle"
USED = "used"


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of a row in the store.

    Attributes:
        at: When.
        worker_id: The worker.
        listing: What the row says; None if it is removed or cannot be decoded.
        is_removed: Whether it is removed.
    """

    at: float
    worker_id: str
    listing: fleet.Listing | None = None
    is_removed: bool = False


class Store:
    """The rows of an idle worker, and of a worker that executes a run.

    Attributes:
        tells_last_only: Whether a read shows only the last change of each row.
    """

    def __init__(self):
        self.tells_last_only = False
        self._changes: list[Change] = []
        for tick in range(60):
            self.report(BEGIN_AT + REPORT_INTERVAL_S * tick, IDLE)

    def report(self, at: float, worker_id: str, **changes: object) -> None:
        """Add a report of a worker."""
        listing = simulations.build_listing(worker_id)
        listing = dataclasses.replace(listing, **changes)
        self.add(Change(at, worker_id, listing))

    def add(self, change: Change) -> None:
        """Add a change."""
        self._changes.append(change)
        self._changes.sort(key=lambda other: other.at)

    def read(
        self, after: float, now: float, is_full: bool
    ) -> worker_tables.RowChanges:
        """Return the rows that have changed, or all of them."""
        latest = {c.worker_id: c for c in self._changes if c.at <= now}
        if is_full:
            found = [c for c in latest.values() if not c.is_removed]
            removed = {}
        else:
            found = [c for c in self._changes if after < c.at <= now]
            if self.tells_last_only:
                found = [c for c in found if c is latest[c.worker_id]]
            removed = {
                c.worker_id: latest[c.worker_id].is_removed
                for c in found
                if c.is_removed
            }
        return worker_tables.RowChanges(
            {c.worker_id: c.listing for c in found if c.listing},
            removed,
            {
                c.worker_id: latest[c.worker_id].listing is None
                for c in found
                if c.listing is None and not c.is_removed
            },
        )

    def count_changes(self, now: float) -> int:
        """Return the version of the store."""
        return 1 + sum(change.at <= now for change in self._changes)


class Daemon:
    """What a daemon knows of the workers.

    Attributes:
        history: How long it has known the list.
        table: The listed workers.
        named: Those of configured services.
        services: The configured services.
        reads_s: Interval of its reads, in seconds.
    """

    def __init__(
        self,
        store: Store,
        begin_at: float = BEGIN_AT,
        reads_s: float = OTHER_READS_S,
    ):
        self.history = worker_lists.ListHistory(begin_at == BEGIN_AT)
        self.table = worker_tables.WorkerTable(self.history, REPORT_INTERVAL_S)
        self.named = named_workers.NamedWorkers(self.history)
        self.services = {simulations.SERVICE}
        self._store = store
        self.reads_s = reads_s
        self._read_at = begin_at
        self._read(begin_at, is_full=True)

    def follow(self, until: float) -> None:
        """Read the changes until a time."""
        while self._read_at + self.reads_s <= until:
            self._read(self._read_at + self.reads_s)

    def lose_store(self, until: float) -> None:
        """Read nothing until a time."""
        self.history.record_store_state(False, self._read_at + 0.1)
        self._read(until)

    def read_all(self, now: float) -> None:
        """Read the changes and then the whole table, as at a claim."""
        self._read(now)
        self._read(now, is_full=True)

    def inherit(self, other: "Daemon", now: float) -> bool:
        """Get a heartbeat of another daemon."""
        return self.history.inherit(other.history.build_report(now), now)

    def _read(self, now: float, is_full: bool = False) -> None:
        self.history.record_store_state(True, now)
        version = self._store.count_changes(now)
        self.history.record_read(version, now, is_full)
        found = self._store.read(self._read_at, now, is_full)
        self._read_at = now
        self.table.update(found, is_full, now)
        self.update_names(now)

    def update_names(self, now: float) -> None:
        """Select the workers of the configured services."""
        self.named.update(self.table.list_workers(), self.services, now)

    def claims_and_starts(self, now: float) -> bool:
        """Claim; return whether a task that may have begun starts here soon.

        Only the idle worker answers polls, and has no run.
        """
        simulation = simulations.RegionSimulation(workers=0)
        simulation.now = now
        region = tables.Region(
            2,
            now,
            simulations.LEASE_S,
            handover_delay_s=1.3,
            list_history=self.history,
        )
        simulation.region = region
        self._claim(simulation)
        simulation.submit("a1", tasks=1, may_have_begun=True, first_run=33)
        while simulation.now < now + WATCH_S:
            simulation.now += STEP_S
            self.follow(simulation.now)
            maintenance.update_workers(
                region, self.named.workers, simulation.now
            )
            simulation.step()
        return bool(simulation.take_starts())

    def _claim(self, simulation: simulations.RegionSimulation) -> None:
        self.read_all(simulation.now)
        maintenance.update_workers(
            simulation.region,
            self.named.workers,
            simulation.now,
            is_full_list=True,
        )
        simulation.poll(IDLE)


class AbsentWorkersTest(unittest.TestCase):
    """A daemon that claims without the worker that executes a run."""

    def setUp(self):
        self.store = Store()

    def _report(self, drains: bool) -> None:
        """Report until the last time, in the end as draining if it drains."""
        at = LAST_REPORT_AT - 20 * REPORT_INTERVAL_S
        while at <= LAST_REPORT_AT:
            is_draining = drains and at > LAST_REPORT_AT - REPORT_INTERVAL_S
            self.store.report(at, USED, is_draining=is_draining)
            at += REPORT_INTERVAL_S

    def _remove(self, at: float) -> None:
        self.store.add(Change(at, USED, is_removed=True))

    def _expire(self, drains: bool) -> float:
        """Lose the worker's reports; return when its row has expired."""
        self._report(drains)
        at = LAST_REPORT_AT + EXPIRY_S
        self._remove(at)
        return at

    def _check_waits(self, daemon: Daemon, claimed_at: float) -> None:
        self.assertFalse(daemon.claims_and_starts(claimed_at))
        listed = [listing.worker_id for listing in daemon.named.workers]
        self.assertEqual(listed, [IDLE])

    def _check_starts(self, daemon: Daemon, claimed_at: float) -> None:
        self.assertTrue(daemon.claims_and_starts(claimed_at))

    def test_row_that_expired(self):
        for drains in (False, True):
            for reads_s in (OWNER_READS_S, OTHER_READS_S):
                with self.subTest(drains=drains, reads_s=reads_s):
                    self.setUp()
                    expired_at = self._expire(drains)
                    daemon = Daemon(self.store, reads_s=reads_s)
                    daemon.follow(expired_at + 3.0)
                    self._check_waits(daemon, expired_at + 3.1)

    def test_row_that_expires_as_the_owner_claims(self):
        for drains in (False, True):
            for before_s in (-0.02, 0.0, 0.02, 0.2, 0.4):
                with self.subTest(drains=drains, before_s=before_s):
                    self.setUp()
                    expired_at = self._expire(drains)
                    daemon = Daemon(self.store)
                    daemon.follow(expired_at - 1.0)
                    daemon.reads_s = OWNER_READS_S
                    # It answers no poll while it is listed.
                    claimed_at = expired_at - before_s
                    self.assertFalse(daemon.claims_and_starts(claimed_at))

    def test_worker_that_has_left(self):
        # Guards against waiting for leases whenever workers are taken away.
        self._report(drains=True)
        left_at = LAST_REPORT_AT + 0.8
        self._remove(left_at)
        daemon = Daemon(self.store, reads_s=OWNER_READS_S)
        daemon.follow(left_at + 3.0)
        self._check_starts(daemon, left_at + 3.1)

    def test_daemon_that_reads_seldom_learns_from_the_owner_that_one_left(self):
        self._report(drains=True)
        left_at = LAST_REPORT_AT + 1.4
        self._remove(left_at)
        owner = Daemon(self.store, reads_s=OWNER_READS_S)
        owner.follow(left_at + 3.0)
        daemon = Daemon(self.store)
        daemon.follow(left_at + 3.0)
        self.assertEqual(daemon.history.find_doubt(left_at + 3.0), "list_new")
        self.assertTrue(daemon.inherit(owner, left_at + 3.0))
        self._check_starts(daemon, left_at + 3.1)

    def test_daemon_that_reads_seldom_and_hears_nobody(self):
        self._report(drains=True)
        left_at = LAST_REPORT_AT + 1.4
        self._remove(left_at)
        daemon = Daemon(self.store)
        daemon.follow(left_at + 3.0)
        self._check_waits(daemon, left_at + 3.1)

    def test_interval_of_the_reports_that_is_not_known(self):
        self._report(drains=True)
        self._remove(LAST_REPORT_AT + 0.8)
        daemon = Daemon(self.store, reads_s=OWNER_READS_S)
        daemon.table = worker_tables.WorkerTable(daemon.history, 0.0)
        daemon.read_all(LAST_REPORT_AT)
        daemon.follow(LAST_REPORT_AT + 2.0)
        self._check_waits(daemon, LAST_REPORT_AT + 2.1)

    def test_owner_that_saw_a_row_expire_tells_a_daemon_that_starts(self):
        for drains in (False, True):
            with self.subTest(drains=drains):
                self.setUp()
                expired_at = self._expire(drains)
                owner = Daemon(self.store, reads_s=OWNER_READS_S)
                owner.follow(expired_at + 1.0)
                daemon = Daemon(self.store, begin_at=expired_at + 0.5)
                daemon.inherit(owner, expired_at + 1.0)
                self._check_waits(daemon, expired_at + 1.1)

    def test_daemon_that_never_read_the_row(self):
        for drains in (False, True):
            with self.subTest(drains=drains):
                self.setUp()
                expired_at = self._expire(drains)
                daemon = Daemon(self.store, begin_at=expired_at + 0.1)
                self._check_waits(daemon, expired_at + 0.2)

    def test_row_that_expired_during_an_outage_of_the_store(self):
        for drains in (False, True):
            with self.subTest(drains=drains):
                self.setUp()
                expired_at = self._expire(drains)
                daemon = Daemon(self.store, reads_s=OWNER_READS_S)
                daemon.follow(LAST_REPORT_AT + 1.0)
                daemon.lose_store(until=expired_at + 0.2)
                self.assertFalse(daemon.claims_and_starts(expired_at + 0.3))
                until = expired_at + worker_lists.STORE_RETURN_GRACE_S + 1.0
                daemon.follow(until)
                self._check_waits(daemon, until + 0.1)

    def test_row_that_can_no_longer_be_decoded(self):
        for drains in (False, True):
            with self.subTest(drains=drains):
                self.setUp()
                self._report(drains)
                self.store.add(Change(LAST_REPORT_AT + 0.1, USED))
                daemon = Daemon(self.store)
                daemon.follow(LAST_REPORT_AT + 3.0)
                self._check_waits(daemon, LAST_REPORT_AT + 3.1)

    def test_row_of_another_service(self):
        for drains in (False, True):
            with self.subTest(drains=drains):
                self.setUp()
                self._report(drains)
                self.store.report(LAST_REPORT_AT + 0.1, USED, service="other")
                daemon = Daemon(self.store)
                daemon.follow(LAST_REPORT_AT + 3.0)
                self._check_waits(daemon, LAST_REPORT_AT + 3.1)

    def test_service_that_the_configuration_drops(self):
        self.store.report(LAST_REPORT_AT, USED, service="other")
        daemon = Daemon(self.store)
        daemon.services = {simulations.SERVICE, "other"}
        daemon.follow(LAST_REPORT_AT + 3.0)
        daemon.services = {simulations.SERVICE}
        daemon.update_names(LAST_REPORT_AT + 3.0)
        self._check_waits(daemon, LAST_REPORT_AT + 3.1)

    def test_row_that_came_back_and_expired_unseen(self):
        # The first removal shows that the worker has left, the second one nothing.
        self.store.tells_last_only = True
        self._report(drains=True)
        self._remove(LAST_REPORT_AT + 0.8)
        back_at = LAST_REPORT_AT + 1.0
        self.store.report(back_at, USED)
        self._remove(back_at + EXPIRY_S)
        daemon = Daemon(self.store, reads_s=OWNER_READS_S)
        daemon.follow(LAST_REPORT_AT + 0.9)
        daemon.reads_s = EXPIRY_S + 0.5
        daemon.follow(back_at + EXPIRY_S + 0.5)
        self._check_waits(daemon, back_at + EXPIRY_S + 0.6)

    def test_daemon_that_was_paused(self):
        expired_at = self._expire(drains=True)
        daemon = Daemon(self.store, reads_s=OWNER_READS_S)
        daemon.follow(LAST_REPORT_AT + 0.5)
        daemon.reads_s = expired_at + 1.0 - LAST_REPORT_AT
        doubt = daemon.history.find_doubt(expired_at + 0.9)
        self.assertEqual(doubt, "list_old")
        self._check_waits(daemon, expired_at + 1.0)

    def test_workers_that_moved_to_another_group(self):
        region = tables.Region(2, 100.0, simulations.LEASE_S)
        region.moved_workers_until = 130.0
        self.assertEqual(
            unknown_runs.find_list_doubt(region, 129.0), "workers_moved"
        )
