"""What the soak takes for a broken promise, and what not."""

import unittest

from soak import callers
from soak import clusters
from soak import promises
from standins import site as sites
from standins import site_worker


def _build_run(task: str, number: int, **changes: object) -> site_worker.Run:
    plain = {"began_s": 1.0, "run_s": 0.1, "cpu": 30_000, "ended_s": 1.1}
    return site_worker.Run(task, number, **(plain | {"how": "done"} | changes))


def _build_call(status: int, state: str = "", **changes: object):
    plain = {"tasks": 1, "sent_s": 0.9, "has_left": False, "ended_s": 1.2}
    reply = clusters.Reply(status, state)
    return callers.Call("a1", "d1", reply=reply, **(plain | changes))


class PromisesTest(unittest.TestCase):
    """One case a promise, kept and broken."""

    def setUp(self):
        self.site = sites.Site()
        self.addCleanup(self.site.close)
        self.worker = self.site.add_worker("w0")

    def _find(self, *calls: callers.Call, spans: tuple = ()) -> list[str]:
        return promises.find_broken(self.site, calls, spans)

    def test_a_refusal_is_true(self):
        self.assertEqual(self._find(_build_call(promises.REFUSED)), [])
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.assertIn("refused", self._find(_build_call(promises.REFUSED))[0])

    def test_a_completed_job_has_all_its_tasks_done(self):
        call = _build_call(200, "completed", tasks=2)
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.assertIn("1 of 2", self._find(call)[0])
        self.worker.history.append(_build_run("a1.0.0.1", 1))
        self.assertEqual(self._find(call), [])

    def test_no_task_runs_twice_at_a_time(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1))
        self.worker.history.append(_build_run("a1.0.0.0", 2, began_s=1.05))
        self.assertIn("ran twice", self._find()[0])

    def test_one_run_after_the_other_is_allowed(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1, how="stopped"))
        self.worker.history.append(_build_run("a1.0.0.0", 2, began_s=1.1))
        self.assertEqual(self._find(), [])

    def test_no_worker_holds_more_than_it_has(self):
        for index in range(3):
            self.worker.history.append(_build_run(f"a1.0.0.{index}", 1))
        self.assertIn("more than it has", self._find()[0])

    def test_a_daemon_left_in_peace_answers(self):
        call = _build_call(0)
        self.assertIn("left in peace", self._find(call)[0])
        span = promises.Span("d1", 0.5, 0.8)
        self.assertEqual(self._find(call, spans=(span,)), [])
        other = promises.Span("d2", 0.5, 0.8)
        self.assertEqual(len(self._find(call, spans=(other,))), 1)

    def test_a_caller_that_left_is_owed_nothing(self):
        self.assertEqual(self._find(_build_call(0, has_left=True)), [])

    def _find_late_starts(self, *troubles: promises.Span) -> list[str]:
        leave = promises.Leave("w0", 10.0, 20.0)
        return promises.find_late_starts(self.site, [leave], troubles)

    def test_a_worker_that_leaves_gets_no_new_work(self):
        for began_s in (9.0, 10.0 + promises.LEAVING_S, 20.5):
            run = _build_run(f"at{began_s}.0.0.0", 1, began_s=began_s)
            self.worker.history.append(run)
        self.assertEqual(self._find_late_starts(), [])
        late = _build_run("late.0.0.0", 1, began_s=12.5)
        self.worker.history.append(late)
        self.assertIn("late.0.0.0", self._find_late_starts()[0])

    def test_unless_the_store_could_not_tell(self):
        self.worker.history.append(_build_run("a1.0.0.0", 1, began_s=12.5))
        trouble = promises.Span("", 9.0, 11.0)
        self.assertEqual(self._find_late_starts(trouble), [])
        earlier = promises.Span("", 3.0, 5.0)
        self.assertEqual(len(self._find_late_starts(earlier)), 1)
