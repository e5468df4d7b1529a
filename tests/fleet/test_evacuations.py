"""What a daemon knows about evacuated data centres, and when it is current."""

import unittest

from pollenladder.fleet import evacuations

DEADLINE_S = 5.0
LEASE_S = 1.0
LIMITS = evacuations.build_limits(DEADLINE_S, LEASE_S)
PAUSE_S = LIMITS.max_pause_s + 0.1
NONE = ()
NORTE = ("norte",)
BOTH = ("norte", "sur")


def build_set(version: int, names: tuple[str, ...]) -> evacuations.EvacuatedSet:
    """Return a set of a version of the store."""
    return evacuations.EvacuatedSet(version, names)


class KnownSetTest(unittest.TestCase):
    """Sets from the store and from peers are ordered by version."""

    def setUp(self):
        self.known = evacuations.Evacuations(LIMITS, 0.0, is_confirmed=False)
        self.known.record_read(build_set(10, NONE), 0.9, 1.0)

    def _hear(self, version: int, names: tuple[str, ...], now: float) -> bool:
        found = build_set(version, names)
        return self.known.record_heartbeat("peer", found, True, now)

    def test_set_of_a_peer_is_adopted_only_if_it_is_newer(self):
        # A daemon without the store must learn of the evacuation, and a late
        # heartbeat must not undo it.
        self.assertTrue(self._hear(11, NORTE, 1.1))
        self.assertFalse(self._hear(10, NONE, 1.2))
        self.assertEqual(self.known.known.data_centres, NORTE)

    def test_set_is_replaced_as_a_whole(self):
        # Two evacuations of which one is taken back: the other must stay.
        self.assertTrue(self._hear(12, BOTH, 1.1))
        self.assertTrue(self._hear(14, ("sur",), 1.3))
        self.assertEqual(self.known.known.data_centres, ("sur",))
        self.assertEqual(set(self.known.finish_until), {"sur"})

    def test_newer_version_of_the_same_set_is_no_change(self):
        self.assertTrue(self._hear(11, NORTE, 1.1))
        self.assertFalse(self._hear(12, NORTE, 1.2))
        self.assertEqual(self.known.known.version, 12)

    def test_time_to_finish_is_a_quarter_of_the_deadline(self):
        self._hear(11, NORTE, 1.2)
        self.assertEqual(
            self.known.finish_until, {"norte": 1.2 + DEADLINE_S / 4}
        )

    def test_time_to_finish_ends_before_the_deadline_of_a_late_reader(self):
        # The request may be as old as the latest read without it. A run must
        # not be started after the deadline, not even with its whole lease.
        self._hear(11, NORTE, 4.5)
        until = self.known.finish_until["norte"]
        self.assertLess(until + LEASE_S, 0.9 + DEADLINE_S)

    def test_restarted_daemon_has_no_time_to_finish(self):
        # It cannot know how old the request is.
        restarted = evacuations.Evacuations(LIMITS, 9.0, is_confirmed=False)
        restarted.record_read(build_set(11, NORTE), 9.1, 9.2)
        self.assertLess(restarted.finish_until["norte"], 9.2)


class PauseTest(unittest.TestCase):
    """After a long pause, the set counts only once it has been confirmed."""

    def setUp(self):
        self.known = evacuations.Evacuations(LIMITS, 0.0, is_confirmed=False)
        self.known.record_link("old", 0.5)
        self.known.record_read(build_set(10, NONE), 0.9, 1.0)
        self.resumed_at = 1.0 + PAUSE_S

    def test_daemon_that_has_just_started_knows_nothing(self):
        started = evacuations.Evacuations(LIMITS, 0.0, is_confirmed=False)
        self.assertFalse(started.is_current(0.1))
        started.record_link("peer", 0.2)
        started.record_heartbeat("peer", build_set(1, NONE), True, 0.3)
        self.assertTrue(started.is_current(0.3))

    def test_short_pause_is_no_reason_to_stop(self):
        self.assertTrue(self.known.is_current(1.0 + LIMITS.max_pause_s - 0.1))

    def test_paused_daemon_is_current_again_after_a_read(self):
        self.assertFalse(self.known.is_current(self.resumed_at))
        began_at = self.resumed_at + 0.01
        self.known.record_read(build_set(11, NONE), began_at, began_at + 0.01)
        self.assertTrue(self.known.is_current(began_at + 0.02))

    def test_read_that_began_before_the_pause_confirms_nothing(self):
        # The store may have answered it before the request for an evacuation.
        found = build_set(10, NONE)
        self.known.record_read(found, 0.95, self.resumed_at)
        self.assertFalse(self.known.is_current(self.resumed_at))

    def test_heartbeat_that_waited_in_the_socket_confirms_nothing(self):
        found = build_set(10, NONE)
        self.known.record_heartbeat("old", found, True, self.resumed_at)
        self.assertFalse(self.known.is_current(self.resumed_at))

    def test_heartbeat_on_a_new_link_confirms_the_set(self):
        self.known.is_current(self.resumed_at)
        self.known.record_link("new", self.resumed_at + 0.1)
        found = build_set(10, NONE)
        self.known.record_heartbeat("new", found, True, self.resumed_at + 0.2)
        self.assertTrue(self.known.is_current(self.resumed_at + 0.2))

    def test_peer_that_was_paused_too_confirms_nothing(self):
        self.known.is_current(self.resumed_at)
        self.known.record_link("new", self.resumed_at + 0.1)
        found = build_set(10, NONE)
        self.known.record_heartbeat("new", found, False, self.resumed_at + 0.2)
        self.assertFalse(self.known.is_current(self.resumed_at + 0.2))

    def test_pauses_have_no_effect_without_a_deadline(self):
        limits = evacuations.build_limits(None, LEASE_S)
        known = evacuations.Evacuations(limits, 0.0)
        self.assertTrue(known.is_current(1.0))
        self.assertTrue(known.is_current(100.0))
