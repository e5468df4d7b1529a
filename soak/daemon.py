"""Run the daemon, and end with the process that started it.

An argument names a guard that is taken out of it; see `soak.defects`.
"""

import os
import sys

from pollenladder.conf import loops

loops.pin_loop()

import gevent  # noqa: E402
from gevent import os as gevent_os  # noqa: E402

from pollenladder.service import dispatcher  # noqa: E402
from pollenladder.service import meters  # noqa: E402
from soak import defects  # noqa: E402


def _end_with_parent() -> None:
    """Exit at once when standard input is closed."""
    gevent_os.tp_read(sys.stdin.fileno(), 1)
    os._exit(3)


if __name__ == "__main__":
    # Several daemons share this machine; each takes a free port.
    meters.PORT = 0
    gevent.spawn(_end_with_parent)
    for name in sys.argv[1:]:
        defects.DEFECTS[name]()
    sys.exit(dispatcher.main())
