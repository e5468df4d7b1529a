"""Tests of leases, task queries, stops and usage against the stand-in."""

import dataclasses
import unittest

import gevent

from pollenladder.core import verdicts
from pollenladder.endpoints import outcomes
from tests import waiting
from tests.contracts import endpoint_fixture

LEASE = endpoint_fixture.LEASE
OTHER_LEASE = outcomes.Lease("s-0", "d-2", 9)
FENCED_FAILURE = outcomes.Failure(
    verdicts.Verdict.NOT_RUN, verdicts.Reason.FENCED, ""
)
State = outcomes.TaskState


class ControlTest(unittest.TestCase):
    def setUp(self):
        self.fixture = endpoint_fixture.EndpointFixture()
        self.addCleanup(self.fixture.close)
        self.client = self.fixture.client

    def run_in_background(self, task_id):
        start = endpoint_fixture.build_start(task_id, {"run_ms": 10**8})
        job = gevent.spawn(self.client.start, start, endpoint_fixture.LONG_S)
        tasks = self.fixture.hosted.worker.tasks
        waiting.wait_until(lambda: tasks.find_running(task_id))
        return job

    def query_tasks(self, *task_ids, lease=None):
        return self.client.look_up_tasks(list(task_ids), lease)

    def test_a_granted_lease_lists_running_tasks(self):
        self.run_in_background("j:1")
        self.fixture.now_s += 2
        renewed = dataclasses.replace(LEASE, epoch=8)
        granted = self.client.acquire_lease(renewed, 5.0)
        running = outcomes.RunningTask(
            "j:1", "c-1", "p-1", "check", "d-1", 7, 2.0
        )
        expected = outcomes.LeaseGranted(8, (running,), 2, 10, False, 2.0)
        self.assertEqual(granted, expected)

    def test_a_refused_lease_names_the_holder(self):
        self.fixture.now_s += 20
        refused = self.client.acquire_lease(OTHER_LEASE, 5.0)
        expected = outcomes.LeaseRefused("d-1", 7, 40.0, 9, False)
        self.assertEqual(refused, expected)

    def test_a_start_renews_the_lease(self):
        self.fixture.now_s += 59
        self.client.start(
            endpoint_fixture.build_start(), endpoint_fixture.LONG_S
        )
        self.fixture.now_s += 59
        refused = self.client.acquire_lease(OTHER_LEASE, 5.0)
        self.assertEqual(refused.remaining_s, 1.0)

    def test_a_released_lease_is_free_at_once(self):
        self.assertEqual(
            self.client.release_lease(OTHER_LEASE),
            outcomes.LeaseReleased(False),
        )
        self.assertEqual(
            self.client.release_lease(LEASE), outcomes.LeaseReleased(True)
        )
        granted = self.client.acquire_lease(OTHER_LEASE, 5.0)
        self.assertIsInstance(granted, outcomes.LeaseGranted)
        self.assertEqual(self.query_tasks("j:0", lease=LEASE), FENCED_FAILURE)
        self.assertEqual(self.client.stop_tasks(["j:0"], LEASE), FENCED_FAILURE)

    def test_task_states_are_reported(self):
        self.run_in_background("j:1")
        ended = {
            "j:2": ({"echo": 5}, verdicts.Reason.OK),
            "j:3": ({"fail": True}, verdicts.Reason.TASK_ERROR),
        }
        for task_id, (payload, _) in ended.items():
            start = endpoint_fixture.build_start(task_id, payload)
            self.client.start(start, endpoint_fixture.LONG_S)
        self.fixture.now_s += 59
        seen = self.query_tasks("j:0", "j:1", "j:2", "j:3", lease=LEASE)
        self.assertEqual(seen.up_s, 59.0)
        self.assertIs(seen.tasks["j:0"].state, State.UNKNOWN)
        self.assertIs(seen.tasks["j:1"].state, State.RUNNING)
        for task_id, (_, reason) in ended.items():
            self.assertIs(seen.tasks[task_id].state, State.ENDED)
            self.assertIs(seen.tasks[task_id].reason, reason)
        self.assertEqual(seen.tasks["j:2"].output["echo"], 5)
        self.fixture.now_s += 1
        later = self.query_tasks("j:1", "j:2")
        self.assertIs(later.tasks["j:1"].state, State.RUNNING)
        self.assertIs(later.tasks["j:2"].state, State.UNKNOWN)

    def test_a_restart_forgets_tasks_and_resets_up_time(self):
        job = self.run_in_background("j:1")
        self.fixture.now_s += 5
        self.fixture.hosted.restart(kept=None)
        self.assertIs(job.get().verdict, verdicts.Verdict.MAY_HAVE_RUN)
        self.fixture.now_s += 1
        seen = self.query_tasks("j:1")
        self.assertIs(seen.tasks["j:1"].state, State.UNKNOWN)
        self.assertEqual(seen.up_s, 1.0)
        self.assertEqual(self.query_tasks("j:1", lease=LEASE), FENCED_FAILURE)

    def test_a_stop_lists_only_running_tasks(self):
        job = self.run_in_background("j:1")
        stopped = self.client.stop_tasks(["j:0", "j:1"], LEASE)
        self.assertEqual(stopped, outcomes.TasksStopped(("j:1",)))
        self.assertIs(job.get().reason, verdicts.Reason.STOPPED)
        seen = self.query_tasks("j:1").tasks["j:1"]
        self.assertIs(seen.reason, verdicts.Reason.STOPPED)

    def test_usage_lags(self):
        self.run_in_background("j:1")
        self.fixture.now_s += 3
        self.assertEqual(self.client.read_usage(), outcomes.Usage(0, 2, 0, 3.0))
        self.fixture.hosted.sample_usage()
        usage = self.client.read_usage()
        self.assertEqual((usage.running, usage.lag_s), (1, 0.0))

    def test_lease_replies_contain_leaving(self):
        self.fixture.set_faults(leaving=True)
        self.assertTrue(self.client.acquire_lease(LEASE, 5.0).leaving)
        self.assertTrue(self.client.acquire_lease(OTHER_LEASE, 5.0).leaving)
