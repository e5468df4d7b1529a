"""Reading requests from a connection, within limits on what is held of them.

It takes the place of a buffered file, whose limits apply to single lines only.
"""

from collections.abc import Callable
import contextlib
import socket as stdlib_socket

import gevent
from gevent import socket

from pollenladder.core import clocks
from pollenladder.gateway import exceptions
from pollenladder.gateway import held_bytes
from pollenladder.gateway import limits

RECEIVE_BYTES = 8192
# A chunk of one byte takes six bytes with its size and line ends, and trailers come on
# top of it.
MAX_FRAMING_FACTOR = 8
MAX_FRAMING_BYTES = 16 * 1024


def shut_down_reading(sock: socket.socket) -> None:
    """Shut down a socket for reading; data already received stays readable.

    The shutdown is done on a duplicate of the socket. A shutdown of gevent's
    own socket would also raise an error in the greenlet that reads from it,
    and a request that has just arrived would be lost.
    """
    duplicate = stdlib_socket.fromfd(sock.fileno(), sock.family, sock.type)
    with duplicate, contextlib.suppress(OSError):
        duplicate.shutdown(socket.SHUT_RD)


class RequestReader:
    """The requests of one connection, one after another.

    Attributes:
        held: What is held for the current request.
        closed: Whether nothing more is read.
        has_served: Whether a request of the connection has been answered.
        began_at: When the connection began to wait for the current request,
            monotonic, in seconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        budget: held_bytes.HeldBytes,
        bounds: limits.Limits,
    ):
        self.held = held_bytes.HeldRequest(self.refuse)
        self.closed = False
        self.has_served = False
        self.began_at = clocks.read_monotonic_s()
        self._sock = sock
        self._budget = budget
        self._bounds = bounds
        self._buffer = b""
        self._position = 0
        self._allowed = 0
        self._is_closing = False
        self._is_refused = False
        self._has_begun = False
        self._excess: Callable[[], exceptions.RequestError] = _make_head_error
        budget.add(self.held)

    @property
    def is_closing(self) -> bool:
        """Whether the connection is about to end, so that others have room."""
        return self._is_closing

    def begin_request(self) -> None:
        """Begin the next request, of which some bytes may have arrived already."""
        if self._position:
            self._buffer = self._buffer[self._position :]
            self._position = 0
        self.began_at = clocks.read_monotonic_s()
        self.held.is_whole = False
        self._budget.resize(self.held, len(self._buffer))
        self._allowed = self._bounds.max_head_bytes
        self._excess = _make_head_error
        self._has_begun = bool(self._buffer)
        if self._buffer:
            # A client that sends many requests at once does not hold up others.
            gevent.sleep(0)

    def begin_body(self, max_bytes: int) -> None:
        """Begin the body of the request.

        Args:
            max_bytes: The largest body, without the framing of its chunks.
        """
        self._allowed = MAX_FRAMING_FACTOR * max_bytes + MAX_FRAMING_BYTES
        self._excess = _make_body_error

    def end_request(self) -> None:
        """Record that the request is whole; it is answered from now on."""
        self.held.is_whole = True

    def refuse(self) -> None:
        """End the connection, as others need the room; its request is not whole.

        A request that has arrived meanwhile, and of which nothing was read, is served.
        """
        self._is_closing = True
        if self._has_begun:
            self._is_refused = True
            self._buffer = b""
            self._position = 0
        with contextlib.suppress(OSError):
            shut_down_reading(self._sock)

    def readline(self, limit: int = -1) -> bytes:
        """Read up to the end of a line, of the limit, or of the connection."""
        searched = self._position
        while True:
            end = self._buffer.find(b"\n", searched) + 1
            available = len(self._buffer) - self._position
            if end or 0 <= limit <= available:
                break
            searched = len(self._buffer)
            shift = self._position
            if not self._fill():
                end = len(self._buffer)
                break
            searched -= shift - self._position
        size = (end or len(self._buffer)) - self._position
        return self._take(size if limit < 0 else min(size, limit))

    def read(self, size: int = -1) -> bytes:
        """Read some bytes; fewer if the connection ends, all that comes if size < 0."""
        parts = []
        left = size
        while left:
            available = len(self._buffer) - self._position
            if not available and not self._fill():
                break
            available = len(self._buffer) - self._position
            part = self._take(available if left < 0 else min(left, available))
            parts.append(part)
            left -= len(part) if left > 0 else 0
        return b"".join(parts)

    def close(self) -> None:
        """Forget what is held."""
        self.closed = True
        self._buffer = b""
        self._position = 0
        self._budget.remove(self.held)

    def _take(self, size: int) -> bytes:
        """Return the next bytes of the buffer.

        Raises:
            exceptions.RequestError: The request is longer than allowed.
        """
        self._allowed -= size
        if self._allowed < 0:
            raise self._excess()
        start, self._position = self._position, self._position + size
        return self._buffer[start : self._position]

    def _fill(self) -> bool:
        """Receive more bytes; return whether there were any.

        Raises:
            exceptions.RequestError: There is no room for them, or the request is
                longer than allowed.
        """
        self._check_refused()
        data = self._sock.recv(RECEIVE_BYTES)
        self._check_refused()
        if not data:
            return False
        unread = len(self._buffer) - self._position
        if unread + len(data) > self._allowed + RECEIVE_BYTES:
            raise self._excess()
        self._has_begun = True
        self._budget.grow(self.held, len(data))
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        if len(data) == RECEIVE_BYTES:
            # The next bytes may be there already: let other greenlets run.
            gevent.sleep(0)
            self._check_refused()
        return True

    def _check_refused(self) -> None:
        if self._is_refused:
            raise held_bytes.make_overload_error(self._bounds)


def _make_head_error() -> exceptions.RequestError:
    return exceptions.RequestError(431, "too_long", "headers", "too long")


def _make_body_error() -> exceptions.RequestError:
    return exceptions.RequestError(
        413, "too_large", "body", "too many bytes around the chunks"
    )
