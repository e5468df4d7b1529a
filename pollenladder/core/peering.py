"""Links to other daemons: connection, reconnection and detection of loss."""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any

import gevent

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import tags
from pollenladder.wire import exceptions
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import server

LOGGER = logging.getLogger(__name__)

RECONNECT_INTERVAL_S = 0.2
RECONNECT_ATTEMPTS = 3
# No further attempt is started after this time, because callers are waiting
# for the answers that may be lost.
RECONNECT_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that `Peering` calls.

    Attributes:
        on_message: Called with the sender and each message received.
        on_joined: Called when a daemon gets its first link.
        on_relinked: Called when messages to a daemon may have been lost with a
            closed link and the daemon has another link.
        reconnect: Try to connect to a daemon; return whether there is a link.
        on_lost: Called when a daemon is unreachable or has restarted, so that
            nothing sent to it will be answered.
        on_closed: Called with the reason for which a link was closed.
        is_needed: Return whether a link to a daemon is needed.
    """

    on_message: Callable[[str, Any], None]
    on_joined: Callable[[str], None]
    on_relinked: Callable[[str], None]
    reconnect: Callable[[str], bool]
    on_lost: Callable[[str], None]
    on_closed: Callable[[links.CloseReason], None]
    is_needed: Callable[[str], bool]


@dataclasses.dataclass
class Peer:
    """The links to one daemon.

    Attributes:
        daemon_id: The daemon.
        incarnation: The daemon's incarnation at the other end of the links.
        open_links: The open links, the oldest first.
        is_reconnecting: Whether reconnection attempts are in progress.
    """

    daemon_id: str
    incarnation: int
    open_links: list[links.Link] = dataclasses.field(default_factory=list)
    is_reconnecting: bool = False


def build_settings(own: conf.Settings, incarnation: int) -> server.Settings:
    """Return the settings that all links of a daemon share."""
    return server.Settings(
        hello=handshake.Hello(
            daemon_id=own.daemon_id,
            incarnation=incarnation,
            data_centre=own.data_centre,
            address=own.address,
            peer_port=own.peer_port,
            http_port=own.http_port,
        ),
        secret=own.peer_secret.encode(),
        messages=tags.build_codec(),
        on_message=lambda link, message: None,
        on_close=lambda link, reason: None,
        limits=links.Limits(
            max_frame_bytes=own.limits.max_frame_bytes,
            heartbeat_s=own.timings.heartbeat_s,
            peer_timeout_s=own.timings.peer_timeout_s,
        ),
    )


class Peering:
    """All links between this daemon and others.

    Attributes:
        server: The server that accepts links from other daemons.
    """

    def __init__(self, own: server.Settings, callbacks: Callbacks):
        self._own = dataclasses.replace(
            own, on_message=self._handle_message, on_close=self._handle_close
        )
        self._callbacks = callbacks
        self._peers: dict[str, Peer] = {}
        self._attempts: dict[str, gevent.Greenlet] = {}
        self._closed_counts = links.Counts()
        self.server = server.Server(
            self._own, own.hello.address, own.hello.peer_port, self._add_link
        )

    def list_linked(self) -> list[str]:
        """Return the ids of daemons with an open link."""
        return [
            peer.daemon_id for peer in self._peers.values() if peer.open_links
        ]

    def is_linked(self, daemon_id: str) -> bool:
        """Return whether a daemon has an open link."""
        peer = self._peers.get(daemon_id)
        return peer is not None and bool(peer.open_links)

    def get_hello(self, daemon_id: str) -> Any:
        """Return the handshake message of a linked daemon, or None."""
        peer = self._peers.get(daemon_id)
        return peer.open_links[0].peer if peer and peer.open_links else None

    def send(self, daemon_id: str, message: object) -> bool:
        """Queue a message to a daemon; return False if it will not be sent."""
        peer = self._peers.get(daemon_id)
        if peer is None or not peer.open_links:
            return False
        return peer.open_links[0].send(message)

    def connect(self, daemon_id: str, address: str, port: int) -> bool:
        """Connect to a daemon unless there is a link; return whether there is.

        Concurrent calls for the same daemon share one connection attempt.
        """
        if self.is_linked(daemon_id):
            return True
        attempt = self._attempts.get(daemon_id)
        if attempt is None:
            attempt = gevent.spawn(self._attempt_connection, address, port)
            self._attempts[daemon_id] = attempt
            attempt.link(lambda _: self._attempts.pop(daemon_id, None))
        attempt.join()
        return self.is_linked(daemon_id)

    def _attempt_connection(self, address: str, port: int) -> None:
        try:
            link = server.connect(self._own, address, port)
        except (exceptions.UnreachableError, exceptions.HandshakeError):
            return
        self._add_link(link)

    def count(self) -> links.Counts:
        """Return the total traffic of all links so far, including closed ones."""
        total = dataclasses.replace(self._closed_counts)
        for peer in self._peers.values():
            for link in peer.open_links:
                _add_counts(total, link.counts)
        return total

    def close_unneeded(self) -> None:
        """Close the links that this daemon does not need."""
        for peer in list(self._peers.values()):
            if not self._callbacks.is_needed(peer.daemon_id):
                for link in list(peer.open_links):
                    link.close()

    def close(self, flush_s: float) -> None:
        """Stop accepting links, send queued messages and close all links.

        Args:
            flush_s: The longest time to send the queue of a link, in seconds.
        """
        self.server.stop()
        for peer in list(self._peers.values()):
            for link in list(peer.open_links):
                link.flush(flush_s)
                link.close()

    def _add_link(self, link: links.Link) -> None:
        """Add a new link, unless it belongs to an older incarnation.

        A newer incarnation means that the daemon restarted, which loses the
        one that was known.
        """
        hello = link.peer
        peer = self._peers.get(hello.daemon_id)
        if peer and peer.incarnation > hello.incarnation:
            link.close()
            return
        if peer and peer.incarnation < hello.incarnation:
            self._drop_peer(peer)
            peer = None
        if peer is None:
            peer = self._peers[hello.daemon_id] = Peer(
                hello.daemon_id, hello.incarnation
            )
            peer.open_links.append(link)
            self._callbacks.on_joined(hello.daemon_id)
            return
        peer.open_links.append(link)
        if len(peer.open_links) == 1:
            peer.is_reconnecting = False
            self._callbacks.on_relinked(hello.daemon_id)

    def _handle_message(self, link: links.Link, message: object) -> None:
        self._callbacks.on_message(link.peer.daemon_id, message)

    def _handle_close(
        self, link: links.Link, reason: links.CloseReason
    ) -> None:
        _add_counts(self._closed_counts, link.counts)
        self._callbacks.on_closed(reason)
        peer = self._peers.get(link.peer.daemon_id)
        if peer is None or link not in peer.open_links:
            return
        peer.open_links.remove(link)
        LOGGER.info(
            "link to %s closed: %s",
            peer.daemon_id,
            reason.value,
            extra={"peer": peer.daemon_id},
        )
        if peer.open_links:
            # Messages on the closed link may be lost: recover over another one.
            self._callbacks.on_relinked(peer.daemon_id)
        elif not self._callbacks.is_needed(peer.daemon_id):
            del self._peers[peer.daemon_id]
        elif not peer.is_reconnecting:
            peer.is_reconnecting = True
            gevent.spawn(self._reconnect, peer)

    def _reconnect(self, peer: Peer) -> None:
        """Make a few connection attempts; if all fail, the daemon is lost."""
        ends_at = clocks.read_monotonic_s() + RECONNECT_TIMEOUT_S
        for attempt in range(RECONNECT_ATTEMPTS):
            if attempt:
                gevent.sleep(RECONNECT_INTERVAL_S)
            if clocks.read_monotonic_s() >= ends_at:
                break
            if self._peers.get(peer.daemon_id) is not peer or peer.open_links:
                return
            if self._callbacks.reconnect(peer.daemon_id):
                return
        if self._peers.get(peer.daemon_id) is peer and not peer.open_links:
            self._drop_peer(peer)

    def _drop_peer(self, peer: Peer) -> None:
        if self._peers.get(peer.daemon_id) is peer:
            del self._peers[peer.daemon_id]
        for link in list(peer.open_links):
            link.close()
        self._callbacks.on_lost(peer.daemon_id)


def _add_counts(total: links.Counts, part: links.Counts) -> None:
    for field in dataclasses.fields(part):
        value = getattr(total, field.name) + getattr(part, field.name)
        setattr(total, field.name, value)
