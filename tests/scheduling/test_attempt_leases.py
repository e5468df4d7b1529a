"""Tests of attempts whose gateway falls silent."""

import unittest

from pollenladder.cluster import heartbeats
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import effects
from pollenladder.scheduling import gateway_links
from tests.scheduling import simulations

RESUBMISSION_S = 1.3
LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)
TICK_S = 0.02
STOP_S = 0.05


class ContactsTest(unittest.TestCase):
    """Guards against runs that outlive their gateway, and against false alarms."""

    def setUp(self):
        self.now = 100.0
        self.contacts = attempt_leases.Contacts(self.now)
        self.read_times: dict[str, float] = {}

    def _tick(self, seconds: float = TICK_S) -> dict[str, float]:
        self.now += seconds
        self.contacts.record_tick(self.read_times, self.now)
        return self.contacts.list_silent(LEASE_S)

    def _hear(self, daemon_id: str = "g1") -> None:
        """Read something that has just arrived."""
        self.read_times[daemon_id] = self.now + TICK_S / 2

    def _find_expiry_s(self) -> float:
        """Return when the silence of a daemon is noticed."""
        began_at = self.now
        while not self._tick():
            self.assertLess(self.now, began_at + 3.0)
        return self.now - began_at

    def test_runs_are_over_before_the_caller_returns(self):
        # What was read last has arrived at most one tick before `began_at`.
        self._hear()
        self._tick()
        stopped_s = self._find_expiry_s() + TICK_S + STOP_S
        self.assertLess(stopped_s, RESUBMISSION_S - 0.1)

    def test_a_gateway_that_sends_heartbeats_is_not_silent(self):
        sent_at = self.now
        for _ in range(500):
            if self.now >= sent_at + heartbeats.TO_OWNER_INTERVAL_S:
                sent_at = self.now
                self._hear()
            self.assertEqual(self._tick(), {})

    def test_two_late_heartbeats_are_no_silence(self):
        self._hear()
        self._tick()
        for _ in range(round(2.8 * heartbeats.TO_OWNER_INTERVAL_S / TICK_S)):
            self.assertEqual(self._tick(), {})

    def test_a_late_owner_first_reads_what_has_arrived(self):
        self._hear()
        self._tick()
        self.assertEqual(self._tick(0.8), {})
        self._hear()
        self.assertEqual(self._tick(), {})
        self._hear()
        self.assertEqual(self._tick(0.1), {})

    def test_what_arrived_before_a_pause_does_not_count_as_new(self):
        # It may have been sent before a network partition that began during the
        # pause, so that the caller has returned through another gateway.
        self._hear()
        self._tick()
        self._tick(LEASE_S)
        self._hear()
        self.assertIn("g1", self._tick())

    def test_an_owner_that_is_always_late_still_notices_silence(self):
        self._hear()
        self._tick()
        ticks = [self._tick(0.3) for _ in range(6)]
        self.assertIn("g1", ticks[-1])

    def test_a_gateway_without_link_is_silent(self):
        self._hear()
        self._tick()
        self.read_times.clear()
        self.assertLess(self._find_expiry_s(), RESUBMISSION_S)

    def test_silent_daemons_are_forgotten(self):
        # Guards against tables that grow with each daemon that was ever linked.
        self._hear()
        self._tick()
        forgotten_at = self.now + attempt_leases.FORGET_AFTER_S + 3 * TICK_S
        while self.now < forgotten_at:
            self._tick()
        self.assertEqual(self._tick(), {})

    def test_silence_is_still_noticed_after_a_long_pause(self):
        # Before, a gateway that was silent throughout a pause of the owner was
        # forgotten on the tick on which nothing expires, and its attempts went on.
        self._hear()
        self._tick()
        self.assertEqual(self._tick(attempt_leases.FORGET_AFTER_S + 0.1), {})
        self.assertIn("g1", self._tick())
        self.assertEqual(self._tick(), {})

    def test_silence_is_noticed_after_several_long_pauses(self):
        # Before, the gateway was forgotten: nothing expired on the tick after the first
        # pause, and on the second one its last frame had just been read.
        self._hear()
        self._tick()
        self.assertEqual(self._tick(attempt_leases.FORGET_AFTER_S + 0.1), {})
        self._hear()
        self.assertEqual(self._tick(0.2), {})
        self.assertIn("g1", self._tick())
        self.assertEqual(self._find_forgotten(), {"g1"})

    def _find_forgotten(self) -> set[str]:
        """Return the daemons that are forgotten after a long silence."""
        before = set(self.contacts.heard_at)
        self._tick()
        return before - set(self.contacts.heard_at)

    def test_an_owner_that_is_always_late_hears_those_that_send(self):
        # Guards against an overloaded owner that ends all jobs at each tick.
        self._hear()
        self._tick()
        for _ in range(6):
            self._hear()
            self.assertEqual(self._tick(LEASE_S / 2 + TICK_S), {})

    def test_a_second_late_tick_is_no_silence_of_those_that_send(self):
        # Guards against an owner that ends all jobs after two pauses in a row.
        self._hear()
        self._tick()
        self._tick(0.3)
        self._hear()
        self.assertEqual(self._tick(0.7), {})

    def test_the_lease_follows_the_time_until_callers_return(self):
        for resubmission_s, lease_s in ((0.2, 0.5), (1.2, 0.85), (9.0, 0.95)):
            with self.subTest(resubmission_s=resubmission_s):
                self.assertAlmostEqual(
                    attempt_leases.choose_lease_s(resubmission_s), lease_s
                )


class ExpiredAttemptTest(unittest.TestCase):
    """Guards against a task that runs on for a gateway that has fallen silent."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.simulation.submit("a1", gateway_id="far", attempt=11)
        self.simulation.submit("b2", gateway_id="near", attempt=12)
        self.starts = self.simulation.take_starts()
        for order in self.starts:
            self.simulation.confirm(order)

    def _expire(self, *gateway_ids: str) -> None:
        simulation = self.simulation
        simulation.now += LEASE_S
        silent = dict.fromkeys(gateway_ids, LEASE_S)
        attempt_leases.end_expired(simulation.region, silent, simulation.now)
        simulation.step()

    def test_its_runs_are_stopped(self):
        self._expire("far")
        stopped = {order.task for order in self.simulation.take_stops()}
        self.assertEqual(stopped, {"a1.0.0.0", "a1.0.0.1"})
        self.assertEqual(list(self.simulation.region.jobs), ["b2"])
        (logged,) = self.simulation.list_logged("attempt_leases_expired")
        self.assertEqual((logged["gateway"], logged["attempts"]), ("far", 1))

    def test_the_gateway_is_told_and_not_answered(self):
        self._expire("far")
        self.assertEqual(self.simulation.take_answers(), [])
        self.assertIn(
            effects.RejectAttempt("far", "a1", 11), self.simulation.effects
        )

    def test_a_job_goes_on_for_an_attempt_of_another_gateway(self):
        self.simulation.submit("a1", gateway_id="near", attempt=13)
        self._expire("far")
        self.assertEqual(self.simulation.take_stops(), [])
        self.assertEqual(list(self.simulation.region.jobs["a1"].attempts), [13])

    def test_the_next_attempt_waits_until_an_unanswered_stop_is_known(self):
        # Guards against a second run beside one whose stop got no reply.
        self._expire("far")
        self.simulation.submit("a1", gateway_id="near", attempt=13, budget_s=9)
        for _ in range(20):
            self.simulation.step(0.1)
            self.assertEqual(self.simulation.take_starts(), [])
            for worker_id in self.simulation.region.workers:
                self.simulation.poll(worker_id)
        self.assertGreater(len(self.simulation.take_stops()), 10)


class ReplacedLinkTest(unittest.TestCase):
    """A gateway's machine is cut off, and a new link replaces the silent one.

    Guards against runs that go on for callers that have returned elsewhere, as the
    new link comes shortly before the lease of their attempt ends.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation()
        self.region = self.simulation.region
        self.heard_at = self.simulation.now
        self.region.gateways_heard_at["far"] = self.heard_at
        self.simulation.submit("a1", gateway_id="far", budget_s=9.0)
        for order in self.simulation.take_starts():
            self.simulation.confirm(order)

    def _replace_link(self, silent_s: float) -> None:
        self.simulation.now = self.heard_at + silent_s
        gateway_links.record_change(
            self.region, "far", True, self.simulation.now
        )
        self.region.gateways_heard_at["far"] = self.simulation.now

    def test_runs_are_stopped_before_the_callers_return(self):
        for silent_s in (0.05, 0.3, 0.6, 0.9):
            self.setUp()
            self._replace_link(silent_s)
            while not self.simulation.take_stops():
                self.simulation.step(TICK_S)
                self.region.gateways_heard_at["far"] = self.simulation.now
            stopped_s = self.simulation.now + STOP_S - self.heard_at
            with self.subTest(silent_s=silent_s):
                self.assertLess(stopped_s, RESUBMISSION_S - 0.1)

    def test_gateway_that_forwards_again_keeps_its_attempt(self):
        self._replace_link(0.9)
        self.simulation.submit(
            "a1",
            gateway_id="far",
            budget_s=9.0,
            may_have_begun=True,
            first_run=33,
        )
        self.simulation.step(0.5)
        self.assertEqual(self.simulation.take_stops(), [])

    def test_link_that_breaks_at_once_leaves_the_whole_time_to_forward(self):
        self._replace_link(0.05)
        self.simulation.step(gateway_links.GATEWAY_GRACE_S - TICK_S)
        self.assertEqual(self.simulation.take_stops(), [])
