"""Tests of start forecasts, compared with a simulation of each job."""

import heapq
import unittest

import hypothesis
from hypothesis import strategies

from pollenladder.scheduling import start_forecasts

RUN_S = strategies.floats(0.01, 2.0)
# Latest start time and number of tasks.
JOB = strategies.tuples(strategies.floats(0.0, 3.0), strategies.integers(1, 8))


def _build(slot_times: list[float]) -> start_forecasts.StartForecast:
    """Return a forecast without jobs, from when each slot becomes free."""
    heap = list(slot_times)
    heapq.heapify(heap)
    return start_forecasts.StartForecast(0.0, [], [0], [], heap)


def _simulate(
    slot_times: list[float], waiting: list[tuple[float, int]], run_s: float
) -> list[float]:
    """Return when the last task of each job starts, placing task by task."""
    heap = list(slot_times)
    heapq.heapify(heap)
    starts = []
    for _, tasks in waiting:
        at = 0.0
        for _ in range(tasks):
            at = heapq.heapreplace(heap, heap[0] + run_s)
        starts.append(at)
    return starts


class StartForecastTest(unittest.TestCase):
    """Start times of the last tasks of jobs.

    The first item of an urgency is False for a job that has begun.
    """

    def test_without_slots_there_is_no_start(self):
        forecast = _build([])
        forecast.add_job((True, 1.0), 2, 0.5)
        self.assertIsNone(forecast.find_last_start((True, 0.5), 1, 0.5))

    def test_an_urgent_job_starts_before_others(self):
        forecast = _build([0.0, 1.0])
        forecast.add_job((True, 5.0), 2, 4.0)
        self.assertEqual(forecast.find_last_start((True, 1.0), 1, 0.5), 0.0)
        self.assertEqual(forecast.find_last_start((True, 9.0), 1, 0.5), 4.0)

    def test_a_begun_job_starts_before_others(self):
        forecast = _build([0.0])
        forecast.add_job((False, 5.0), 1, 4.0)
        self.assertEqual(forecast.find_last_start((True, 1.0), 1, 0.5), 4.0)

    @hypothesis.given(
        slot_times=strategies.lists(strategies.floats(0.0, 2.0), min_size=1),
        waiting=strategies.lists(JOB, max_size=20),
        asked=JOB,
        run_s=RUN_S,
    )
    def test_the_forecast_matches_a_simulation(
        self, slot_times, waiting, asked, run_s
    ):
        """With equal run times, the forecast is exact, however jobs are added."""
        forecast = _build(slot_times)
        for urgency, tasks in waiting:
            forecast.add_job((True, urgency), tasks, run_s)
        urgency, tasks = asked
        found = forecast.find_last_start((True, urgency), tasks, run_s)
        ahead = sorted(j for j in waiting if j[0] < urgency)
        *_, expected = _simulate(slot_times, [*ahead, asked], run_s)
        self.assertAlmostEqual(found, expected)

    @hypothesis.given(
        slot_times=strategies.lists(strategies.floats(0.0, 2.0), min_size=1),
        waiting=strategies.lists(JOB, min_size=1, max_size=20),
        asked=JOB,
        run_s=RUN_S,
    )
    def test_jobs_behind_a_removed_one_move_up(
        self, slot_times, waiting, asked, run_s
    ):
        """Guards against jobs that are displaced for one that has left."""
        forecast = _build(slot_times)
        for urgency, tasks in waiting:
            forecast.add_job((True, urgency), tasks, run_s)
        removed = min(waiting)
        forecast.remove_job((True, removed[0]), removed[1])
        left = list(waiting)
        left.remove(removed)
        urgency, tasks = asked
        found = forecast.find_last_start((True, urgency), tasks, run_s)
        ahead = sorted(j for j in left if j[0] < urgency)
        *_, expected = _simulate(slot_times, [*ahead, asked], run_s)
        self.assertAlmostEqual(found, expected)
