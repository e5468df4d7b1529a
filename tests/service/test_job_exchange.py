"""Tests of cancellations on their way between gateways and owners."""

import types
import unittest
from unittest import mock

from pollenladder.cluster import groups
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.jobs import cancellations
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import sharing
from pollenladder.service import job_exchange
from tests.scheduling import simulations

GROUP = groups.REGION_GROUP
ATTEMPT = 7


class CancellationsTest(unittest.TestCase):
    """One daemon with an engine, a gateway, and links to other daemons."""

    def setUp(self):
        self.now = 100.0
        self.engine = mock.Mock()
        self.engine.cancel_job.return_value = False
        self.engine.cancel_attempt.return_value = False
        self.engine.submit.return_value = True
        self.mesh = mock.Mock()
        self.gateway = mock.Mock()
        self.gateway.cancel.return_value = False
        self.exchange = job_exchange.JobExchange(
            rosters.Member("d1", "10.0.0.1", 1, "norte", 1),
            types.SimpleNamespace(
                groups={GROUP: types.SimpleNamespace(engine=self.engine)}
            ),
            mock.Mock(),
            self.mesh,
            job_exchange.Callbacks(
                handle_answer=self.gateway.handle_answer,
                handle_reserved=lambda reply, sender: None,
                handle_crashes=self.gateway.handle_crashes,
                cancel=self.gateway.cancel,
            ),
            lambda: self.now,
        )
        self.submission = simulations.build_submission("a1", attempt=ATTEMPT)

    def test_job_that_is_forwarded_after_its_cancellation_does_not_start(self):
        # Before, a job that was cancelled while its gateway was frozen started
        # again once that one woke (review/4).
        self.assertFalse(self.exchange.cancel_job("a1"))
        self.now += 10.0
        self.assertTrue(self.exchange.submit_here(GROUP, self.submission, "d2"))
        self.engine.submit.assert_not_called()
        ((gateway_id, message),) = [c.args for c in self.mesh.send.mock_calls]
        self.assertEqual(gateway_id, "d2")
        self.assertEqual(message.answer.attempt, ATTEMPT)
        self.assertIs(message.answer.outcome, jobs.Outcome.CANCELLED)

    def test_job_that_was_cancelled_here_is_not_forwarded(self):
        # Before, the next attempt of a job that this daemon knew to be cancelled
        # started at an owner that the cancellation had not reached.
        self.exchange.cancel_job_here("a1")
        self.assertTrue(self.exchange.submit("d2", GROUP, self.submission))
        self.mesh.send.assert_not_called()
        ((answer, sender),) = [
            c.args for c in self.gateway.handle_answer.mock_calls
        ]
        self.assertEqual((answer.attempt, sender), (ATTEMPT, "d1"))
        self.assertIs(answer.outcome, jobs.Outcome.CANCELLED)

    def test_next_owner_knows_of_the_cancellation_too(self):
        # Before, only the owners of the moment were told.
        self.exchange.cancel_job("a1")
        self.mesh.broadcast.assert_called_once_with(messages.CancelJob("a1"))
        self.mesh.reset_mock()
        self.exchange.cancel_job_here("b2")
        self.mesh.broadcast.assert_not_called()

    def test_daemon_with_a_new_link_is_told_of_cancellations(self):
        # Guards against cancellations that were lost with a link (review/8), and that
        # nobody knows any more after a rolling restart (review/7).
        self.exchange.cancel_job("a1")
        self.now += 20.0
        self.exchange.cancel_job_here("b2")
        self.mesh.reset_mock()
        self.exchange.tell_cancellations("d3")
        told = [call.args for call in self.mesh.send.mock_calls]
        expected = [("d3", messages.CancelJob(j)) for j in ("a1", "b2")]
        self.assertEqual(told, expected)

    def test_daemon_is_not_told_of_old_cancellations(self):
        self.exchange.cancel_job("a1")
        self.now += cancellations.RETENTION_S
        self.exchange.tell_cancellations("d3")
        self.mesh.send.assert_not_called()

    def test_daemon_is_told_of_the_latest_cancellations_only(self):
        # Guards against a link whose queue is full of them.
        for number in range(cancellations.MAX_TOLD_JOBS + 5):
            self.exchange.cancel_job_here(f"a{number}")
        self.exchange.tell_cancellations("d3")
        sent = self.mesh.send.mock_calls
        self.assertEqual(len(sent), cancellations.MAX_TOLD_JOBS)
        self.assertEqual(sent[0].args[1], messages.CancelJob("a5"))

    def test_attempt_that_is_open_at_another_gateway_is_ended(self):
        # Guards against a gateway that forwards a cancelled job later.
        self.gateway.cancel.return_value = True
        self.assertTrue(self.exchange.cancel_job_here("a1"))
        self.gateway.cancel.assert_called_once_with("a1")

    def test_other_jobs_start(self):
        self.exchange.cancel_job("b2")
        self.exchange.submit_here(GROUP, self.submission, "d2")
        self.engine.submit.assert_called_once_with(self.submission, "d2")

    def test_cancellation_of_an_attempt_that_no_owner_knows_is_logged(self):
        with self.assertLogs(job_exchange.LOGGER, "INFO") as found:
            self.exchange.cancel_attempt_here(
                "a1", ATTEMPT, jobs.Reason.CALLER_LEFT, "d2"
            )
        (record,) = found.records
        self.assertEqual(record.getMessage(), "cancel_ignored")
        self.assertEqual(record.fields["attempt"], ATTEMPT)


class HomeGroupTest(unittest.TestCase):
    """Which jobs come to a group as no owner of their home group is known."""

    def setUp(self):
        self.owners = {"norte": "d1", "sur": "d2"}
        membership = mock.Mock()
        membership.find_owner.side_effect = self.owners.get
        self.exchange = job_exchange.JobExchange(
            rosters.Member("d1", "10.0.0.1", 1, "norte", 1),
            types.SimpleNamespace(
                groups=dict.fromkeys(self.owners),
                list_ownerless=lambda: [
                    name for name, owner in self.owners.items() if not owner
                ],
            ),
            membership,
            mock.Mock(),
            mock.Mock(),
            lambda: 100.0,
        )

    def _list_passed_over(self, group: str) -> list[str]:
        job_ids = [f"a{number}" for number in range(50)]
        return [
            job_id
            for job_id in job_ids
            if self.exchange.find_doubt(job_id, group)
            is doubts.Doubt.HOME_GROUP_PASSED_OVER
        ]

    def test_no_job_is_told_while_all_groups_have_owners(self):
        # A job of another group has been refused there.
        self.assertEqual(self._list_passed_over("norte"), [])

    def test_jobs_of_a_group_without_an_owner_are_told_elsewhere(self):
        self.owners["sur"] = ""
        found = self._list_passed_over("norte")
        homes = {sharing.choose_first_group(j, self.owners) for j in found}
        self.assertEqual(homes, {"sur"})
        self.assertEqual(self._list_passed_over("sur"), [])

    def test_all_jobs_are_told_after_a_link_was_lost(self):
        # Another daemon may have begun them while it followed no owner here.
        self.assertIsNone(self.exchange.find_doubt("a1", "norte"))
        self.exchange.record_link_change("d2", False)
        found = self.exchange.find_doubt("a1", "norte")
        self.assertIs(found, doubts.Doubt.PEER_LOST)
