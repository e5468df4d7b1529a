"""The engine's admission of jobs, and restarts after a network partition."""

from collections.abc import Callable
import dataclasses
import time
import unittest
from unittest import mock

import gevent
from gevent import socket

from pollenladder.cluster import heartbeats
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import gateway_links
from pollenladder.scheduling import intake
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs
from pollenladder.service import engine as engines
from pollenladder.service import engine_callbacks
from pollenladder.service import handover_delays
from tests.scheduling import simulations

LEASE_S = 1.0


class EngineTest(unittest.TestCase):
    """An engine that has no workers yet."""

    def setUp(self):
        self.lag_s = 0.0
        self.engine = engines.Engine(
            LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda gateway_id, answer: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: self.lag_s,
                count=lambda decision: None,
            ),
            lambda: 100.0,
        )

    def _submit(self) -> bool:
        return self.engine.submit(simulations.build_submission("a1"), "g1")

    def test_daemon_that_is_not_the_owner_rejects_jobs(self):
        self.assertFalse(self._submit())

    def test_event_loop_lag_adds_to_the_age_of_a_job(self):
        self.engine.claim(1, reads_store=True)
        self.lag_s = 0.25
        self.assertTrue(self._submit())
        job = self.engine.region.jobs["a1"]
        self.assertEqual(job.submitted_at, 99.75)
        self.assertEqual(job.deadline_at, 100.0 + 2.0 - 0.25)

    def test_worker_whose_session_fails_does_not_hold_up_the_others(self):
        # Guards against a claim that one worker makes impossible.
        unusable = dataclasses.replace(
            simulations.build_listing("w0"), address=("127.0.\ufffd", 80)
        )
        usable = dataclasses.replace(
            simulations.build_listing("w1"), address=("127.0.0.1", 1)
        )
        self.engine.claim(1, reads_store=True)
        with self.assertLogs(engines.LOGGER, "ERROR") as found:
            self.engine.update_workers([unusable, usable], True, {})
        self.assertEqual(set(self.engine._sessions), {"w1"})
        (record,) = found.records
        self.assertEqual(record.fields["subject"], "w0")
        self.engine.resign()

    def _submit_and_collect(self, end: Callable[[], None]) -> list[dict]:
        """Return what is logged of attempts in a call after a submission."""
        self._submit()
        with self.assertLogs(engines.LOGGER, "INFO") as found:
            end()
        return [
            record.fields
            for record in found.records
            if record.getMessage() == "attempt_at_owner"
        ]

    def test_open_attempts_are_told_when_the_owner_resigns(self):
        self.engine.claim(1, reads_store=True)
        (line,) = self._submit_and_collect(self.engine.resign)
        self.assertEqual((line["job"], line["gateway"]), ("a1", "g1"))
        self.assertEqual(set(line["doubts"]), {"resigned"})

    def test_next_claim_tells_the_attempt_of_the_claim_before(self):
        self.engine.claim(1, reads_store=True)
        self._submit()
        self.engine.resign()
        self.engine.claim(3, reads_store=True)
        found = self._submit_and_collect(self.engine.resign)
        self.assertEqual([line["epoch"] for line in found], [1, 3])

    def test_open_attempts_are_told_when_any_link_is_lost(self):
        # Another daemon may start them in another group.
        self.engine.claim(1, reads_store=True)
        self._submit()
        self.engine.record_gateway_link("other", True)
        self.engine.record_gateway_link("other", False)
        (line,) = self._submit_and_collect(self.engine.resign)
        self.assertIn("peer_lost", line["doubts"])
        self.assertNotIn("link_changed", line["doubts"])

    def test_job_whose_home_group_has_no_owner_is_told(self):
        callbacks = engine_callbacks.Callbacks(
            answer=lambda gateway_id, answer: None,
            on_fenced=lambda worker_id: None,
            get_lag_s=lambda: 0.0,
            count=lambda decision: None,
            find_doubt=lambda job_id: doubts.Doubt.HOME_GROUP_PASSED_OVER,
        )
        self.engine = engines.Engine(LEASE_S, callbacks, lambda: 100.0)
        self.engine.claim(1, reads_store=True)
        (line,) = self._submit_and_collect(self.engine.resign)
        self.assertIn("home_group_passed_over", line["doubts"])

    def test_effect_that_fails_does_not_hold_up_the_others(self):
        # Guards against orders and answers that are lost with another one.
        self.engine.claim(1, reads_store=True)
        answered = []

        def answer(gateway_id: str, found: jobs.Answer) -> None:
            if gateway_id == "g1":
                raise ValueError
            answered.append(found.job_id)

        self.engine._callbacks = dataclasses.replace(
            self.engine._callbacks, answer=answer
        )
        self._submit()
        self.engine.submit(simulations.build_submission("a2"), "g2")
        for job_id in ("a1", "a2"):
            intake.cancel_job(self.engine.region, job_id, 100.0)
        with self.assertLogs(engines.LOGGER, "ERROR"):
            self.engine._apply_effects()
        self.assertEqual(answered, ["a2"])

    def test_job_whose_intake_fails_is_answered(self):
        # Guards against a caller that waits for its deadline.
        self.engine.claim(1, reads_store=True)
        answers = []
        self.engine._callbacks = dataclasses.replace(
            self.engine._callbacks,
            answer=lambda gateway_id, found: answers.append(found),
        )
        with (
            mock.patch.object(intake, "submit", side_effect=ZeroDivisionError),
            self.assertLogs(engines.LOGGER, "ERROR"),
        ):
            self.assertTrue(self._submit())
        (found,) = answers
        self.assertIs(found.outcome, jobs.Outcome.REFUSED)
        self.assertIs(found.reason, jobs.Reason.INTERNAL_ERROR)

    def test_later_owner_knows_that_workers_moved_to_another_group(self):
        self.engine.record_moved_workers()
        self.engine.claim(1, reads_store=True)
        self.assertEqual(
            unknown_runs.find_list_doubt(self.engine.region, 100.0),
            "workers_moved",
        )


class PartitionTest(unittest.TestCase):
    """Two owners on the two sides of a network partition that begins at 0."""

    def _find_last_renewal_s(self, attempt_lease_s: float) -> float:
        """Return the latest time at which the old side renews a run's lease.

        The old owner ends the attempt once its lease has expired, which it notices
        up to two ticks late, and its stop order is repeated once. If it hands over
        just before, the next owner on its side treats the run as an orphan and
        waits once more. That owner notices the end of its wait up to one tick late.
        """
        expired_s = attempt_lease_s + 2 * engines.TICK_S
        stopped_s = expired_s + runs.STOP_RETRY_S + engines.TICK_S
        return stopped_s + runs.ORPHAN_GRACE_S + engines.TICK_S

    def _find_first_start_s(self, attempt_lease_s: float) -> float:
        """Return the earliest time at which the new owner restarts the task.

        The gateway loses the old owner after `OWNER_TIMEOUT_S` and forwards the
        job to the new one, which waits until the old leases have expired.
        """
        region = tables.Region(
            1,
            0.0,
            LEASE_S,
            handover_delay_s=handover_delays.bound_handover_delay_s(
                attempt_lease_s
            ),
        )
        return unknown_runs.get_lease_expiry(region, heartbeats.OWNER_TIMEOUT_S)

    def test_run_expires_before_its_task_is_started_again(self):
        for resubmission_s in (0.2, 1.0, 1.3, 9.0):
            lease_s = attempt_leases.choose_lease_s(resubmission_s)
            last_s = self._find_last_renewal_s(lease_s)
            expired_s = last_s + LEASE_S * (1 + runs.MAX_CLOCK_DRIFT)
            with self.subTest(resubmission_s=resubmission_s):
                self.assertGreater(self._find_first_start_s(lease_s), expired_s)

    def test_link_that_breaks_ends_attempts_before_their_lease(self):
        # The bound above also holds for a gateway whose link breaks at once.
        confirmed_s = (
            gateway_links.GATEWAY_GRACE_S + gateway_links.CONFIRMATION_S
        )
        shortest_s = attempt_leases.choose_lease_s(1.3)
        self.assertLess(confirmed_s, shortest_s)


class SilentGatewayTest(unittest.TestCase):
    """An owner and a gateway whose link carries nothing."""

    def setUp(self):
        self.now = 100.0
        self.read_times = {"g1": 99.0, "g2": 99.0}
        self.rejected: list[tuple[str, str, int]] = []
        self.engine = engines.Engine(
            LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda gateway_id, answer: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
                count=lambda decision: None,
                reject_attempt=lambda *attempt: self.rejected.append(attempt),
                list_read_times=lambda: dict(self.read_times),
            ),
            lambda: self.now,
        )

    def _run_until(self, end: float) -> None:
        """Run the engine's ticks; only g2 is heard from."""
        while self.now < end:
            self.now += engines.TICK_S
            self.read_times["g2"] = self.now
            with mock.patch.object(
                gevent, "sleep", side_effect=[None, None, ZeroDivisionError]
            ):
                self.assertRaises(ZeroDivisionError, self.engine.run)

    def test_only_its_attempts_end_before_their_callers_return(self):
        self.engine.claim(1, reads_store=True)
        self._run_until(100.2)
        for job_id, gateway_id in (("a1", "g1"), ("b2", "g2")):
            submission = simulations.build_submission(
                job_id, attempt=7, budget_s=9.0, slack_s=9.0
            )
            self.engine.submit(submission, gateway_id)
        self._run_until(101.2)
        self.assertEqual(list(self.engine.region.jobs), ["b2"])
        self.assertEqual(self.rejected, [("g1", "a1", 7)])

    def test_claim_with_a_higher_epoch_does_not_extend_the_lease(self):
        # Before, each further claim of an owner behind a partition counted as a
        # contact with all gateways.
        self.engine.claim(1, reads_store=True)
        self._run_until(100.2)
        submission = simulations.build_submission(
            "a1", attempt=7, budget_s=9.0, slack_s=9.0
        )
        self.engine.submit(submission, "g1")
        for epoch in (2, 3, 4):
            self._run_until(self.now + 0.3)
            self.engine.claim(epoch, reads_store=True)
        self._run_until(101.2)
        self.assertEqual(self.engine.region.jobs, {})
        self.assertEqual(self.rejected, [("g1", "a1", 7)])

    def _pause_with_unconfirmed_attempt(self) -> None:
        """Pause the owner until the gateway's time to forward a job again is over."""
        self.engine.claim(1, reads_store=True)
        self._run_until(100.2)
        submission = simulations.build_submission(
            "b2", attempt=7, budget_s=9.0, slack_s=9.0
        )
        self.engine.submit(submission, "g2")
        self.engine.record_gateway_link("g2", False)
        self.now += gateway_links.GATEWAY_GRACE_S + 0.1
        self._run_until(self.now + engines.TICK_S)

    def test_late_owner_first_reads_what_was_forwarded_again(self):
        # Guards against runs that are stopped after each pause of the owner.
        self._pause_with_unconfirmed_attempt()
        job = self.engine.region.jobs.get("b2")
        submission = simulations.build_submission(
            "b2",
            attempt=7,
            budget_s=9.0,
            slack_s=9.0,
            may_have_begun=True,
            first_run=33,
        )
        self.engine.submit(submission, "g2")
        self._run_until(self.now + 1.0)
        self.assertIsNotNone(job)
        self.assertIs(self.engine.region.jobs["b2"], job)

    def test_late_owner_ends_what_was_not_forwarded_again(self):
        self._pause_with_unconfirmed_attempt()
        self.assertEqual(list(self.engine.region.jobs), ["b2"])
        self._run_until(self.now + 2 * engines.TICK_S)
        self.assertEqual(self.engine.region.jobs, {})

    def test_claim_with_a_higher_epoch_keeps_the_limits_of_leases(self):
        # Guards against leases without a limit until the first tick after the claim,
        # which a pause of the process may delay.
        self.engine.claim(1, reads_store=True)
        self._run_until(100.2)
        before = dict(self.engine.region.gateways_heard_at)
        self.engine.claim(2, reads_store=True)
        self.assertEqual(self.engine.region.gateways_heard_at, before)
        self.assertIn("g1", before)

    def test_gateway_of_an_attempt_is_known_before_the_first_tick(self):
        # The same for a gateway that has just been linked.
        self.engine.claim(1, reads_store=True)
        self.engine.submit(simulations.build_submission("a1"), "g9")
        self.assertEqual(self.engine.region.gateways_heard_at["g9"], 100.0)
        self._run_until(100.2)
        self.engine.submit(simulations.build_submission("b2"), "g8")
        heard_at = self.engine.region.gateways_heard_at["g8"]
        self.assertGreater(heard_at, 100.2 - 3 * engines.TICK_S)
        self.assertLess(heard_at, 100.2)


class EventLoopTest(unittest.TestCase):
    """An engine and a gateway's connection in a real event loop."""

    PAUSES = 10
    PAUSE_S = 0.05

    def setUp(self):
        self.read_times: dict[str, float] = {}
        self.engine = engines.Engine(
            LEASE_S,
            engine_callbacks.Callbacks(
                answer=lambda gateway_id, answer: None,
                on_fenced=lambda worker_id: None,
                get_lag_s=lambda: 0.0,
                count=lambda decision: None,
                list_read_times=lambda: dict(self.read_times),
            ),
            time.monotonic,
        )
        self.near, self.far = socket.socketpair()
        self.engine.claim(1, reads_store=True)
        greenlets = [gevent.spawn(self._read), gevent.spawn(self.engine.run)]
        self.addCleanup(self.far.close)
        self.addCleanup(self.near.close)
        self.addCleanup(gevent.killall, greenlets)

    def _read(self) -> None:
        while self.near.recv(100):
            self.read_times["g1"] = time.monotonic()

    def _block(self) -> None:
        """Pause the process; a sleep of a greenlet would not block the others."""
        end = time.monotonic() + self.PAUSE_S
        while time.monotonic() < end:
            pass

    def _receive_and_block(self) -> None:
        """Pause the process as a frame arrives that the loop has not found yet."""
        self.sent_at = time.monotonic()
        self.far.send(b"frame")
        self._block()

    def test_what_arrived_before_a_pause_does_not_count_as_new(self):
        # Before, two ticks could come between the arrival of a frame and its read: the
        # one that the pause had delayed, and, after another pause, the next one.
        for index in range(self.PAUSES):
            gevent.sleep(engines.TICK_S * (4 + index / self.PAUSES))
            # Both are due at the same time as a tick, before it and after it.
            paused = gevent.spawn_later(0.001, self._receive_and_block)
            gevent.spawn_later(engines.TICK_S, self._block)
            self._block()
            paused.join()
            gevent.sleep(4 * engines.TICK_S)
            heard_at = self.engine.region.gateways_heard_at["g1"]
            self.assertLessEqual(heard_at, self.sent_at)
