"""Tests of the load messages that owners send unasked."""

import unittest

from pollenladder.dispatch import directory
from pollenladder.dispatch import spilling
from pollenladder.wire import messages
from tests.dispatch import worlds

TICK_S = 0.01
SPAN_S = 10.0
FULL_RATE_PER_S = 50


def make_load(shard_id, queued):
    return messages.ShardLoad(shard_id, 1, 0, queued, 8, "", 0.0)


def count_offers(shard_count, queued):
    """Return messages in `SPAN_S` from a shard with free slots to one other."""
    ids = tuple(f"dc/{number}" for number in range(shard_count))
    shard = worlds.make_shard(ids=ids)
    for number, shard_id in enumerate(ids[1:], 1):
        load = make_load(shard_id, queued if number == 1 else 0)
        directory.record_load(shard.shard_directory, f"d-{number}", load, 100.0)
    sent = []
    for step in range(round(SPAN_S / TICK_S)):
        sent += spilling.announce(shard, 100.0 + step * TICK_S)
    return len(sent)


class AnnouncingTest(unittest.TestCase):
    def test_nobody_is_told_while_no_task_waits(self):
        self.assertEqual(count_offers(8, 0), 0)

    def test_an_owner_with_waiting_tasks_hears_no_more_with_more_shards(self):
        bound = 1.1 * 31 * FULL_RATE_PER_S * SPAN_S
        for shard_count in (2, 32, 100, 494):
            heard = (shard_count - 1) * count_offers(shard_count, 5)
            self.assertLessEqual(heard, bound, shard_count)
            self.assertGreater(heard, SPAN_S * FULL_RATE_PER_S / 2)
