"""The entry point: `python3 -m pollenladder.service`."""

import sys

from pollenladder.conf import loops

loops.pin_loop()

# Imported after the loop is pinned, as the import uses gevent's loop.
from pollenladder.service import dispatcher  # noqa: E402

if __name__ == "__main__":
    sys.exit(dispatcher.main())
