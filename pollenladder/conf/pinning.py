"""The event loop that daemons run on."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Loop:
    """The event loop that runs.

    Attributes:
        library: "libev" or another library's name.
        backend: The system call that it waits with, such as "epoll".
    """

    library: str
    backend: str


PINNED_LOOP = Loop("libev", "epoll")
