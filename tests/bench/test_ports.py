"""Tests of `bench.ports`."""

import subprocess
import sys
import unittest
from unittest import mock

from bench import ports


def _find_free_block() -> range:
    """Return a block of ports that no process has claimed just now.

    A fixed block may be claimed by another suite, or by an earlier test of this
    process.
    """
    with (
        mock.patch.object(ports, "_unused", []),
        mock.patch.object(ports, "_claims", []),
    ):
        ports._claim_next(ports._iterate_blocks())
        (claim,) = ports._claims
        _, first = claim.getsockname()
        claim.close()
    return range(first, first + ports.BLOCK_SIZE)


class PortsTest(unittest.TestCase):
    """A port is returned only once, even if no process listens on it yet."""

    def setUp(self):
        block = _find_free_block()
        for name, value in (("RANGE", block), ("_unused", []), ("_claims", [])):
            patch = mock.patch.object(ports, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.addCleanup(self._release)

    def _release(self) -> None:
        for claim in ports._claims:
            claim.close()

    def test_no_port_is_returned_twice(self):
        found = [port for _ in range(4) for port in ports.find_free_ports(4)]
        self.assertEqual(len(found), len(set(found)))

    def test_too_few_free_ports_raise(self):
        with self.assertRaises(OSError):
            ports.find_free_ports(len(ports.RANGE) + 1)


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
