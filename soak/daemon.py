"""Run a daemon that exits when its parent process ends.

Each argument is the name of a defect to inject; see `soak.defects`.
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
from soak import peer_addresses  # noqa: E402
from soak import routing  # noqa: E402

CLOCK_JUMP_S = 8.0


def _exit_with_parent() -> None:
    """Exit immediately when the parent process closes standard input."""
    gevent_os.tp_read(sys.stdin.fileno(), 1)
    os._exit(3)


def _handle_clock_jump_signal() -> None:
    """Advance the wall clock on SIGUSR1 and set it back on the next one."""
    offset_s = 0.0
    read_wall_s = clocks.read_wall_s

    def toggle_offset() -> None:
        nonlocal offset_s
        offset_s = 0.0 if offset_s else CLOCK_JUMP_S

    clocks.read_wall_s = lambda: read_wall_s() + offset_s
    gevent.signal_handler(signal.SIGUSR1, toggle_offset)


if __name__ == "__main__":
    # Several daemons run on this machine, so each uses a free metrics port.
    meters.PORT = 0
    gevent.spawn(_exit_with_parent)
    _handle_clock_jump_signal()
    if routing.PORT_VARIABLE in os.environ:
        routing.route_connections(
            int(os.environ[routing.PORT_VARIABLE]),
            os.environ[routing.HOST_VARIABLE],
        )
    peer_addresses.apply()
    for name in sys.argv[1:]:
        defects.DEFECTS[name]()
    sys.exit(dispatcher.main())
