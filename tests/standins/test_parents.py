"""Simulated platforms and endpoints end when their parent process ends.

Otherwise a killed test run leaves processes behind.
"""

import os
import pathlib
import signal
import subprocess
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Starts a simulated platform, prints its process id and waits.
PARENT = """
import time
from standins import processes
standin = processes.StandIn("standins.platform")
print(standin._process.pid, flush=True)
time.sleep(60)
"""
TIMEOUT_S = 20


def _is_running(process_id: int) -> bool:
    path = pathlib.Path(f"/proc/{process_id}/stat")
    try:
        state = path.read_text().rsplit(")", 1)[1].split()[0]
    except OSError:
        return False
    return state != "Z"


class ParentTest(unittest.TestCase):
    def test_a_stand_in_ends_with_a_parent_that_is_killed(self):
        for number in (signal.SIGTERM, signal.SIGKILL):
            with self.subTest(signal=number):
                self._kill_parent(number)

    def _kill_parent(self, number: signal.Signals) -> None:
        parent = subprocess.Popen(
            [sys.executable, "-c", PARENT],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        with parent:
            process_id = int(parent.stdout.readline())
            self.assertTrue(_is_running(process_id))
            parent.send_signal(number)
            parent.wait(TIMEOUT_S)
        end_s = time.monotonic() + TIMEOUT_S
        while _is_running(process_id) and time.monotonic() < end_s:
            time.sleep(0.05)
        self.assertFalse(_is_running(process_id))
