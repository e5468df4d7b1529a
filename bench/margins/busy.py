"""Processes that use processor time beside the measured ones.

Run as a module, it starts as many as its argument says, which end with it.
"""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from standins import parents

ROOT = pathlib.Path(__file__).resolve().parents[2]


@contextlib.contextmanager
def keep_busy(count: int) -> Iterator[subprocess.Popen | None]:
    """Run processes that each use one core, as far as there is one.

    Yields:
        The process that starts the others, in a process group of its own; None if
        the count is 0.
    """
    if not count:
        yield None
        return
    leader = subprocess.Popen(
        [sys.executable, "-m", "bench.margins.busy", str(count)],
        cwd=ROOT,
        preexec_fn=parents.end_with_parent,
        process_group=0,
    )
    try:
        yield leader
    finally:
        # The group has no other processes, and none can be forked past this.
        os.killpg(leader.pid, signal.SIGKILL)
        leader.wait()


def _use_processor() -> None:
    while True:
        pass


def main(count: int) -> None:
    """Use processor time with several processes until killed."""
    leader = os.getpid()
    for _ in range(count - 1):
        if os.fork() == 0:
            parents.end_with_parent()
            if os.getppid() != leader:
                # It has ended before this process could ask to end with it.
                return
            break
    _use_processor()


if __name__ == "__main__":
    main(int(sys.argv[1]))
