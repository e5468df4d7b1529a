"""The event loop that daemons must run on.

`loops.pin_loop` selects it, and `checks.check_loop` rejects any other.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Loop:
    """An event loop implementation.

    Attributes:
        library: Name of the library, such as "libev".
        backend: System call that waits for events, such as "epoll".
    """

    library: str
    backend: str


PINNED_LOOP = Loop("libev", "epoll")
