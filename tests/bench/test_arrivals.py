"""Tests of `bench.arrivals` and of the requests built from them."""

import unittest

from bench import arrivals
from bench import layouts
from bench import requests


class DrawTest(unittest.TestCase):
    def setUp(self):
        self.jobs = arrivals.draw(layouts.RED_ANDINA, 0.7, 60.0, seed=1)
        self.tasks = [task for job in self.jobs for task in job.tasks]

    def test_equal_seeds_give_equal_arrivals(self):
        again = arrivals.draw(layouts.RED_ANDINA, 0.7, 60.0, seed=1)
        other = arrivals.draw(layouts.RED_ANDINA, 0.7, 60.0, seed=2)
        self.assertEqual(self.jobs, again)
        self.assertNotEqual(self.jobs, other)

    def test_total_run_time_matches_the_load(self):
        work_s = sum(task.run_ms for task in self.tasks) / 1000
        offered = work_s / (60.0 * layouts.RED_ANDINA.count_slots())
        self.assertAlmostEqual(offered, 0.7, delta=0.01)

    def test_times_are_in_order_within_the_run(self):
        times = [job.at_s for job in self.jobs]
        self.assertEqual(times, sorted(times))
        self.assertTrue(times[0] >= 0 and times[-1] <= 60.0)

    def test_run_times_and_declarations_are_within_bounds(self):
        long = [task for task in self.tasks if task.run_ms > 1000]
        self.assertAlmostEqual(len(long) / len(self.tasks), 0.02, delta=0.01)
        self.assertTrue(all(2000 <= task.run_ms <= 6000 for task in long))
        self.assertTrue(all(task.run_ms >= 50 for task in self.tasks))
        errors = [task.declared_ms / task.run_ms for task in self.tasks]
        self.assertTrue(all(0.099 < error < 10.01 for error in errors))
        self.assertTrue(min(errors) < 0.15 and max(errors) > 7)

    def test_jobs_have_1_to_100_tasks(self):
        sizes = {len(job.tasks) for job in self.jobs}
        self.assertTrue(min(sizes) >= 1 and 90 < max(sizes) <= 100)

    def test_bursts_raise_the_rate(self):
        jobs = arrivals.draw(layouts.DALBIT, 0.7, 400.0, seed=1)
        inside = sum(
            job.at_s % arrivals.BURST_PERIOD_S < arrivals.BURST_LENGTH_S
            for job in jobs
        )
        burst_s = 400.0 * arrivals.BURST_LENGTH_S / arrivals.BURST_PERIOD_S
        factor = (inside / burst_s) / ((len(jobs) - inside) / (400.0 - burst_s))
        self.assertAlmostEqual(factor, arrivals.BURST_FACTOR, delta=0.8)


class BuildTest(unittest.TestCase):
    def test_echoes_are_unique(self):
        jobs = arrivals.draw(layouts.SMALL, 0.7, 30.0, seed=1)
        built = [
            request
            for run_id in ("a", "b")
            for request in requests.build_all(
                jobs,
                run_id=run_id,
                plan_id="p",
                targets=2,
                seed=1,
                deadline_ms=1000,
            )
        ]
        echoes = [echo for one in built for echo in one.echoes.values()]
        self.assertEqual(len(echoes), len(set(echoes)))
        self.assertEqual({one.target for one in built}, {0, 1})
        for request in built:
            sent = {
                task["id"]: task["payload"]["echo"]
                for task in request.body["tasks"]
            }
            self.assertEqual(sent, request.echoes)
