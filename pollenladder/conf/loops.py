"""Pin gevent's event loop to libev with epoll, and report the running loop."""

import gevent

from pollenladder.conf import pinning

LOOP_NAME = "libev-cext"


def pin_loop() -> None:
    """Configure gevent's loop; call this before the hub is first used."""
    gevent.config.loop = LOOP_NAME
    gevent.config.libev_backend = pinning.PINNED_LOOP.backend


def describe_loop() -> pinning.Loop:
    """Return the library and backend of the loop of this thread's hub."""
    loop = gevent.get_hub().loop
    library = type(loop).__module__.removeprefix("gevent.").split(".")[0]
    return pinning.Loop(library, str(getattr(loop, "backend", "unknown")))
