"""The entry point: `python3 -m pollenladder.service`."""

import sys

from pollenladder.conf import loops

loops.pin_loop()

# Imported now, as it must not use gevent's loop before it is pinned.
from pollenladder.service import dispatcher  # noqa: E402

if __name__ == "__main__":
    sys.exit(dispatcher.main())
