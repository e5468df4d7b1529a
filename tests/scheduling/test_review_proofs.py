"""Proofs and leases at the edges: returned attempts, old clock readings, lag."""

import unittest
from unittest import mock
import zlib

from pollenladder.cluster import epochs
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import intake
from pollenladder.scheduling import lease_expiry
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import recovery
from pollenladder.scheduling import runs
from pollenladder.service import sessions
from tests.scheduling import simulations

RESUBMISSION_S = 1.3
ATTEMPT_LEASE_S = attempt_leases.choose_lease_s(RESUBMISSION_S)


class RemovedAttemptTest(unittest.TestCase):
    """Guards against tasks that wait until their deadline without need."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        for gateway_id in ("far", "near"):
            self._hear(gateway_id)
        self.simulation.submit("a1", "far", tasks=1, budget_s=9.0)
        (start,) = self.simulation.take_starts()
        self.simulation.confirm(start)
        self.simulation.submit("a1", "near", tasks=1, budget_s=9.0)
        self.simulation.list_workers(["w0", "w1"])

    def _hear(self, gateway_id: str) -> None:
        self.region.gateways_heard_at[gateway_id] = self.simulation.now

    def _count_starts_within(self, seconds: float, *gateway_ids: str) -> int:
        starts = 0
        until = self.simulation.now + seconds
        while self.simulation.now < until:
            for gateway_id in gateway_ids:
                self._hear(gateway_id)
            self.simulation.step(0.1)
            starts += len(self.simulation.take_starts())
        return starts

    def test_task_goes_on_after_the_caller_of_another_attempt_has_left(self):
        # The gateway has cancelled the attempt for its caller at each owner.
        number = simulations.get_attempt("far")
        reason = jobs.Reason.CALLER_LEFT
        intake.cancel_attempt(
            self.region, "a1", number, reason, self.simulation.now
        )
        self.simulation.lose("w0")
        self.assertEqual(self._count_starts_within(5.0, "near", "far"), 1)

    def test_task_goes_on_after_the_silent_gateway_has_returned(self):
        now = self.simulation.now
        attempt_leases.end_expired(self.region, {"far": 1.0}, now)
        self.simulation.submit(
            "a1", "far", tasks=1, may_have_begun=True, first_run=33
        )
        self.simulation.lose("w0")
        self.assertEqual(self._count_starts_within(5.0, "near", "far"), 1)

    def test_silence_of_a_removed_attempt_is_known_after_another_claim(self):
        # The silent gateway may have moved it. Only the region is rebuilt.
        now = self.simulation.now
        attempt_leases.end_expired(self.region, {"far": 1.0}, now)
        rebuilt = recovery.rebuild_region(self.region, 2, now)
        self.assertEqual(
            rebuilt.jobs["a1"].served_at, self.region.jobs["a1"].served_at
        )


class OldClockReadingTest(unittest.TestCase):
    """Guards against a release while a slow clock still counts the lease."""

    def test_lease_granted_after_a_pause_counts_by_a_slow_clock(self):
        for pause_s in (0.0, 1.0, 3.0, 5.0):
            with self.subTest(pause_s=pause_s):
                simulation = simulations.RegionSimulation(workers=1)
                worker = simulation.region.workers["w0"]
                replied_at = simulation.now
                simulation.poll("w0")
                polled_s = worker.polled_clock_s
                now = replied_at + pause_s
                session = sessions.Session(
                    simulation.region, worker, mock.Mock(), lambda now=now: now
                )
                until_s = session._extend_lease()
                rate = 1 - runs.MAX_CLOCK_DRIFT
                ends_at = replied_at + (until_s - polled_s) / rate
                self.assertGreaterEqual(
                    lease_expiry.find_expiry(worker), ends_at
                )


class LaggingOwnerTest(unittest.TestCase):
    """Guards against runs that lapse, as their owner's event loop is slow."""

    def _count_lapses(self, gateway_id: str, lag_s: float) -> int:
        """Return the number of renewals after which a lease ends too early.

        All that has arrived is read in each iteration, which takes `lag_s`.
        """
        now = 100.0
        contacts = attempt_leases.Contacts(now, "own")
        contacts.record_submission(gateway_id)
        simulation = simulations.RegionSimulation(workers=1)
        region = simulation.region
        region.gateways_heard_at = contacts.heard_at
        region.run_limit_s = lease_limits.choose_limit_s(
            RESUBMISSION_S, ATTEMPT_LEASE_S
        )
        simulation.now = now
        simulation.submit("a1", gateway_id, tasks=1, budget_s=99.0)
        worker = region.workers["w0"]
        lapses = 0
        for _ in range(20):
            now += lag_s
            contacts.record_tick({"far": now}, now)
            # The poll is sent somewhere in the iteration, the next in the next.
            expiry = lease_limits.choose_expiry(region, worker, now)
            lapses += expiry < now + lag_s
        return lapses

    def test_runs_of_own_callers_do_not_lapse(self):
        for lag_s in (0.1, 0.3, 0.41, 0.45, 0.6, 0.9):
            with self.subTest(lag_s=lag_s):
                self.assertEqual(self._count_lapses("own", lag_s), 0)

    def test_runs_of_other_callers_do_not_lapse(self):
        for lag_s in (0.1, 0.3, 0.41, 0.45, 0.6, 0.9):
            with self.subTest(lag_s=lag_s):
                self.assertEqual(self._count_lapses("far", lag_s), 0)


class EpochTest(unittest.TestCase):
    """Guards against equal epochs, and against a lead that only grows."""

    def test_daemons_that_know_different_ones_have_different_numbers(self):
        by_number: dict[int, list[str]] = {}
        for index in range(4000):
            name = f"front-{index}"
            number = zlib.crc32(name.encode()) % epochs.DAEMON_NUMBERS
            by_number.setdefault(number, []).append(name)
        equal = []
        for number in range(epochs.DAEMON_NUMBERS - 1):
            same, after = by_number[number], by_number[number + 1]
            if len(same) < 2 or not after:
                continue
            first, second = sorted(same)[:2]
            third = max(after)
            # The second daemon does not know the third one, and conversely.
            wall_s = 1_800_000_000.0
            one = epochs.make_epoch(second, wall_s, 0, {first})
            other = epochs.make_epoch(third, wall_s, 0, set())
            if one == other:
                equal.append((first, second, third))
        self.assertEqual(equal[:1], [])

    def test_epochs_return_to_the_wall_clock(self):
        # A clock that was a day ahead once, and is right since; a claim each hour.
        wall_s = 1_800_000_000.0
        highest = epochs.make_epoch("a", wall_s + 86_400, 0)
        for hour in range(1, 49):
            highest = epochs.make_epoch(
                "a", wall_s + hour * 3600, epochs.advance(highest, 3600)
            )
        newcomer = epochs.make_epoch("b", wall_s + 48 * 3600 + 1, 0)
        self.assertGreater(newcomer, highest)


if __name__ == "__main__":
    unittest.main()
