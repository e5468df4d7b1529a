"""A layout drops the group of a job, and the same daemon owns the next group.

The daemon has not read the layout. It runs the job on in the dropped group, as it hears
the gateway, and starts it in the next group after the wait of a next owner.
"""

import types
from unittest import mock

from pollenladder.cluster import roster as rosters
from pollenladder.service import job_exchange
from tests.service import test_moved_attempts

DAEMON_ID = "x"
DROPPED_GROUP = "norte/1"


class SameDaemonTest(test_moved_attempts.MovedAttemptTest):
    """The owners "a" and "b" are the engines of two groups in one daemon.

    The inherited tests, of two daemons, hold here as well.
    """

    def setUp(self):
        super().setUp()
        engines = {
            DROPPED_GROUP: self._build_engine("a"),
            test_moved_attempts.NEXT_GROUP: self._build_engine("b"),
        }
        self.exchange = job_exchange.JobExchange(
            rosters.Member(DAEMON_ID, "10.0.0.1", 1, "norte", 1),
            types.SimpleNamespace(groups=engines),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            lambda: self.now,
        )

    def _build_engine(self, owner_id: str) -> types.SimpleNamespace:
        engine = mock.Mock()
        engine.submit = lambda submission, gateway_id: super(
            SameDaemonTest, self
        )._submit(owner_id, "", submission)
        engine.cancel_attempt = lambda job_id, attempt, reason: super(
            SameDaemonTest, self
        )._cancel_attempt(owner_id, job_id, attempt, reason)
        return types.SimpleNamespace(engine=engine)

    def _submit(self, owner_id, group, submission) -> bool:
        if owner_id != DAEMON_ID:
            return super()._submit(owner_id, group, submission)
        gateway_id = test_moved_attempts.GATEWAY
        return self.exchange.submit_here(group, submission, gateway_id)

    def _cancel_attempt(self, owner_id, job_id, attempt, reason) -> bool:
        if owner_id != DAEMON_ID:
            return super()._cancel_attempt(owner_id, job_id, attempt, reason)
        self.exchange.cancel_attempt_here(
            job_id, attempt, reason, test_moved_attempts.GATEWAY
        )
        return True

    def test_next_group_of_the_same_daemon_starts_once_the_run_is_over(self):
        self.owner_id = DAEMON_ID
        self.group = DROPPED_GROUP
        self._begin()
        self.owners["b"].list_workers(["w1"])
        self.group = test_moved_attempts.NEXT_GROUP
        self._expect_start_after_the_first_run()
