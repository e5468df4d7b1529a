"""Tests of request routing."""

import unittest

from pollenladder.jobs import entities
from pollenladder.jobs import routing


def _build_queue(name: str, host: str, prefix: str) -> entities.Queue:
    return entities.Queue(name, host, prefix, "s", 0, 3, 1.5, 1.6, 0.06)


class RoutingTest(unittest.TestCase):
    """Requests go to the queue with their host and the longest prefix."""

    def setUp(self):
        queues = (
            _build_queue("short", "a.example", "/x/"),
            _build_queue("long", "a.example", "/x/y/"),
            _build_queue("other", "b.example", "/x/"),
        )
        self.table = routing.RoutingTable(
            entities.Configuration(1, queues, 1000, b"")
        )

    def test_host_and_longest_prefix_select_the_queue(self):
        cases = (
            ("a.example", "/x/1", "short"),
            ("a.example", "/x/y/1", "long"),
            ("A.Example:80", "/x/1", "short"),
            ("b.example", "/x/y/1", "other"),
            ("c.example", "/x/1", None),
            ("a.example", "/z/1", None),
            ("", "/x/1", None),
        )
        for host, path, name in cases:
            with self.subTest(host=host, path=path):
                queue = self.table.find(host, path)
                self.assertEqual(queue.name if queue else None, name)
