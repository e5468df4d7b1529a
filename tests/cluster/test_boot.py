"""Tests of how long a daemon that has just started claims nothing."""

import unittest

from pollenladder.cluster import boot
from pollenladder.cluster import ownership

IDLE = ownership.DaemonView()
FOLLOWER = ownership.DaemonView(follows="a")


class MustWaitTest(unittest.TestCase):
    """Daemon "b" of four has started; "a" is listed.

    Guards against a claim beside a live owner, and against jobs that are refused
    while the daemons wait for one that is gone.
    """

    def _must_wait(self, up_s: float, **reachable) -> bool:
        known = frozenset("abcd")
        return boot.must_wait(up_s, known, "b", reachable)

    def test_daemon_that_reaches_all_others_does_not_wait(self):
        self.assertFalse(self._must_wait(0.0, a=IDLE, c=IDLE, d=IDLE))

    def test_lost_daemon_is_not_awaited_if_half_are_reached(self):
        self.assertTrue(self._must_wait(0.1, c=IDLE, d=IDLE))
        self.assertFalse(
            self._must_wait(boot.OWNERLESS_GRACE_S, c=IDLE, d=IDLE)
        )

    def test_owner_that_others_follow_is_awaited(self):
        up_s = boot.OWNERLESS_GRACE_S
        self.assertTrue(self._must_wait(up_s, c=FOLLOWER, d=IDLE))

    def test_daemon_that_reaches_less_than_half_waits(self):
        self.assertTrue(self._must_wait(boot.OWNERLESS_GRACE_S))
        self.assertFalse(self._must_wait(boot.GRACE_S))

    def test_daemon_without_any_other_waits(self):
        up_s = boot.OWNERLESS_GRACE_S
        self.assertTrue(boot.must_wait(up_s, frozenset("b"), "b", {}))
