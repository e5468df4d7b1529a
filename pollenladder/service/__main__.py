"""The entry point: `python3 -m pollenladder.service`."""

import signal
import sys

if __name__ == "__main__":
    # The settings are read later. Until the dispatcher handles this signal, its
    # default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pollenladder.conf import loops  # noqa: E402

loops.pin_loop()

# Imported after the loop is pinned, as the import uses gevent's loop.
from pollenladder.service import dispatcher  # noqa: E402

if __name__ == "__main__":
    sys.exit(dispatcher.main())
