"""Tests of the graceful shutdown of a daemon."""

import types
import unittest
from unittest import mock

from pollenladder.core import shutdown


class ShutdownTest(unittest.TestCase):
    def transfer_shards(self, waits):
        """Transfer the shards; return the calls made and the pauses.

        Args:
            waits: Return whether a task is queued after the pauses so far.
        """
        done = []
        group = types.SimpleNamespace(offloaded={})
        shard = types.SimpleNamespace(groups={"j": group}, draining=False)
        engine = types.SimpleNamespace(
            shards={"s": shard},
            submissions=types.SimpleNamespace(pending={}),
        )
        pauses = []

        def pause(seconds):
            pauses.append(seconds)
            group.waiting = [0] if waits(pauses) else []
            if len(pauses) > 100:
                shard.groups.clear()

        group.waiting = [0]
        callbacks = shutdown.Callbacks(
            drain_gateway=lambda timeout_s: done.append("gateway"),
            resign=lambda: done.append(("resign", list(group.waiting))),
            broadcast_digest=lambda: None,
        )
        with mock.patch.object(shutdown.gevent, "sleep", pause):
            shutdown._transfer_shards(engine, callbacks, lambda: 0.0, 1.0)
        return done, pauses

    def test_leases_are_kept_until_the_last_starts_have_arrived(self):
        """A start that its worker refuses is queued again and needs a lease."""

        def waits(pauses):
            deliveries = pauses.count(shutdown.START_DELIVERY_S)
            # A refused start returns to the queue during the first delivery.
            return deliveries == 1 and pauses[-1] == shutdown.START_DELIVERY_S

        done, pauses = self.transfer_shards(waits)
        self.assertEqual(done, [("resign", [])])
        self.assertEqual(pauses.count(shutdown.START_DELIVERY_S), 2)
