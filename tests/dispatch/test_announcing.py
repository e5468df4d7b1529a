"""Tests of how often owners announce their load to other owners."""

import unittest

from pollenladder.dispatch import directory
from pollenladder.dispatch import spilling
from pollenladder.wire import messages
from tests.dispatch import simulations

TICK_S = 0.01
SPAN_S = 10.0
FULL_RATE_PER_S = 50


def make_load(shard_id, queued):
    return messages.ShardLoad(shard_id, 1, 0, queued, 8, "", 0.0)


def count_announcements(shard_count, queued):
    """Count the announcements of a shard with free slots to one other shard.

    Args:
        shard_count: The number of shards.
        queued: The number of tasks that wait at the other shard.

    Returns:
        The number of messages within `SPAN_S`.
    """
    ids = tuple(f"dc/{number}" for number in range(shard_count))
    shard = simulations.make_shard(ids=ids)
    for number, shard_id in enumerate(ids[1:], 1):
        load = make_load(shard_id, queued if number == 1 else 0)
        directory.record_load(shard.shard_directory, f"d-{number}", load, 100.0)
    sent = []
    for step in range(round(SPAN_S / TICK_S)):
        sent += spilling.announce_load(shard, 100.0 + step * TICK_S)
    return len(sent)


class AnnouncingTest(unittest.TestCase):
    def test_no_announcements_while_no_task_waits(self):
        self.assertEqual(count_announcements(8, 0), 0)

    def test_announcements_to_one_owner_do_not_grow_with_shards(self):
        # The rate is full with 32 shards: 31 others announce to each owner.
        bound = 1.1 * 31 * FULL_RATE_PER_S * SPAN_S
        for shard_count in (2, 32, 100, 494):
            received = (shard_count - 1) * count_announcements(shard_count, 5)
            self.assertLessEqual(received, bound, shard_count)
            self.assertGreater(received, SPAN_S * FULL_RATE_PER_S / 2)
