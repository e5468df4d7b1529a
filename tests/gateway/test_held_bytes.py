"""The room for unanswered requests, and who has to give way.

The tests guard against a crowd that takes a process's memory, and against ordinary
callers that pay for it.
"""

import unittest

from pollenladder.gateway import exceptions
from pollenladder.gateway import held_bytes
from pollenladder.gateway import limits

BOUNDS = limits.Limits(max_held_bytes=1000, ordinary_bytes=100)


class HeldBytesTest(unittest.TestCase):
    def setUp(self):
        self.budget = held_bytes.HeldBytes(BOUNDS)
        self.refused: list[str] = []

    def _add(self, name: str, size: int = 0) -> held_bytes.HeldRequest:
        request = held_bytes.HeldRequest(lambda: self.refused.append(name))
        self.budget.add(request)
        if size:
            self.budget.grow(request, size)
        return request

    def _check_no_room(self, request: held_bytes.HeldRequest, size: int):
        with self.assertRaises(exceptions.RequestError) as caught:
            self.budget.grow(request, size)
        self.assertEqual(caught.exception.status, 503)
        self.assertEqual(caught.exception.retry_after_s, BOUNDS.retry_after_s)

    def test_large_requests_share_half_of_the_room(self):
        self._add("a", 300)
        self._add("b", 200)
        self._check_no_room(self._add("c"), 400)
        self.assertEqual(self.refused, [])
        self.assertEqual(self.budget.total, 500)

    def test_the_largest_request_that_is_not_whole_gives_way(self):
        self._add("a", 300).is_whole = True
        self._add("b", 180)
        self._add("c", 120)
        self.assertEqual(self.refused, ["b"])

    def test_ordinary_requests_have_room_beside_a_crowd_of_large_ones(self):
        for number in range(50):
            request = self._add(str(number))
            try:
                self.budget.grow(request, 200)
            except exceptions.RequestError:
                self.budget.remove(request)
        self.refused.clear()
        for number in range(5):
            self._add(f"ordinary{number}", 100)
        self.assertEqual(self.refused, [])

    def test_an_ordinary_request_makes_a_large_one_give_way(self):
        self._add("large", 400)
        for number in range(6):
            self._add(f"ordinary{number}", 100)
        self.assertEqual(self.refused, [])
        self._add("last", 100)
        self.assertEqual(self.refused, ["large"])

    def test_requests_in_progress_are_not_refused(self):
        for number in range(10):
            self._add(str(number), 100).is_whole = True
        self._check_no_room(self._add("late"), 1)
        self.assertEqual(self.refused, [])

    def test_one_large_request_is_let_through_in_calm(self):
        request = self._add("only", 400)
        self.budget.grow(request, 2000)
        self.assertEqual(self.refused, [])
        self.budget.remove(request)
        self.assertEqual(self.budget.total, 0)

    def test_a_request_that_ends_leaves_its_room(self):
        request = self._add("a", 400)
        self.budget.resize(request, 0)
        self._add("b", 400)
        self.assertEqual(self.refused, [])
        self.assertEqual(self.budget.total, 400)


class FittingLimitsTest(unittest.TestCase):
    def test_limits_follow_the_machine(self):
        for memory_mb, descriptors in ((160, 3075), (300, 4100), (64, 250)):
            with self.subTest(memory_mb=memory_mb):
                memory_bytes = memory_mb * 1024 * 1024
                found = limits.fit(memory_bytes, descriptors)
                self.assertLess(
                    found.max_open_connections,
                    descriptors - limits.RESERVED_DESCRIPTORS,
                )
                connections = found.max_open_connections
                self.assertLess(
                    connections * limits.CONNECTION_BYTES, memory_bytes / 2
                )
                self.assertLess(found.max_held_bytes, memory_bytes / 20)

    def test_defaults_bound_large_machines(self):
        found = limits.fit(1e12, 1_000_000)
        self.assertEqual(found, limits.Limits())
