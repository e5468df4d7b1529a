"""What is foretold of places, against one that is worked out for each job."""

import heapq
import unittest

import hypothesis
from hypothesis import strategies

from pollenladder.scheduling import outlooks

RUN_S = strategies.floats(0.01, 2.0)
JOB = strategies.tuples(strategies.floats(0.0, 3.0), strategies.integers(1, 8))


def _build(places: list[float]) -> outlooks.Outlook:
    heap = list(places)
    heapq.heapify(heap)
    return outlooks.Outlook(0.0, [], [0], [], heap)


def _serve(
    places: list[float], waiting: list[tuple[float, int]], run_s: float
) -> list[float]:
    """Return when the last task of each job starts, served one by one."""
    heap = list(places)
    heapq.heapify(heap)
    starts = []
    for _, tasks in waiting:
        at = 0.0
        for _ in range(tasks):
            at = heapq.heapreplace(heap, heap[0] + run_s)
        starts.append(at)
    return starts


class OutlookTest(unittest.TestCase):
    """Starts, places and the jobs that come in between."""

    def test_without_a_place_there_is_no_start(self):
        outlook = _build([])
        outlook.add_job((True, 1.0), 2, 0.5)
        self.assertIsNone(outlook.find_last_start((True, 0.5), 1, 0.5))

    def test_an_urgent_job_goes_before_the_others(self):
        outlook = _build([0.0, 1.0])
        outlook.add_job((True, 5.0), 2, 4.0)
        self.assertEqual(outlook.find_last_start((True, 1.0), 1, 0.5), 0.0)
        self.assertEqual(outlook.find_last_start((True, 9.0), 1, 0.5), 4.0)

    def test_a_begun_job_goes_before_a_more_urgent_one(self):
        outlook = _build([0.0])
        outlook.add_job((False, 5.0), 1, 4.0)
        self.assertEqual(outlook.find_last_start((True, 1.0), 1, 0.5), 4.0)

    @hypothesis.given(
        places=strategies.lists(strategies.floats(0.0, 2.0), min_size=1),
        waiting=strategies.lists(JOB, max_size=20),
        asked=JOB,
        run_s=RUN_S,
    )
    def test_it_is_as_if_worked_out_anew(self, places, waiting, asked, run_s):
        """With equal run times it is exact, in whichever order jobs come."""
        outlook = _build(places)
        for urgency, tasks in waiting:
            outlook.add_job((True, urgency), tasks, run_s)
        urgency, tasks = asked
        found = outlook.find_last_start((True, urgency), tasks, run_s)
        ahead = sorted(j for j in waiting if j[0] < urgency)
        *_, expected = _serve(places, [*ahead, asked], run_s)
        self.assertAlmostEqual(found, expected)
