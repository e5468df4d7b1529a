"""A session goes on after unexpected errors."""

import dataclasses
import itertools
import unittest
from unittest import mock

import gevent

from pollenladder.cluster import heartbeats
from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.platform import workers
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import replies
from pollenladder.scheduling import runs
from pollenladder.service import sessions
from tests.scheduling import simulations

WAIT_S = 1.0


class SessionTest(unittest.TestCase):
    """The session with a worker of a simulated region, without a network."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.worker = self.region.workers["w0"]
        self.session = sessions.Session(
            self.region,
            self.worker,
            sessions.Callbacks(
                on_event=lambda: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
            ),
            clocks.read_monotonic_s,
        )
        self.session._client = self.client = mock.Mock()
        self.addCleanup(self.session.close)

    def test_polls_that_fail_at_once_do_not_spin_and_count_as_missed(self):
        # Guards against a worker that counts as reachable but is not polled,
        # and against a loop that takes the processor from all others.
        self.client.poll.side_effect = ZeroDivisionError
        with self.assertLogs(sessions.LOGGER, "ERROR"):
            self.session.start_polling()
            gevent.sleep(WAIT_S)
        polls = self.client.poll.call_count
        self.assertGreaterEqual(polls, replies.MAX_MISSED_POLLS)
        self.assertLessEqual(polls, 1 + WAIT_S / sessions.FAILED_PAUSE_S)
        self.assertFalse(self.worker.is_reachable)

    def test_leases_end_soon_after_the_last_contact_with_the_gateway(self):
        # Guards against a run that goes on beside the next attempt's, as its owner
        # is killed while the gateway is cut off.
        self.simulation.now = now = clocks.read_monotonic_s()
        self.session._clock = lambda: now
        self.simulation.poll("w0")
        self.region.run_limit_s = 1.2
        self.region.gateways_heard_at["g1"] = now - 0.9
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        latest_s = now + 0.3 + self.worker.clock_ahead_s
        self.client.poll.return_value = fleet.PollReply(
            1e6, simulations.STARTED_MS, (), ()
        )
        self.session._start_run_safely(order)
        self.session._poll_safely(is_extra=False)
        self.assertAlmostEqual(self.client.start.call_args[0][3], latest_s)
        self.assertAlmostEqual(self.client.poll.call_args[0][3], latest_s)

    def test_leases_end_in_time_by_a_slow_clock_that_was_read_before_a_pause(
        self,
    ):
        # Guards against a run that outlasts its lease by a share of the pause.
        pause_s = 5.0
        self.simulation.now = replied_at = clocks.read_monotonic_s()
        self.simulation.poll("w0")
        worker_clock_s = self.worker.polled_clock_s
        now = replied_at + pause_s
        self.session._clock = lambda: now
        until_s = self.session._extend_lease()
        rate = 1 - runs.MAX_CLOCK_DRIFT
        ends_at = replied_at + (until_s - worker_clock_s) / rate
        lease_s = simulations.LEASE_S * (1 + runs.MAX_CLOCK_DRIFT)
        self.assertLess(ends_at, now + lease_s + simulations.EPSILON_S)

    def test_leases_are_not_extended_beside_an_unclaimed_run(self):
        # Guards against a run that a second owner keeps alive while the first one,
        # cut off from the worker, starts its task elsewhere.
        self.session._clock = lambda: self.simulation.now
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self.simulation.poll(
            "w0",
            running=((order.task, order.number, 1.0), ("c3.0.0.0", 1, 1.0)),
        )
        self.client.poll.return_value = fleet.PollReply(
            1e6,
            simulations.STARTED_MS,
            (fleet.ObservedRun("c3.0.0.0", 1, 1.0),),
            (),
        )
        lease_until_s = self.worker.lease_until_s
        self.session._poll_safely(is_extra=True)
        self.assertIsNone(self.client.poll.call_args[0][3])
        self.session._start_run_safely(order)
        self.client.start.assert_not_called()
        self.assertEqual(self.worker.lease_until_s, lease_until_s)

    def test_polls_go_on_once_they_work_again(self):
        reply = fleet.PollReply(1e6, simulations.STARTED_MS, (), ())
        self.client.poll.side_effect = [ZeroDivisionError, reply]
        with self.assertLogs(sessions.LOGGER, "ERROR"):
            self.session._poll_safely(is_extra=False)
        self.session._poll_safely(is_extra=False)
        self.assertTrue(self.worker.is_reachable)
        self.assertEqual(self.worker.missed_polls, 0)

    def test_extra_poll_that_fails_does_not_prevent_the_next_one(self):
        self.client.poll.side_effect = ZeroDivisionError
        with self.assertLogs(sessions.LOGGER, "ERROR"):
            for _ in range(2):
                self.session.poll_now()
                gevent.sleep(2 * sessions.FAILED_PAUSE_S)
        self.assertEqual(self.client.poll.call_count, 2)

    def test_run_whose_start_fails_may_exist(self):
        # Guards against a run that holds its resources for good, and against
        # a second one beside it.
        self.session._clock = lambda: self.simulation.now
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self.client.start.side_effect = OverflowError
        with self.assertLogs(sessions.LOGGER, "ERROR"):
            self.session._start_run_safely(order)
        (run,) = self.worker.runs.values()
        self.assertIs(run.state, fleet.RunState.UNCERTAIN)
        self.assertIn(effects.LookNow("w0"), self.region.effects)


class OutdatedStartTest(unittest.TestCase):
    """A start that is sent some time after it was decided.

    Guards against a second run of a task that the next owner has started during a
    pause of this one.
    """

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=1)
        self.region = self.simulation.region
        self.worker = self.region.workers["w0"]
        self.session = sessions.Session(
            self.region,
            self.worker,
            mock.Mock(),
            lambda: self.simulation.now,
        )
        self.session._client = self.client = mock.Mock()
        self.client.start.return_value = fleet.StartReply.STARTED
        self.simulation.submit("a1", tasks=1)
        (self.order,) = self.simulation.take_starts()

    def _start_after(self, seconds: float) -> None:
        self.simulation.now += seconds
        self.session._start_run_safely(self.order)

    def test_start_is_not_sent_after_a_pause(self):
        with self.assertLogs(sessions.LOGGER, "INFO") as found:
            self._start_after(sessions.MAX_START_AGE_S + 0.01)
        self.client.start.assert_not_called()
        self.assertEqual(found.records[0].fields["age_s"], 0.36)
        # The worker did not fail, and the task starts anew.
        self.assertTrue(self.worker.is_reachable)
        (anew,) = (
            effect
            for effect in self.region.effects
            if isinstance(effect, effects.StartRun)
        )
        self.assertEqual(anew.number, self.order.number + 1)

    def test_start_that_was_not_sent_extends_no_lease(self):
        lease_until_s = self.worker.lease_until_s
        with self.assertLogs(sessions.LOGGER, "INFO"):
            self._start_after(sessions.MAX_START_AGE_S + 0.01)
        self.assertEqual(self.worker.lease_until_s, lease_until_s)

    def test_slow_owner_starts_tasks(self):
        self._start_after(sessions.MAX_START_AGE_S - 0.01)
        self.client.start.assert_called_once()

    def test_lease_of_a_late_start_counts_from_the_decision(self):
        decided_at = self.simulation.now
        self._start_after(0.3)
        until_s = self.client.start.call_args[0][3] - self.worker.clock_ahead_s
        self.assertLessEqual(until_s, decided_at + simulations.LEASE_S)

    def test_start_of_a_job_that_has_ended_meanwhile_is_not_sent(self):
        attempt = simulations.get_attempt("g1")
        intake.cancel_attempt(
            self.region,
            "a1",
            attempt,
            jobs.Reason.CALLER_LEFT,
            self.simulation.now,
        )
        with self.assertLogs(sessions.LOGGER, "INFO"):
            self._start_after(0.001)
        self.client.start.assert_not_called()
        self.assertEqual(self.worker.runs, {})

    def test_start_of_an_owner_that_has_resigned_is_not_sent(self):
        self.session.close()
        with self.assertLogs(sessions.LOGGER, "INFO"):
            self._start_after(0.001)
        self.client.start.assert_not_called()

    def test_no_other_daemon_claims_before_a_start_is_outdated(self):
        # The last heartbeat was sent up to an interval before the decision.
        for timeout_s, interval_s in (
            (heartbeats.choose_timeout_s(0, True), heartbeats.MIN_INTERVAL_S),
            (
                heartbeats.choose_distant_timeout_s(False, True, 0, 0.0),
                heartbeats.DISTANT_OWNER_INTERVAL_S,
            ),
        ):
            self.assertLessEqual(
                sessions.MAX_START_AGE_S, timeout_s - interval_s
            )


class RefusalTest(unittest.TestCase):
    """A worker refuses connections: it has crashed, or the network is partitioned."""

    def setUp(self):
        self.simulation = simulations.RegionSimulation(workers=3)
        self.region = self.simulation.region
        self.simulation.submit("a1", tasks=1)
        (order,) = self.simulation.take_starts()
        self.simulation.confirm(order)
        self.worker = self.region.workers[order.worker_id]
        self.session = sessions.Session(
            self.region,
            self.worker,
            sessions.Callbacks(
                on_event=lambda: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
            ),
            lambda: self.simulation.now,
        )
        self.session._client = self.client = mock.Mock()
        self.addCleanup(self.session.close)

    def _refuse_polls(
        self,
        witness_accepts: list[bool],
        first: type[workers.PollError] = workers.ClosedError,
    ) -> int:
        """Refuse polls after a first error; return the suspicions."""
        self.client.poll.side_effect = itertools.chain(
            [first], itertools.repeat(workers.RefusedError)
        )
        with mock.patch.object(
            workers, "accepts_connection", side_effect=witness_accepts
        ) as check:
            for _ in range(replies.MAX_MISSED_POLLS):
                self.session._poll_safely(is_extra=False)
        self.assertEqual(check.call_count, len(witness_accepts))
        self.assertFalse(self.worker.is_reachable)
        return self.region.jobs["a1"].tasks[0].crashes.suspicions

    def test_partition_that_refuses_connections_is_no_crash(self):
        """Guards against jobs that fail although no process has ended."""
        self.assertEqual(self._refuse_polls([False]), 0)

    def test_single_witness_that_refuses_raises_doubt(self):
        """Guards against a connection that is made just before the partition."""
        self.assertEqual(self._refuse_polls([True, False]), 0)

    def test_partition_of_a_single_worker_is_no_crash(self):
        """Guards against jobs that fail as their workers are cut off in turn.

        The partition resets connections and refuses new ones, while the others of
        the data centre accept them.
        """
        for first in (workers.PollError, workers.RefusedError):
            self.setUp()
            self.assertEqual(self._refuse_polls([], first), 0)

    def test_connection_that_fails_raises_doubt_about_one_that_was_closed(self):
        """Guards against a partition right after a connection was closed."""
        self.client.poll.side_effect = itertools.chain(
            [workers.ClosedError, workers.PollError],
            itertools.repeat(workers.RefusedError),
        )
        for _ in range(replies.MAX_MISSED_POLLS + 1):
            self.session._poll_safely(is_extra=False)
        self.assertEqual(self.region.jobs["a1"].tasks[0].crashes.suspicions, 0)

    def test_connection_that_was_closed_before_a_reply_counts_no_more(self):
        """Guards against old evidence that a later partition completes."""
        self.client.poll.side_effect = workers.ClosedError
        self.session._poll_safely(is_extra=False)
        self.simulation.poll(self.worker.listing.worker_id)
        self.assertEqual(self._refuse_polls([], workers.RefusedError), 0)

    def test_refusal_is_a_crash_if_others_accept_connections(self):
        """Guards against crashes that are taken for silence."""
        self.assertEqual(self._refuse_polls([True, True]), 1)

    def test_crash_is_found_once_the_doubt_is_over(self):
        """Guards against a crash that is missed, as a witness crashed too."""
        self.assertEqual(self._refuse_polls([False]), 0)
        with mock.patch.object(
            workers, "accepts_connection", return_value=True
        ) as check:
            for _ in range(2):
                self.session._poll_safely(is_extra=False)
        self.assertEqual(self.region.jobs["a1"].tasks[0].crashes.suspicions, 1)
        self.assertEqual(check.call_count, 2)

    def test_without_witnesses_nothing_is_known(self):
        """Guards against a partition of a data centre that is lost entirely."""
        for worker_id, worker in self.region.workers.items():
            if worker is not self.worker:
                self.simulation.lose(worker_id)
        self.assertEqual(self._refuse_polls([]), 0)

    def test_refusal_of_the_only_worker_is_a_crash(self):
        """Guards against crashes that count as silence where nothing compares."""
        for worker_id in list(self.region.workers):
            if worker_id != self.worker.listing.worker_id:
                self.region.remove_worker(worker_id)
        self.assertEqual(self._refuse_polls([]), 1)

    def test_gone_worker_without_a_crash_to_find_is_not_checked(self):
        """Guards against connections to others as long as a worker is away."""
        draining = dataclasses.replace(self.worker.listing, is_draining=True)
        self.worker.update_listing(draining)
        self.assertEqual(self._refuse_polls([]), 0)
        idle = fleet.Worker(simulations.build_listing("w9"))
        self.assertFalse(crashes.is_crash_possible(idle))

    def test_other_incarnation_needs_no_witness(self):
        """Guards against a restart that is taken for a partition."""
        self.client.poll.side_effect = workers.OtherIncarnationError
        for _ in range(replies.MAX_MISSED_POLLS):
            self.session._poll_safely(is_extra=False)
        self.assertEqual(self.region.jobs["a1"].tasks[0].crashes.suspicions, 1)

    def test_worker_that_answers_during_the_check_has_not_crashed(self):
        """Guards against a task that is suspected on a worker that is back."""

        def answer_meanwhile(address: tuple[str, int]) -> bool:
            del address  # Unused.
            self.simulation.poll(self.worker.listing.worker_id)
            return True

        self.client.poll.side_effect = itertools.chain(
            [workers.ClosedError], itertools.repeat(workers.RefusedError)
        )
        with mock.patch.object(
            workers, "accepts_connection", side_effect=answer_meanwhile
        ):
            for _ in range(replies.MAX_MISSED_POLLS):
                self.session._poll_safely(is_extra=False)
        self.assertTrue(self.worker.is_reachable)
        self.assertEqual(self.region.jobs["a1"].tasks[0].crashes.suspicions, 0)
