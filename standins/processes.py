"""Simulated platforms and endpoints as child processes."""

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from standins import parents

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 30


class StandIn:
    """A child process that runs a simulated platform or endpoint.

    Attributes:
        ready: The JSON object that it printed when it started to listen.
    """

    def __init__(self, module: str, *arguments: str):
        """Start the process and wait until it listens.

        Args:
            module: The module to run, for example `standins.platform`.
            *arguments: The command-line arguments.

        Raises:
            RuntimeError: The process exited before it listened.
        """
        paths = [str(ROOT), os.environ.get("PYTHONPATH", "")]
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(paths)},
            preexec_fn=parents.end_with_parent,
        )
        line = self._process.stdout.readline()
        if not line:
            self._process.stdout.close()
            code = self._process.wait(STOP_TIMEOUT_S)
            raise RuntimeError(f"{module} ended with {code}")
        self.ready: dict[str, Any] = json.loads(line)

    def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit code."""
        self._process.terminate()
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        finally:
            self._process.kill()
            self._process.stdout.close()
