"""Links to other daemons: make them, keep them, and tell when one is dead."""

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

RECONNECT_PAUSE_S = 0.2
RECONNECT_ATTEMPTS = 3
# No further try is begun after this, as callers wait for what may be lost.
RECONNECT_S = 1.5


@dataclasses.dataclass(frozen=True)
class Handlers:
    """What peering calls.

    Attributes:
        on_message: A message came from a daemon.
        on_joined: A daemon has a link now and had none.
        on_relinked: A daemon has a new link after a break.
        reconnect: Try for a link to a daemon; return whether there is one.
        on_lost: A daemon cannot be reached, or has restarted: nothing it was
            sent will be answered.
        on_closed: A link has ended, for a reason.
        is_wanted: Return whether a link to a daemon is of any use.
    """

    on_message: Callable[[str, Any], None]
    on_joined: Callable[[str], None]
    on_relinked: Callable[[str], None]
    reconnect: Callable[[str], bool]
    on_lost: Callable[[str], None]
    on_closed: Callable[[links.CloseReason], None]
    is_wanted: Callable[[str], bool]


@dataclasses.dataclass
class Peer:
    """The links to one daemon.

    Attributes:
        daemon_id: The daemon.
        incarnation: The one whose links these are.
        open: Links that are open, the oldest first.
        relinking: Whether a new link is being tried after a break.
    """

    daemon_id: str
    incarnation: int
    open: list[links.Link] = dataclasses.field(default_factory=list)
    relinking: bool = False


def build_settings(own: conf.Settings, incarnation: int) -> server.Settings:
    """Return what all links of a daemon share."""
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
    """All links of this daemon."""

    def __init__(self, own: server.Settings, handlers: Handlers):
        self._own = dataclasses.replace(
            own, on_message=self._take_message, on_close=self._take_close
        )
        self._handlers = handlers
        self._peers: dict[str, Peer] = {}
        self._attempts: dict[str, gevent.Greenlet] = {}
        self._closed = links.Counts()
        self.server = server.Server(
            self._own, own.hello.address, own.hello.peer_port, self._add_link
        )

    def list_linked(self) -> list[str]:
        """Return the ids of daemons with an open link."""
        return [peer.daemon_id for peer in self._peers.values() if peer.open]

    def is_linked(self, daemon_id: str) -> bool:
        """Return whether a daemon has an open link."""
        peer = self._peers.get(daemon_id)
        return peer is not None and bool(peer.open)

    def get_hello(self, daemon_id: str) -> Any:
        """Return what a linked daemon said of itself, or None."""
        peer = self._peers.get(daemon_id)
        return peer.open[0].peer if peer and peer.open else None

    def send(self, daemon_id: str, message: object) -> bool:
        """Queue a message to a daemon; return False if it will not be sent."""
        peer = self._peers.get(daemon_id)
        if peer is None or not peer.open:
            return False
        return peer.open[0].send(message)

    def connect(self, daemon_id: str, address: str, port: int) -> bool:
        """Make a link if there is none; return whether there is one then.

        Whoever asks while an attempt is made gets the outcome of that.
        """
        if self.is_linked(daemon_id):
            return True
        attempt = self._attempts.get(daemon_id)
        if attempt is None:
            attempt = gevent.spawn(self._try, address, port)
            self._attempts[daemon_id] = attempt
            attempt.link(lambda _: self._attempts.pop(daemon_id, None))
        attempt.join()
        return self.is_linked(daemon_id)

    def _try(self, address: str, port: int) -> None:
        try:
            link = server.connect(self._own, address, port)
        except (exceptions.UnreachableError, exceptions.HandshakeError):
            return
        self._add_link(link)

    def count(self) -> links.Counts:
        """Return the sum of what went over all links so far."""
        total = dataclasses.replace(self._closed)
        for peer in self._peers.values():
            for link in peer.open:
                _add_counts(total, link.counts)
        return total

    def close_unwanted(self) -> None:
        """Close the links that are of no use to this end."""
        for peer in list(self._peers.values()):
            if not self._handlers.is_wanted(peer.daemon_id):
                for link in list(peer.open):
                    link.close()

    def close(self, flush_s: float) -> None:
        """Write what is queued, close all links and accept no more."""
        self.server.stop()
        for peer in list(self._peers.values()):
            for link in list(peer.open):
                link.flush(flush_s)
                link.close()

    def _add_link(self, link: links.Link) -> None:
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
            peer.open.append(link)
            self._handlers.on_joined(hello.daemon_id)
            return
        peer.open.append(link)
        if len(peer.open) == 1:
            peer.relinking = False
            self._handlers.on_relinked(hello.daemon_id)

    def _take_message(self, link: links.Link, message: object) -> None:
        self._handlers.on_message(link.peer.daemon_id, message)

    def _take_close(self, link: links.Link, reason: links.CloseReason) -> None:
        _add_counts(self._closed, link.counts)
        self._handlers.on_closed(reason)
        peer = self._peers.get(link.peer.daemon_id)
        if peer is None or link not in peer.open:
            return
        peer.open.remove(link)
        LOGGER.info(
            "link to %s closed: %s",
            peer.daemon_id,
            reason.value,
            extra={"peer": peer.daemon_id},
        )
        if peer.open:
            # What went over the closed link may be lost: ask over the other.
            self._handlers.on_relinked(peer.daemon_id)
        elif not self._handlers.is_wanted(peer.daemon_id):
            del self._peers[peer.daemon_id]
        elif not peer.relinking:
            peer.relinking = True
            gevent.spawn(self._relink, peer)

    def _relink(self, peer: Peer) -> None:
        """Try for a new link a few times; else the daemon is lost."""
        ends_at = clocks.read_monotonic_s() + RECONNECT_S
        for attempt in range(RECONNECT_ATTEMPTS):
            if attempt:
                gevent.sleep(RECONNECT_PAUSE_S)
            if clocks.read_monotonic_s() >= ends_at:
                break
            if self._peers.get(peer.daemon_id) is not peer or peer.open:
                return
            if self._handlers.reconnect(peer.daemon_id):
                return
        if self._peers.get(peer.daemon_id) is peer and not peer.open:
            self._drop_peer(peer)

    def _drop_peer(self, peer: Peer) -> None:
        if self._peers.get(peer.daemon_id) is peer:
            del self._peers[peer.daemon_id]
        for link in list(peer.open):
            link.close()
        self._handlers.on_lost(peer.daemon_id)


def _add_counts(total: links.Counts, part: links.Counts) -> None:
    for field in dataclasses.fields(part):
        value = getattr(total, field.name) + getattr(part, field.name)
        setattr(total, field.name, value)
