"""Tests of `bench.ports`."""

import subprocess
import sys
import unittest
from unittest import mock

from bench import ports

SMALL_RANGE = range(30_000, 30_020)


class PortsTest(unittest.TestCase):
    """A port is returned only once, even if no process listens on it yet."""

    def setUp(self):
        for name, value in (("RANGE", SMALL_RANGE), ("_unused", [])):
            patch = mock.patch.object(ports, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def test_no_port_is_returned_twice(self):
        found = [port for _ in range(4) for port in ports.find_free_ports(4)]
        self.assertEqual(len(found), len(set(found)))

    def test_too_few_free_ports_raise(self):
        with self.assertRaises(OSError):
            ports.find_free_ports(len(SMALL_RANGE) + 1)


class ProcessesTest(unittest.TestCase):
    """Several processes that choose ports at the same time."""

    PROCESSES = 6
    COUNT = 40
    SCRIPT = (
        "import sys\n"
        "from bench import ports\n"
        "print(*ports.find_free_ports(int(sys.argv[1])), flush=True)\n"
        "sys.stdin.read()\n"
    )

    def test_processes_never_choose_the_same_port(self):
        """Guards against a daemon whose port another suite has taken."""
        started = [
            subprocess.Popen(
                [sys.executable, "-c", self.SCRIPT, str(self.COUNT)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(self.PROCESSES)
        ]
        lines = [process.stdout.readline() for process in started]
        for process in started:
            process.communicate()
        chosen = [port for line in lines for port in line.split()]
        self.assertEqual(len(chosen), self.PROCESSES * self.COUNT)
        self.assertEqual(len(set(chosen)), len(chosen))
