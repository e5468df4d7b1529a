"""Start and stop stand-ins as processes, from tests and benches."""

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
    """A running stand-in.

    Attributes:
        ready: The line it printed when it listened.
    """

    def __init__(self, module: str, *arguments: str):
        """Start it and wait until it listens.

        Raises:
            RuntimeError: It ended instead.
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
        """Send SIGTERM and return the exit code."""
        self._process.terminate()
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        finally:
            self._process.kill()
            self._process.stdout.close()
