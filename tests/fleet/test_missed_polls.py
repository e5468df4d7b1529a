"""Tests of what missed polls tell about a worker's process."""

import unittest

from pollenladder.fleet import entities
from pollenladder.jobs import entities as jobs

MissedPoll = entities.MissedPoll

# What polls have met since the last reply, and whether the connections count as
# closed by the worker's host.
CASES = (
    ((), False),
    ((MissedPoll.REFUSED,), False),
    ((MissedPoll.NO_REPLY,), False),
    ((MissedPoll.NO_REPLY, MissedPoll.REFUSED), False),
    ((MissedPoll.CLOSED,), True),
    ((MissedPoll.CLOSED, MissedPoll.REFUSED), True),
    ((MissedPoll.CLOSED, MissedPoll.NO_REPLY), False),
    ((MissedPoll.CLOSED, MissedPoll.REFUSED, MissedPoll.NO_REPLY), False),
)


class ClosedConnectionsTest(unittest.TestCase):
    def test_a_reset_or_refusals_alone_are_no_closed_connections(self):
        """Guards against a partition that counts as the end of a process."""
        listing = entities.Listing(
            "w", ("10.0.0.1", 80), "norte", "s", jobs.Resources(64_000), False
        )
        for causes, expected in CASES:
            worker = entities.Worker(listing, missed_causes=frozenset(causes))
            with self.subTest(causes=causes):
                self.assertIs(worker.has_closed_connections(), expected)
