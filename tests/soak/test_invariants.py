"""Tests that the soak test's checks find records that violate invariants."""

import unittest

from soak import callers
from soak import clusters
from soak import invariants
from standins import site as sites
from standins import site_worker


def _build_run(task: str, number: int, **changes: object) -> site_worker.Run:
    plain = {"began_s": 1.0, "run_s": 0.1, "cpu": 30_000, "ended_s": 1.1}
    return site_worker.Run(task, number, **(plain | {"how": "done"} | changes))


def _build_call(status: int, state: str = "", **changes: object):
    plain = {"tasks": 1, "sent_s": 0.9, "has_left": False, "ended_s": 1.2}
    reply = clusters.Reply(status, state)
    return callers.Call("a1", "d1", reply=reply, **(plain | changes))


class InvariantsTest(unittest.TestCase):
    """Each invariant is tested with records that keep and violate it."""

    def setUp(self):
        self.site = sites.Site()
        self.addCleanup(self.site.close)
        self.worker = self.site.add_worker("w0")

    def _find(
        self, *calls: callers.Call, disturbances: tuple = ()
    ) -> list[str]:
        return invariants.find_violations(self.site, calls, disturbances)

    def test_a_refused_job_has_no_runs(self):
        self.assertEqual(self._find(_build_call(invariants.REFUSED)), [])
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.assertIn("refused", self._find(_build_call(invariants.REFUSED))[0])

    def test_no_daemon_logs_an_unexpected_error(self):
        # Guards against faults that a daemon survives, so that nobody notices.
        good = {"event": "started"}
        bad = {"event": "unexpected_error", "error": "a line\nValueError: x"}
        find = invariants.find_unexpected_errors
        self.assertEqual(find({"d1": [good]}), [])
        (found,) = find({"d1": [good], "d2": [bad]})
        self.assertEqual(found, "d2: unexpected_error: ValueError: x")

    def test_a_completed_job_has_all_its_tasks_done(self):
        call = _build_call(200, "completed", tasks=2)
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.assertIn("1 of 2", self._find(call)[0])
        self.worker.history.append(_build_run("a1.0.0.1", 1))
        self.assertEqual(self._find(call), [])

    def test_a_task_has_no_concurrent_runs(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.worker.history.append(_build_run("a1.0.0.0", 2, began_s=1.05))
        self.assertIn("two concurrent runs", self._find()[0])

    def test_consecutive_runs_are_allowed(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1, how="stopped"))
        self.worker.history.append(_build_run("a1.0.0.0", 2, began_s=1.1))
        self.assertEqual(self._find(), [])

    def test_no_worker_exceeds_its_cpu_capacity(self):
        for index in range(3):
            self.worker.history.append(_build_run(f"a1.0.0.{index}", 1))
        self.assertIn("exceeded its CPU capacity", self._find()[0])

    def test_a_crashing_task_is_not_started_again_and_again(self):
        for number in range(1, 6):
            how = "crashed" if number <= invariants.MAX_CRASHES else "done"
            run = _build_run("a1.0.0.0", number, began_s=number, how=how)
            run.ended_s = number + 0.1
            self.worker.history.append(run)
        self.assertEqual(self._find(), [])
        self.worker.history.append(_build_run("a1.0.0.0", 6, began_s=7.0))
        self.assertIn("started 3 times", " ".join(self._find()))

    def test_a_failed_job_has_a_task_that_failed_so_often(self):
        call = _build_call(200, "failed")
        # Crashes do not count, and one task alone must have failed so often.
        history = [
            _build_run("a1.0.0.1", 1, how="failed"),
            _build_run("a1.0.0.0", 1, how="crashed"),
            _build_run("a1.0.0.0", 2, how="crashed", began_s=1.5, ended_s=1.6),
        ]
        for number in range(sites.MAX_ATTEMPTS):
            self.worker.history[:] = history
            self.assertIn("failed, and no task", self._find(call)[0])
            began_s = 2.0 + number
            run = _build_run(
                "a1.0.0.0",
                number + 3,
                how="failed",
                began_s=began_s,
                ended_s=began_s + 0.1,
            )
            history.append(run)
        self.worker.history[:] = history
        self.assertEqual(self._find(call), [])

    def test_a_job_given_up_for_crashes_has_crashed_or_lost_workers(self):
        line = {
            "event": "job_ended",
            "job": "a1",
            "reason": "task_crashed_workers",
        }
        others = [line | {"reason": "deadline"}, {"event": "started"}]
        lines = {"d1": [line, *others]}
        find = invariants.find_unfounded_crashes
        self.assertEqual(find(self.site, {"d1": others}), [])
        for number in range(1, invariants.MIN_STARTS + 1):
            self.assertIn("no worker crashed", find(self.site, lines)[0])
            run = _build_run("a1.0.0.0", number, how="lapsed")
            self.worker.history.append(run)
        self.assertEqual(find(self.site, lines), [])
        crashed = _build_run("a1.0.0.0", 1, how="crashed")
        self.worker.history[:] = [crashed]
        self.assertEqual(find(self.site, lines), [])

    def test_an_undisturbed_daemon_answers(self):
        call = _build_call(0)
        self.assertIn("undisturbed daemon", self._find(call)[0])
        disturbance = invariants.Disturbance("d1", 0.5, 0.8)
        self.assertEqual(self._find(call, disturbances=(disturbance,)), [])
        other = invariants.Disturbance("d2", 0.5, 0.8)
        self.assertEqual(len(self._find(call, disturbances=(other,))), 1)

    def test_a_caller_that_left_needs_no_answer(self):
        self.assertEqual(self._find(_build_call(0, has_left=True)), [])

    def _find_starts_while_draining(
        self, *excused: invariants.Disturbance
    ) -> list[str]:
        drain = invariants.Drain("w0", 10.0, 20.0)
        return invariants.find_starts_while_draining(
            self.site, [drain], excused
        )

    def test_a_draining_worker_gets_no_new_run(self):
        for began_s in (9.0, 10.0 + invariants.DRAIN_GRACE_S, 20.5):
            run = _build_run(f"at{began_s}.0.0.0", 1, began_s=began_s)
            self.worker.history.append(run)
        self.assertEqual(self._find_starts_while_draining(), [])
        late = _build_run("late.0.0.0", 1, began_s=12.5)
        self.worker.history.append(late)
        self.assertIn("late.0.0.0", self._find_starts_while_draining()[0])

    def test_late_starts_are_allowed_after_a_store_fault(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1, began_s=12.5))
        excused_period = invariants.Disturbance("", 9.0, 11.0)
        self.assertEqual(self._find_starts_while_draining(excused_period), [])
        earlier = invariants.Disturbance("", 3.0, 5.0)
        self.assertEqual(len(self._find_starts_while_draining(earlier)), 1)
