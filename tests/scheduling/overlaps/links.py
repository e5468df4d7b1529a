"""Simulated links between daemons, in place of those of `pollenladder.wire`."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.wire import exceptions
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import server
from tests.scheduling.overlaps import networks
from tests.scheduling.overlaps import schedules

# A frame without messages.
EMPTY = object()
# Share of closed links whose last messages are lost.
LOSS_AT_CLOSE = 0.5


class Codec:
    """Passes messages on as they are."""

    def encode(self, message: Any) -> Any:
        """Return a message."""
        return message


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A daemon that accepts links.

    Attributes:
        process: The process.
        settings: The settings of its links.
        on_link: Called with each new link.
    """

    process: schedules.Process
    settings: server.Settings
    on_link: Callable[["Link"], None]


class Link:
    """One end of a link; see `links.Link`.

    Attributes:
        peer: The peer's description of itself.
        closed: Whether the link is closed.
        received_at: When something was last read.
        other: The other end.
        process: The process of this end.
    """

    def __init__(
        self,
        network: networks.Network,
        endpoint: Endpoint,
        peer: handshake.Hello,
    ):
        schedule = network.schedule
        self.peer = peer
        self.closed = False
        self.received_at = schedule.now
        self.other: Link | None = None
        self.process = endpoint.process
        self._network = network
        self._schedule = schedule
        self._settings = endpoint.settings
        self._timeout_s = endpoint.settings.limits.peer_timeout_s
        self._heartbeat_s = endpoint.settings.limits.heartbeat_s
        self._written_at = schedule.now
        self._unsent: collections.deque = collections.deque()
        self._unread: collections.deque = collections.deque()
        self._is_sending = False
        self._is_started = False
        self._watch_number = 0

    def start(self) -> None:
        """Begin to read, once the daemon knows the link."""
        self._is_started = True
        self._watch(0)
        self._read()

    def send(self, message: object) -> bool:
        """Send a message; return False if the link is closed."""
        if self.closed:
            return False
        self._written_at = self._schedule.now
        self._unsent.append(message)
        self._send_next()
        return True

    send_packed = send

    def set_peer_timeout(self, timeout_s: float) -> None:
        """Replace the silence after which the link is closed."""
        is_shorter = timeout_s < self._timeout_s
        self._timeout_s = timeout_s
        if is_shorter:
            self._watch_again()

    def set_heartbeat_interval(self, heartbeat_s: float) -> None:
        """Replace the interval of empty frames."""
        is_shorter = heartbeat_s < self._heartbeat_s
        self._heartbeat_s = heartbeat_s
        if is_shorter:
            self._watch_again()

    def close(
        self, reason: links.CloseReason = links.CloseReason.LOCAL
    ) -> None:
        """Close this end; the other one notices it."""
        if self.closed:
            return
        self.drop()
        self._settings.on_close(self, reason)

    def drop(self) -> None:
        """Close the connection, as when the process ends."""
        self.closed = True
        self._unread.clear()
        if self._schedule.random.random() < LOSS_AT_CLOSE:
            self._unsent.clear()
        self._unsent.append(None)
        self._send_next()

    def reset(self) -> None:
        """Lose all messages on their way; this end reads that the link is over."""
        self._unsent.clear()
        self._unread.clear()
        self._unread.append(None)
        self._schedule.call_later(0.0, self.process, self._read)

    def _send_next(self) -> None:
        if self._is_sending:
            return
        self._is_sending = True
        self._network.deliver(
            self.other.peer.daemon_id,
            self.peer.daemon_id,
            None,
            self._arrive,
        )

    def _arrive(self) -> None:
        """Put all that was sent where the other end reads it."""
        self._is_sending = False
        if self.other.closed or not self._unsent:
            self._unsent.clear()
            return
        self.other._unread.extend(self._unsent)
        self._unsent.clear()
        self._schedule.call_later(0.0, self.other.process, self.other._read)

    def _read(self) -> None:
        while self._is_started and self._unread and not self.closed:
            self.received_at = self._schedule.now
            message = self._unread.popleft()
            if message is None:
                self.close(links.CloseReason.PEER_CLOSED)
            elif message is not EMPTY:
                self._settings.on_message(self, message)

    def _watch_again(self) -> None:
        self._watch_number += 1
        self._schedule.call_later(
            0.0, self.process, self._watch, self._watch_number
        )

    def _watch(self, number: int) -> None:
        """Send empty frames, and close the link if the peer is silent."""
        if self.closed or number != self._watch_number:
            return
        now = self._schedule.now
        if now >= self._written_at + self._heartbeat_s:
            self.send(EMPTY)
        if self._unread:
            self.received_at = now
        left_s = self.received_at + self._timeout_s - now
        if left_s <= 0:
            self.close(links.CloseReason.SILENT)
            return
        idle_s = now - self._written_at
        self._schedule.call_later(
            max(0.0005, min(left_s, self._heartbeat_s - idle_s)),
            self.process,
            self._watch,
            number,
        )


class Links:
    """All links between the daemons.

    Attributes:
        endpoints: The daemons that accept links, by address.
        open_links: Both ends of each link.
    """

    def __init__(self, network: networks.Network):
        self.endpoints: dict[str, Endpoint] = {}
        self.open_links: list[Link] = []
        self._network = network
        self._schedule = network.schedule

    def connect(
        self,
        settings: server.Settings,
        address: str,
        port: int,
        timeout_s: float,
    ) -> Link:
        """Open a link; see `server.connect`."""
        own_id = settings.hello.daemon_id
        process = self._schedule.current
        if not self._network.is_open(own_id, address):
            self._schedule.sleep(timeout_s)
            raise exceptions.ConnectTimeoutError(address)
        self._schedule.sleep(2 * self._network.draw_latency_s(own_id, address))
        endpoint = self.endpoints.get(address)
        if endpoint is None or not endpoint.process.is_alive:
            raise exceptions.UnreachableError(address)
        own = Endpoint(process, settings, lambda link: None)
        accepted = schedules.Event(self._schedule)
        attempt: dict[str, Any] = {"is_over": False}
        self._network.deliver(
            own_id,
            address,
            endpoint.process,
            self._accept,
            own,
            endpoint,
            accepted,
            attempt,
        )
        if not accepted.wait(settings.handshake_timeout_s):
            attempt["is_over"] = True
            if "link" in attempt:
                attempt["link"].drop()
            raise exceptions.HandshakeError(address)
        link = attempt["link"]
        self._schedule.spawn(link.start)
        return link

    def _accept(
        self,
        own: Endpoint,
        endpoint: Endpoint,
        accepted: schedules.Event,
        attempt: dict[str, Any],
    ) -> None:
        if attempt["is_over"] or not own.process.is_alive:
            return
        link = Link(self._network, endpoint, own.settings.hello)
        other = Link(self._network, own, endpoint.settings.hello)
        link.other, other.other = other, link
        self.open_links = [one for one in self.open_links if not one.closed]
        self.open_links += [link, other]
        attempt["link"] = other
        accepted.set()
        endpoint.on_link(link)
        link.start()

    def reset(self, one: str, other: str) -> None:
        """Reset the links between two daemons."""
        for link in self.open_links:
            ends = {link.peer.daemon_id, link.other.peer.daemon_id}
            if ends == {one, other} and not link.closed:
                link.reset()

    def drop(self, process: schedules.Process) -> None:
        """Close the links of a process that has been killed."""
        for link in self.open_links:
            if link.process is process and not link.closed:
                link.drop()


class Server:
    """Accepts links; see `server.Server`."""

    def __init__(
        self,
        all_links: Links,
        settings: server.Settings,
        address: str,
        port: int,
        on_link: Callable[[Link], None],
    ):
        process = all_links._schedule.current
        self._links = all_links
        self._address = address
        self._endpoint = Endpoint(process, settings, on_link)

    def start(self) -> None:
        """Accept links from now on."""
        self._links.endpoints[self._address] = self._endpoint
