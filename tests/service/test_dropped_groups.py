"""A layout drops the group of a job, and the same daemon owns the next group."""

import unittest

from pollenladder.jobs import entities as jobs
from pollenladder.service import gateway as gateways
from pollenladder.service import gateway_callbacks
from tests.scheduling import simulations
from tests.service import test_moved_attempts


class DroppedGroupTest(unittest.TestCase):
    """Guards against two runs at one daemon, which has not read the layout yet.

    It runs the job on in the dropped group, as it hears the gateway, and starts it in
    the next group after the wait of a next owner.
    """

    def setUp(self):
        self.group = "norte/0"
        self.sent = []
        self.now = 100.0
        self.gateway = gateways.Gateway(
            gateway_callbacks.Callbacks(
                find_owner=lambda group: "x",
                get_ownerless_s=lambda: 0.0,
                has_group=lambda group: group == self.group,
                count_groups=lambda: 2,
                choose_group=lambda job, excluded, needs_room: self.group,
                find_room=lambda job, asked: "",
                get_shed_share=lambda group: 0.0,
                submit=self._submit,
                cancel_attempt=self._cancel,
                release=lambda group, job_id, attempt: None,
                on_refused_with_room=lambda: None,
                on_answered=lambda queue, answer, took_s: None,
            ),
            lambda: self.now,
        )

    def _submit(self, owner_id, group, submission) -> bool:
        self.sent.append(("submit", owner_id, group))
        return True

    def _cancel(self, owner_id, job_id, attempt, reason) -> bool:
        self.sent.append(("cancel", owner_id, reason))
        return True

    def test_owner_is_told_that_the_attempt_has_left_the_dropped_group(self):
        submission = simulations.build_submission("j1", tasks=1, budget_s=9.0)
        self.gateway.submit(submission)
        self.group = "norte/1"
        self.now += 1.0
        self.gateway.forward_open_jobs()
        self.assertEqual(
            self.sent,
            [
                ("submit", "x", "norte/0"),
                ("cancel", "x", jobs.Reason.MOVED),
                ("submit", "x", "norte/1"),
            ],
        )


class SameDaemonTest(test_moved_attempts.MovedAttemptTest):
    """The owners "a" and "b" are the engines of two groups in one daemon."""

    def _submit(self, owner_id, group, submission) -> bool:
        engine = "b" if group == test_moved_attempts.NEXT_GROUP else owner_id
        return super()._submit(engine, group, submission)

    def _cancel_attempt(self, owner_id, job_id, attempt, reason) -> bool:
        for engine in self.owners:
            super()._cancel_attempt(engine, job_id, attempt, reason)
        return True

    def test_next_group_starts_once_the_run_of_a_dropped_group_is_over(self):
        # The daemon has not read the layout that drops the group.
        self._begin()
        self.owners["b"].list_workers(["w1"])
        self.group = test_moved_attempts.NEXT_GROUP
        self._expect_start_after_the_first_run()


if __name__ == "__main__":
    unittest.main()
