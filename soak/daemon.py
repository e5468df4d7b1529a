"""Run the daemon, and end with the process that started it.

An argument names a guard that is taken out of it; see `soak.defects`.
"""

import os
import signal
import sys

from pollenladder.conf import loops

loops.pin_loop()

import gevent  # noqa: E402
from gevent import os as gevent_os  # noqa: E402

from pollenladder.core import clocks  # noqa: E402
from pollenladder.service import dispatcher  # noqa: E402
from pollenladder.service import meters  # noqa: E402
from soak import defects  # noqa: E402

JUMP_S = 8.0


def _end_with_parent() -> None:
    """Exit at once when standard input is closed."""
    gevent_os.tp_read(sys.stdin.fileno(), 1)
    os._exit(3)


def _let_time_of_day_jump() -> None:
    """Put the time of day ahead by `JUMP_S` at a signal, and back at the next."""
    offset_s = 0.0
    read_wall_s = clocks.read_wall_s

    def jump() -> None:
        nonlocal offset_s
        offset_s = 0.0 if offset_s else JUMP_S

    clocks.read_wall_s = lambda: read_wall_s() + offset_s
    gevent.signal_handler(signal.SIGUSR1, jump)


if __name__ == "__main__":
    # Several daemons share this machine; each takes a free port.
    meters.PORT = 0
    gevent.spawn(_end_with_parent)
    _let_time_of_day_jump()
    for name in sys.argv[1:]:
        defects.DEFECTS[name]()
    sys.exit(dispatcher.main())
