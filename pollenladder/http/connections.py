"""A pool with a limited number of TCP connections to one address."""

import select

from gevent import lock
from gevent import monkey
from gevent import socket

from pollenladder.core import clocks
from pollenladder.http import exceptions

# The kernel closes a connection whose sent data stays unacknowledged longer.
UNACKNOWLEDGED_LIMIT_MS = 2000
# The kernel probes an idle connection, so that a vanished peer is detected after
# KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S seconds.
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

# gevent's patched poll would switch to another greenlet, even to check for input
# without waiting.
create_unpatched_poll = monkey.get_original("select", "poll")


class Connection:
    """One connection of a pool.

    Attributes:
        sock: The socket.
        idle_since_s: Time at which the connection was last put back, in
            seconds.
    """

    __slots__ = ("_poll", "idle_since_s", "sock")

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.idle_since_s = 0.0
        self._poll = create_unpatched_poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def has_no_input(self) -> bool:
        """Return whether neither data nor the end of the stream has arrived.

        An idle connection with input can't be reused: the input would be
        taken for the response to the next request.
        """
        return not self._poll.poll(0)

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed a connection with input, in order.

        The connection can't be used afterwards.
        """
        try:
            return not self.sock.recv(1)
        except OSError:
            return False


class ConnectionPool:
    """A pool of connections to one address with a limit on their number.

    Attributes:
        opened: Number of connections opened so far.
        stale: Number of idle connections found closed by the peer, or with
            unexpected input.
        was_closed_by_peer: Whether the peer has closed an idle connection in
            order since the last connection was opened.
    """

    def __init__(
        self,
        address: tuple[str, int],
        limit: int,
        connect_timeout_s: float,
        idle_limit_s: float,
        clock: clocks.Clock,
    ):
        """Create the pool without opening a connection.

        Args:
            address: The IP address and port of the peer.
            limit: Maximum number of open connections.
            connect_timeout_s: Maximum time to open a connection, in seconds.
                It also limits the wait for a connection while all are in use.
            idle_limit_s: Connections idle for longer, in seconds, are not
                reused, because a network device on the path may have
                discarded its state for them.
            clock: Returns the time in seconds.
        """
        self.opened = 0
        self.stale = 0
        self.was_closed_by_peer = False
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._clock = clock
        self._permits = lock.Semaphore(limit)
        self._idle: list[Connection] = []

    def acquire(self) -> Connection:
        """Return an idle connection without input, or a new one.

        Raises:
            NoConnectionError: All connections were in use until the connect
                timeout expired.
            OSError: No connection could be opened.
        """
        if not self._permits.acquire(timeout=self._connect_timeout_s):
            raise exceptions.NoConnectionError(
                "all connections of the pool are in use"
            )
        try:
            return self._pop_idle() or self._open()
        except BaseException:
            self._permits.release()
            raise

    def put_back(self, connection: Connection) -> None:
        """Return a connection to the pool after a complete exchange."""
        connection.idle_since_s = self._clock()
        self._idle.append(connection)
        self._permits.release()

    def discard(self, connection: Connection) -> None:
        """Close a connection and allow another one to be opened."""
        connection.sock.close()
        self._permits.release()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.sock.close()

    def _pop_idle(self) -> Connection | None:
        min_idle_since_s = self._clock() - self._idle_limit_s
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since_s < min_idle_since_s:
                # The remaining connections were put back earlier, so they have
                # been idle for even longer.
                connection.sock.close()
                self.close_idle()
                return None
            if connection.has_no_input():
                return connection
            self.stale += 1
            self.was_closed_by_peer |= connection.is_closed_by_peer()
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
        self.was_closed_by_peer = False
        return Connection(sock)
