"""Cancellations that other daemons may not have received."""

import unittest
from unittest import mock

import gevent

from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.platform import exceptions
from pollenladder.service import job_cancellations
from pollenladder.service import peer_messages
from tests import waiting

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "5c0e7a21d94b36f9"


class JobCancellationsTest(unittest.TestCase):
    """A daemon that is linked to two others, "a" and "b"."""

    def setUp(self):
        self.now = 100.0
        self.knows_all = True
        self.roster = rosters.Roster("own")
        for name in ("a", "b"):
            member = rosters.Member(name, "10.0.0.1", 7720, "norte", 1)
            self.roster.record_member(member, self.now)
            self.roster.record_link_state(name, True, self.now)
        self.told: list[str] = []
        self.write_row = mock.Mock()
        self.cancellations = job_cancellations.JobCancellations(
            self.roster,
            job_cancellations.Callbacks(
                cancel_job=self._cancel_job,
                write_row=self.write_row,
                knows_all_daemons=lambda: self.knows_all,
            ),
            lambda: self.now,
        )

    def _cancel_job(self, job_id: str) -> bool:
        self.told.append(job_id)
        return job_id == JOB_ID

    def _cancel(self, *replies: str, job_id: str = JOB_ID) -> bool:
        """Cancel a job; some daemons reply."""
        cancelling = gevent.spawn(self.cancellations.cancel, job_id)
        waiting.wait_until(lambda: self.told or cancelling.dead)
        for name in replies:
            self.cancellations.record_reply(job_id, name)
        return cancelling.get()

    def test_replies_of_all_daemons_suffice(self):
        self.assertTrue(self._cancel("a", "b"))
        self.assertEqual(self.told, [JOB_ID])
        self.write_row.assert_not_called()

    def test_job_that_is_not_known_here_is_cancelled_all_the_same(self):
        self.assertFalse(self._cancel("a", "b", job_id=OTHER_JOB_ID))
        self.assertEqual(self.told, [OTHER_JOB_ID])

    def test_daemon_that_does_not_reply_is_told_through_the_store(self):
        # Guards against tasks that an owner starts after an acknowledged
        # cancellation, as the link to it had just been cut.
        self.assertTrue(self._cancel("a"))
        self.write_row.assert_called_once_with(JOB_ID)

    def test_reply_about_another_job_confirms_nothing(self):
        self.cancellations.record_reply(JOB_ID, "b")
        self.cancellations.record_reply(OTHER_JOB_ID, "b")
        self._cancel("a")
        self.write_row.assert_called_once_with(JOB_ID)

    def test_daemon_without_a_link_is_told_through_the_store(self):
        self.roster.record_link_state("b", False, self.now)
        self._cancel("a")
        self.write_row.assert_called_once_with(JOB_ID)

    def test_forgotten_daemon_that_may_be_alive_is_told_through_the_store(self):
        self.roster.record_link_state("b", False, self.now)
        self.now += rosters.FORGET_AFTER_S + 1.0
        self.assertEqual(self.roster.forget_lost(self.now), ["b"])
        self._cancel("a")
        self.write_row.assert_called_once_with(JOB_ID)

    def test_daemon_that_has_just_started_tells_through_the_store(self):
        self.knows_all = False
        self._cancel("a", "b")
        self.write_row.assert_called_once_with(JOB_ID)

    def test_daemon_that_is_gone_is_not_told(self):
        self.roster.record_link_state("b", False, self.now)
        self.now += rosters.FORGET_AFTER_S + 1.0
        self.roster.forget_lost(self.now)
        self.now += rosters.ROWLESS_RETRY_LIMIT_S
        self._cancel("a")
        self.write_row.assert_not_called()

    def test_cancellation_that_cannot_be_told_is_not_acknowledged(self):
        self.write_row.side_effect = exceptions.StoreError("503")
        with self.assertRaises(job_cancellations.UnconfirmedError):
            self._cancel("a")

    def test_two_cancellations_of_a_job_are_both_confirmed(self):
        both = [
            gevent.spawn(self.cancellations.cancel, JOB_ID) for _ in range(2)
        ]
        waiting.wait_until(lambda: len(self.told) == 2)
        for name in ("a", "b"):
            self.cancellations.record_reply(JOB_ID, name)
        self.assertEqual([one.get() for one in both], [True, True])
        self.write_row.assert_not_called()


class ReplyTest(unittest.TestCase):
    """The messages that confirm a cancellation."""

    def setUp(self):
        self.exchange = mock.Mock()
        self.callbacks = mock.Mock()
        self.receiver = peer_messages.Receiver(
            self.exchange,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            self.callbacks,
        )

    def test_cancelled_job_is_confirmed_once_it_is_known(self):
        calls = mock.Mock()
        calls.attach_mock(self.exchange.cancel_job_here, "cancel")
        calls.attach_mock(self.callbacks.send, "send")
        self.receiver.handle("a", messages.CancelJob(JOB_ID))
        self.assertEqual(
            calls.mock_calls,
            [
                mock.call.cancel(JOB_ID),
                mock.call.send("a", messages.JobCancelled(JOB_ID)),
            ],
        )

    def test_confirmation_is_passed_on(self):
        self.receiver.handle("a", messages.JobCancelled(JOB_ID))
        self.callbacks.on_job_cancelled.assert_called_once_with(JOB_ID, "a")
        self.callbacks.send.assert_not_called()
