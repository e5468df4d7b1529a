"""A bounded set of connections to one address."""

import select

from gevent import lock
from gevent import monkey
from gevent import socket

from pollenladder.core import clocks
from pollenladder.http import exceptions

# The kernel gives up a connection whose peer does not acknowledge.
UNACKNOWLEDGED_LIMIT_MS = 2000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
)

# A patched poll would switch to another greenlet.
make_poll = monkey.get_original("select", "poll")


class Connection:
    """One connection.

    Attributes:
        sock: The socket.
        idle_since_s: When it was last put back.
    """

    __slots__ = ("_poll", "idle_since_s", "sock")

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.idle_since_s = 0.0
        self._poll = make_poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def is_quiet(self) -> bool:
        """Return whether nothing has arrived, neither bytes nor an end."""
        return not self._poll.poll(0)


class Connections:
    """Connections to one address, at most so many at a time.

    Attributes:
        opened: Connections opened so far.
        stale: Idle connections found closed or with stray bytes.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limit: int,
        connect_timeout_s: float,
        idle_limit_s: float,
        clock: clocks.Clock,
    ):
        """Prepare the set; nothing is opened yet.

        Args:
            address: An IP number and a port.
            limit: Connections open at once.
            connect_timeout_s: For the opening of one.
            idle_limit_s: Connections idle for longer are not used again, as
                something on the way may have lost track of them.
            clock: The time, in seconds.
        """
        self.opened = 0
        self.stale = 0
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._clock = clock
        self._budget = lock.Semaphore(limit)
        self._idle: list[Connection] = []

    def acquire(self) -> Connection:
        """Return a quiet idle connection or a new one.

        Raises:
            NoConnectionError: The budget stayed used up for as long as the
                opening of a connection may take.
            OSError: None could be opened.
        """
        if not self._budget.acquire(timeout=self._connect_timeout_s):
            raise exceptions.NoConnectionError("connection budget used up")
        try:
            return self._take_idle() or self._open()
        except BaseException:
            self._budget.release()
            raise

    def put_back(self, connection: Connection) -> None:
        """Return a connection on which an exchange has ended in full."""
        connection.idle_since_s = self._clock()
        self._idle.append(connection)
        self._budget.release()

    def discard(self, connection: Connection) -> None:
        """Close a connection and free its place."""
        connection.sock.close()
        self._budget.release()

    def close_idle(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.sock.close()

    def _take_idle(self) -> Connection | None:
        oldest_s = self._clock() - self._idle_limit_s
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s < oldest_s:
                connection.sock.close()
                self.close_idle()
                return None
            if connection.is_quiet():
                return connection
            self.stale += 1
            connection.sock.close()
        return None

    def _open(self) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            for level, option, value in SOCKET_OPTIONS:
                sock.setsockopt(level, option, value)
            sock.settimeout(self._connect_timeout_s)
            sock.connect(self._address)
            sock.settimeout(None)
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        return Connection(sock)
