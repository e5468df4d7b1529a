"""Tests of which daemon requests a shard's leases, and when."""

import unittest

import gevent

from pollenladder.core import leasing
from pollenladder.dispatch import directory
from pollenladder.dispatch import shard as shards
from pollenladder.dispatch import tables
from pollenladder.endpoints import outcomes
from pollenladder.membership import regions

TTL_S = 2.0
GRACE_S = 1.0
DAEMONS = ("d-0", "d-1", "d-2")
LAYOUT = regions.Regions({"dc": "r"}, {"dc": 1}, 4)
RANKED = LAYOUT.rank_owners("dc/0", DAEMONS)


class LeasingTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0

    def build(self, daemon_id):
        """Return the shard, and a function that runs one step.

        That function returns the number of lease requests sent so far.
        """
        shard_directory = directory.Directory()
        shard = shards.build(
            shard_id="dc/0",
            daemon_id=daemon_id,
            incarnation="1",
            limits=tables.Limits(lease_ttl_s=TTL_S),
            shard_directory=shard_directory,
            all_shard_ids=("dc/0",),
            loan_term_s=10.0,
            loan_margin_s=1.0,
        )
        rows = [tables.Worker(f"w{i}", 2) for i in range(3)]
        shards.update_workers(shard, rows, self.now)
        requested = []

        def acquire(worker_id, shard_id, epoch, ttl_s):
            requested.append(worker_id)
            return outcomes.LeaseGranted(epoch, (), 2, 8, False)

        manager = leasing.LeaseManager(
            {"dc/0": shard},
            shard_directory,
            LAYOUT,
            leasing.Callbacks(
                acquire=acquire,
                release=lambda *lease: None,
                list_candidates=lambda: DAEMONS,
                on_changed=lambda shard_id: None,
                is_linked=lambda daemon_id: False,
            ),
            lambda: self.now,
            lambda: 1e9,
            GRACE_S,
        )

        def step():
            manager.step(shard)
            gevent.sleep(0)
            return len(requested)

        return shard, step

    def test_each_candidate_waits_for_the_one_before(self):
        # The first candidate needs up to one term, until the dead owner's
        # leases have expired, and one retry.
        for rank, daemon_id in enumerate(RANKED):
            with self.subTest(rank=rank):
                self.now = 100.0
                _, step = self.build(daemon_id)
                starts_at = 100.0 + GRACE_S + rank * 1.5 * TTL_S
                self.now = starts_at - 0.01
                self.assertEqual(step(), 0)
                self.now = starts_at + 0.01
                self.assertEqual(step(), 3)

    def test_grants_of_all_workers_give_ownership(self):
        shard, step = self.build(RANKED[0])
        self.now += GRACE_S
        step()
        self.assertTrue(shard.ownership_is_held(self.now))
