"""Run a case: set up, record, clean up, and exit with its result."""

from collections.abc import Callable
import os
import pathlib
import signal
import sys
import traceback

import gevent

from review import rig as rigs

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
# The whole script takes 120 s at most.
LIMIT_S = 110.0


def main(
    folder: pathlib.Path, run: Callable[[rigs.Record, bool], bool]
) -> None:
    """Run a case and exit.

    Args:
        folder: The folder of the case.
        run: Runs the case, given the record and whether the disruption takes
            place. Returns whether the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = rigs.Record(folder / "record.txt")
    record.write(f"trouble: {has_trouble}")
    runner = gevent.getcurrent()
    ended = rigs.CannotRunError("ended by a signal")
    for number in (signal.SIGTERM, signal.SIGINT):
        # Raised in the case, so that it ends its processes first.
        gevent.signal_handler(number, gevent.kill, runner, ended)
    try:
        with gevent.Timeout(LIMIT_S):
            code = BROKEN if run(record, has_trouble) else HELD
    except (rigs.CannotRunError, gevent.Timeout) as error:
        record.write(f"cannot run: {error!r}")
        code = CANNOT_RUN
    except Exception:
        record.write(traceback.format_exc())
        code = CANNOT_RUN
    text = {HELD: "the rule held", BROKEN: "broken", CANNOT_RUN: "not run"}
    record.write(f"result: {text[code]}")
    print(f"result: {text[code]}")
    sys.stdout.flush()
    os._exit(code)
