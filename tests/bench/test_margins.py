"""Tests of the measurement of margins."""

import os
import pathlib
import time
import unittest

from bench.margins import busy
from bench.margins import figures
from bench.margins import rounds

MAX_TRIALS = 6


class FiguresTest(unittest.TestCase):
    """Wrong figures would hide that a margin is spent."""

    def test_figures_are_times_that_were_measured(self):
        samples = [figures.Sample("a", at) for at in range(1, 21)]
        (found,) = figures.summarize([*samples, figures.Sample("a", 0.5)])
        self.assertEqual(found, figures.Figures("a", 21, 10, 19, 20))

    def test_each_case_has_figures_of_its_own(self):
        samples = [figures.Sample("a", 1.0), figures.Sample("b", 2.0)]
        found = {one.case: one.worst for one in figures.summarize(samples)}
        self.assertEqual(found, {"a": 1.0, "b": 2.0})


class CaseTest(unittest.TestCase):
    """A case that measures nothing would look like a margin that holds."""

    def test_runs_of_a_frozen_gateway_end_and_are_measured(self):
        # A trial does not count if the machine delays the process of the site.
        with rounds.start_sites(1, seed=1) as started:
            for _ in range(MAX_TRIALS):
                result = rounds.run(started, "gateway frozen", 0)
                if not result.skipped:
                    break
        self.assertEqual(result.skipped, [])
        found = {
            one.case: one.count for one in figures.summarize(result.samples)
        }
        self.assertEqual(
            found["gateway frozen: last frame to attempt_removed"], 2
        )
        # On a busy machine, the lease may end a run before it is stopped.
        ends = [
            found.get(f"gateway frozen: last frame to end ({how})", 0)
            for how in ("stopped", "lapsed", "lease expired")
        ]
        self.assertEqual(sum(ends), 2)


class BusyTest(unittest.TestCase):
    """A busy process that is left behind slows everything else down."""

    def test_all_end_even_if_they_are_ended_as_they_start(self):
        for delay_s in (0.0, 0.02, 0.05, 0.1, 0.2):
            with self.subTest(delay_s=delay_s):
                with busy.keep_busy(3) as leader:
                    time.sleep(delay_s)
                    group = os.getpgid(leader.pid)
                self._wait_for_end(group)

    def _wait_for_end(self, group: int) -> None:
        end_s = time.monotonic() + 2.0
        while time.monotonic() < end_s:
            if not list_running(group):
                return
            time.sleep(0.01)
        self.fail(f"busy processes are left: {list_running(group)}")


def list_running(group: int) -> list[str]:
    """Return the state of each process of a group that has not ended."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            text = path.read_text()
        except OSError:
            # The process has just ended.
            continue
        state, _, process_group = text.rpartition(")")[2].split()[:3]
        if int(process_group) == group and state not in "ZX":
            found.append(f"{path.parent.name} {state}")
    return found
