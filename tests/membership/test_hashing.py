"""Tests of rendezvous hashing and of the assignment to shards."""

import collections
import unittest

from pollenladder.membership import hashing


class HashingTest(unittest.TestCase):
    def test_losing_a_daemon_keeps_the_order_of_the_others(self):
        ids = [f"d{i}" for i in range(7)]
        for shard in ("quito-norte/0", "ambato/1"):
            ranked = hashing.rank_daemons(shard, ids)
            fewer = hashing.rank_daemons(shard, [d for d in ids if d != "d3"])
            self.assertEqual(fewer, [d for d in ranked if d != "d3"])

    def test_every_daemon_is_first_for_some_shards(self):
        ids = [f"d{i}" for i in range(4)]
        firsts = collections.Counter(
            hashing.rank_daemons(f"s/{i}", ids)[0] for i in range(400)
        )
        self.assertEqual(set(firsts), set(ids))
        # On average, each daemon is first for 100 shards.
        self.assertGreater(min(firsts.values()), 50)

    def test_shards_are_listed_in_order(self):
        shards = hashing.list_shards({"seoul-b": 1, "seoul-a": 2})
        self.assertEqual(shards, ["seoul-a/0", "seoul-a/1", "seoul-b/0"])

    def test_numbered_workers_are_split_evenly(self):
        for shards in (1, 2, 3, 4):
            counts = collections.Counter(
                hashing.find_shard(f"quito-norte-w{i}", "quito-norte", shards)
                for i in range(8)
            )
            self.assertLessEqual(max(counts.values()) - 8 // shards, 1)
            self.assertEqual(len(counts), shards)
