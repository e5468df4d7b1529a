"""Tests of `bench.processes`, and an end-to-end test of a baseline cluster."""

import pathlib
import sys
import tempfile
import unittest

from bench import arrivals
from bench import cluster
from bench import counters
from bench import layouts
from bench import processes
from bench import runs

SLEEP = [sys.executable, "-c", "import time; time.sleep(600)"]
IGNORE_SIGTERM = [
    sys.executable,
    "-c",
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
    "print('deaf'); time.sleep(600)",
]


class GroupTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_all_processes_stop_on_an_error(self):
        with (
            self.assertRaises(ValueError),
            processes.open_group(self.folder) as group,
        ):
            group.start("one", SLEEP)
            group.start("paused", SLEEP)
            group.freeze("paused")
            raise ValueError
        self.assertFalse(group.is_running("one"))
        self.assertFalse(group.is_running("paused"))

    def test_a_process_that_ignores_sigterm_can_be_killed(self):
        with processes.open_group(self.folder) as group:
            group.start("deaf", IGNORE_SIGTERM)
            cluster.wait_until(lambda: "deaf" in group.read_tail("deaf"), "it")
            self.assertIsNone(group.terminate("deaf", 0.05))
            group.kill("deaf")
            self.assertFalse(group.is_running("deaf"))

    def test_the_log_of_an_earlier_run_is_deleted(self):
        (self.folder / "one.log").write_text("earlier")
        with processes.open_group(self.folder) as group:
            group.start("one", SLEEP)
            self.assertEqual(group.read_tail("one"), "")

    def test_restart_runs_the_same_command(self):
        with processes.open_group(self.folder) as group:
            before = group.start("one", SLEEP).popen.pid
            group.restart("one")
            self.assertNotEqual(group.get_pid("one"), before)
            self.assertTrue(group.is_running("one"))


class ClusterTest(unittest.TestCase):
    def test_a_baseline_answers_every_job(self):
        task = arrivals.Task("lookup", 5, 5.0, 1.0)
        jobs = [arrivals.Arrival(0.0, "first", (task,) * 30)] * 3
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.open_group(pathlib.Path(folder)) as group,
        ):
            running = cluster.start(group, layouts.SMALL, policy="random")
            result = runs.run_load(running, jobs, "test", seed=1)
            double_starts = counters.count_double_starts(running)
        self.assertEqual({o.outcome for o in result.outcomes}, {"complete"})
        self.assertEqual(sum(o.crossed + o.partial for o in result.outcomes), 0)
        self.assertEqual(result.endpoint_counters["starts"], 90)
        self.assertEqual(result.daemon_messages["start"], 90)
        self.assertEqual(double_starts, 0)
