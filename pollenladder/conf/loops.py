"""Pin gevent's event loop to libev with epoll, and tell which one runs."""

import gevent

from pollenladder.conf import pinning

LOOP = "libev-cext"


def pin_loop() -> None:
    """Choose the loop; call it before gevent's hub is first used."""
    gevent.config.loop = LOOP
    gevent.config.libev_backend = pinning.PINNED_LOOP.backend


def describe_loop() -> pinning.Loop:
    """Return the loop of this thread's hub."""
    loop = gevent.get_hub().loop
    library = type(loop).__module__.removeprefix("gevent.").split(".")[0]
    return pinning.Loop(library, str(getattr(loop, "backend", "unknown")))
