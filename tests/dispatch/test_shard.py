"""Tests of takeover: reports of running tasks in the workers' lease grants."""

import unittest

from pollenladder.dispatch import shard as shards
from pollenladder.endpoints import outcomes
from pollenladder.membership import leases
from pollenladder.plans import escrow
from tests.dispatch import simulations

NOW = 110.0
EPOCH = 7
# Epochs of the workers' grants before and after the daemon became the owner,
# and whether it may use the shard's allowance then.
CASES = (
    ("same epoch before", [EPOCH, EPOCH], [], True),
    ("same epoch after", [], [EPOCH, EPOCH], True),
    ("another candidate asked one", [EPOCH, EPOCH + 1], [], True),
    ("another candidate asked one later", [EPOCH], [EPOCH + 1], True),
    ("a grant of an earlier epoch", [EPOCH - 1, EPOCH], [], False),
    ("one has not granted", [EPOCH], [], False),
)


class TakeoverTest(unittest.TestCase):
    def test_grant_of_epoch_or_higher_counts_as_report(self):
        for name, before, after, may_use_allowance in CASES:
            with self.subTest(name):
                shard = simulations.make_shard(workers=2)
                for worker in shard.workers.values():
                    worker.granted_epoch = 0
                worker_ids = iter(shard.workers)
                for epoch in before:
                    self.grant(shard, next(worker_ids), epoch)
                shard.ownership.epoch = EPOCH
                shard.ownership.phase = leases.Phase.OWNER
                shards.become_owner(shard, NOW)
                for epoch in after:
                    self.grant(shard, next(worker_ids), epoch)
                owns = escrow.owns_base(shard.ledger, NOW)
                self.assertEqual(owns, may_use_allowance)

    def grant(self, shard, worker_id, epoch):
        granted = outcomes.LeaseGranted(epoch, (), 2, 8, False)
        shards.record_lease(shard, worker_id, granted, NOW)
