"""Settings signals that reach a daemon while it starts, and later."""

import os
import signal
import subprocess
import sys
import unittest

from gevent import subprocess as gevent_subprocess

from soak import clusters
from tests import waiting

NAME = "d1"
NOTICE = "loading"
# Runs the entry point, but waits for a line before it loads the daemon's modules.
STARTER = f"""
import runpy
import sys

class Waiter:
    def find_spec(self, name, path=None, target=None):
        if name == "pollenladder.conf":
            sys.meta_path.remove(self)
            print("{NOTICE}", file=sys.stderr, flush=True)
            sys.stdin.readline()
        return None

sys.meta_path.insert(0, Waiter())
runpy.run_module("pollenladder.service", run_name="__main__", alter_sys=True)
"""


class SettingsSignalsTest(unittest.TestCase):
    """One daemon, started by the entry point of the deploy file."""

    def setUp(self):
        self.cluster = clusters.Cluster(self.addCleanup, [NAME], workers=1)
        self.cluster.stop_all()
        self.daemon = self.cluster.daemons[NAME]
        self.daemon.log.write_text("")

    def _start(self) -> None:
        """Start the daemon, until it is to load its modules."""
        with self.daemon.log.open("ab") as log:
            self.daemon.process = gevent_subprocess.Popen(
                [sys.executable, "-c", STARTER],
                cwd=clusters.ROOT,
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                env=os.environ
                | {"POLLENLADDER_SETTINGS": str(self.daemon.settings)},
                # This process may have been started with the signal ignored.
                preexec_fn=_reset_signal,
            )
        waiting.wait_until(lambda: NOTICE in self._read())

    def _load(self) -> None:
        """Let the daemon load its modules, until it serves or has ended."""
        process = self.daemon.process
        process.stdin.write(b"\n")
        process.stdin.flush()
        waiting.wait_until(
            lambda: process.poll() is not None or self.cluster.is_ready(NAME),
        )

    def _read(self) -> str:
        return self.daemon.log.read_text()

    def test_signal_while_modules_are_loaded_does_not_end_the_daemon(self):
        self._start()
        self.cluster.signal(NAME, signal.SIGHUP)
        self._load()
        self.assertIsNone(self.daemon.process.poll())

    def test_daemon_that_serves_reads_its_settings(self):
        self._start()
        self._load()
        self.cluster.signal(NAME, signal.SIGHUP)
        waiting.wait_until(lambda: '"reloaded"' in self._read())
        self.assertIsNone(self.daemon.process.poll())


def _reset_signal() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
