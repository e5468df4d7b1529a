"""Tests of how a daemon leaves."""

import types
import unittest
from unittest import mock

from pollenladder.core import shutdown


class LeavingTest(unittest.TestCase):
    def leave(self, waits):
        """Leave while tasks wait as told at each look; return what was done.

        Args:
            waits: By number of pauses so far, whether a task waits.
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
        outlets = shutdown.Outlets(
            drain_gateway=lambda timeout_s: done.append("gateway"),
            resign=lambda: done.append(("resign", list(group.waiting))),
            tell_all=lambda: None,
        )
        with mock.patch.object(shutdown.gevent, "sleep", pause):
            shutdown._hand_over(engine, outlets, lambda: 0.0, 1.0)
        return done, pauses

    def test_leases_are_kept_until_the_last_starts_have_arrived(self):
        """A start refused on its way is queued again, and needs the lease."""

        def waits(pauses):
            arrivals = pauses.count(shutdown.STARTS_ARRIVE_S)
            # The first time, a start comes back while it is waited for.
            return arrivals == 1 and pauses[-1] == shutdown.STARTS_ARRIVE_S

        done, pauses = self.leave(waits)
        self.assertEqual(done, [("resign", [])])
        self.assertEqual(pauses.count(shutdown.STARTS_ARRIVE_S), 2)
