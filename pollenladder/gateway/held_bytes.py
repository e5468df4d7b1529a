"""A limit on the bytes that are held for unanswered requests, over all connections.

A single request is bounded by the limits on its head and its body. Their sum is not, so
each connection asks for room before it keeps what it has received. If there is none,
the request that holds the most and is not whole yet is refused. Large requests share half
of the room, so that a crowd of them leaves the other half to ordinary callers.
"""

from collections.abc import Callable
import dataclasses

from pollenladder.gateway import exceptions
from pollenladder.gateway import limits


@dataclasses.dataclass(eq=False)
class HeldRequest:
    """What is held for the request of one connection.

    Attributes:
        refuse: Refuses the request; called while it is not whole.
        size: The number of bytes.
        is_whole: Whether it has arrived whole, so that it may have been executed.
    """

    refuse: Callable[[], None]
    size: int = 0
    is_whole: bool = False


class HeldBytes:
    """The requests of all connections, and the room that they share.

    Attributes:
        total: The number of bytes held.
    """

    def __init__(self, bounds: limits.Limits):
        self.total = 0
        self._bounds = bounds
        self._requests: set[HeldRequest] = set()
        self._large_total = 0

    def add(self, request: HeldRequest) -> None:
        """Add the request of a connection, which holds nothing yet."""
        self._requests.add(request)

    def remove(self, request: HeldRequest) -> None:
        """Remove the request of a connection that has ended."""
        self.resize(request, 0)
        self._requests.discard(request)

    def resize(self, request: HeldRequest, size: int) -> None:
        """Change how much is held for a request, without asking for room."""
        self._large_total -= self._count_large(request.size)
        self._large_total += self._count_large(size)
        self.total += size - request.size
        request.size = size

    def grow(self, request: HeldRequest, count: int) -> None:
        """Hold more bytes for a request, and refuse others if there is no room.

        Raises:
            exceptions.RequestError: 503, there is no room for this request.
        """
        size = request.size + count
        self.resize(request, size)
        while not self._has_room(request):
            largest = self._find_largest()
            if largest is None or largest is request:
                self.resize(request, size - count)
                raise make_overload_error(self._bounds)
            self.resize(largest, 0)
            largest.refuse()

    def _has_room(self, request: HeldRequest) -> bool:
        """Return whether the room suffices with what a request holds now.

        There is always room for one large request.
        """
        large = self._count_large(request.size)
        if large:
            is_only_one = self._large_total == large
            return is_only_one or self._large_total <= self._large_limit
        return self.total <= self._bounds.max_held_bytes

    @property
    def _large_limit(self) -> int:
        return self._bounds.max_held_bytes // 2

    def _count_large(self, size: int) -> int:
        return size if size > self._bounds.ordinary_bytes else 0

    def _find_largest(self) -> HeldRequest | None:
        """Return the largest request that may be refused, or None."""
        unfinished = [r for r in self._requests if r.size and not r.is_whole]
        return max(unfinished, key=lambda r: r.size, default=None)


def make_overload_error(bounds: limits.Limits) -> exceptions.RequestError:
    """Return the error for a request for which there is no room."""
    return exceptions.RequestError(
        503,
        "overload",
        "request",
        "too many bytes of unanswered requests",
        bounds.retry_after_s,
    )
