"""Tests of `bench.ports`."""

import unittest
from unittest import mock

from bench import ports

SMALL_RANGE = range(30_000, 30_020)


class PortsTest(unittest.TestCase):
    """A port is returned only once, even if no process listens on it yet."""

    def setUp(self):
        for name, value in (("RANGE", SMALL_RANGE), ("_given", set())):
            patch = mock.patch.object(ports, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def test_no_port_is_returned_twice(self):
        found = [port for _ in range(4) for port in ports.find_free_ports(4)]
        self.assertEqual(len(found), len(set(found)))

    def test_too_few_free_ports_raise(self):
        with self.assertRaises(OSError):
            ports.find_free_ports(len(SMALL_RANGE) + 1)
