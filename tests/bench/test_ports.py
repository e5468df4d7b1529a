"""Ports for processes that are started later."""

import unittest
from unittest import mock

from bench import ports

FEW = range(30_000, 30_020)


class PortsTest(unittest.TestCase):
    """Ports are given once, whether or not they are listened on by then."""

    def setUp(self):
        for name, value in (("RANGE", FEW), ("_given", set())):
            patch = mock.patch.object(ports, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def test_no_port_is_given_twice(self):
        found = [port for _ in range(4) for port in ports.find_free_ports(4)]
        self.assertEqual(len(found), len(set(found)))

    def test_too_few_are_an_error(self):
        with self.assertRaises(OSError):
            ports.find_free_ports(len(FEW) + 1)
