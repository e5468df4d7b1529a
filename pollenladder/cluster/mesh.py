"""Links to all other daemons, kept up.

Of two daemons the one with the smaller id connects; the other one does so only
if it has waited for `PATIENCE_S`, as it may know more. A link that was silent
for too long, see `cadence`, is closed and made anew at once, as channels may go
silent for good while new ones work.
"""

from collections.abc import Callable
import dataclasses
import logging

import gevent
from gevent import event

from pollenladder.cluster import cadence
from pollenladder.cluster import messages
from pollenladder.cluster import roster as rosters
from pollenladder.cluster import suspicion
from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.wire import exceptions
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import server

LOGGER = logging.getLogger(__name__)

# Beats keep links from being idle.
LINK_HEARTBEAT_S = 5.0
CONNECT_TIMEOUT_S = 0.3
RETRY_S = 0.15
PATIENCE_S = 0.8
MAX_FRAME_BYTES = 1024 * 1024
# Daemons know each other by this word; links are not encrypted.
SECRET = b"pollenladder"


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Whom the mesh tells.

    Attributes:
        on_message: Called with the sender's id and each message.
        on_change: Called when a link was made or has ended.
    """

    on_message: Callable[[str, object], None]
    on_change: Callable[[str, bool], None]


class Mesh:
    """The links of one daemon, one a peer."""

    def __init__(
        self,
        own: rosters.Member,
        roster: rosters.Roster,
        handlers: Handlers,
        clock: clocks.Clock,
    ):
        self._own = own
        self._roster = roster
        self._handlers = handlers
        self._clock = clock
        self._links: dict[str, links.Link] = {}
        self._connecting: set[str] = set()
        self._suspicions = suspicion.Suspicions()
        self._wake = event.Event()
        self._settings = server.Settings(
            hello=handshake.Hello(
                daemon_id=own.daemon_id,
                incarnation=own.incarnation,
                data_centre=own.data_centre,
                address=own.address,
                peer_port=own.port,
                http_port=0,
            ),
            secret=SECRET,
            messages=messages.build_codec(),
            on_message=self._take_message,
            on_close=self._take_close,
            limits=links.Limits(
                max_frame_bytes=MAX_FRAME_BYTES,
                heartbeat_s=LINK_HEARTBEAT_S,
                peer_timeout_s=cadence.OWNER_SILENCE_S,
            ),
            handshake_timeout_s=CONNECT_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._server = server.Server(
            self._settings, own.address, own.port, self._take_link
        )

    def start(self) -> None:
        """Begin to accept links."""
        self._server.start()

    def wake(self) -> None:
        """Connect to whoever is missing now."""
        self._wake.set()

    def run(self) -> None:
        """Keep the links up, for ever."""
        while True:
            self._connect_missing()
            self._wake.wait(RETRY_S)
            self._wake.clear()

    def send(self, daemon_id: str, message: object) -> bool:
        """Send a message; return whether it may arrive."""
        link = self._links.get(daemon_id)
        return link is not None and link.send(message)

    def broadcast(self, message: object) -> None:
        """Send a message to all linked daemons."""
        packed = self._settings.messages.encode(message)
        for link in list(self._links.values()):
            link.send_packed(packed)

    def _connect_missing(self) -> None:
        for daemon_id, peer in list(self._roster.peers.items()):
            if daemon_id in self._links or daemon_id in self._connecting:
                continue
            waited_s = self._clock() - peer.unlinked_since
            if self._own.daemon_id < daemon_id or waited_s > PATIENCE_S:
                self._connecting.add(daemon_id)
                gevent.spawn(self._connect, peer.member)

    def _connect(self, member: rosters.Member) -> None:
        try:
            link = server.connect(self._settings, member.address, member.port)
        except (exceptions.WireError, OSError) as error:
            LOGGER.debug("no link to %s: %s", member.daemon_id, error)
            return
        finally:
            self._connecting.discard(member.daemon_id)
        self._take_link(link)

    def _take_link(self, link: links.Link) -> None:
        hello = link.peer
        member = rosters.Member(
            hello.daemon_id,
            hello.address,
            hello.peer_port,
            hello.data_centre,
            hello.incarnation,
        )
        now = self._clock()
        self._roster.learn(member, now, is_linked=True)
        old = self._links.get(hello.daemon_id)
        self._links[hello.daemon_id] = link
        if old is not None:
            old.close()
        self._limit_silence(link, True)
        self._roster.record_linked(hello.daemon_id, True, now)
        self._handlers.on_change(hello.daemon_id, True)

    def _take_message(self, link: links.Link, message: object) -> None:
        if self._links.get(link.peer.daemon_id) is not link:
            return
        if isinstance(message, messages.Beat):
            self._take_beat(link, message)
        self._handlers.on_message(link.peer.daemon_id, message)

    def _take_beat(self, link: links.Link, beat: messages.Beat) -> None:
        hello = link.peer
        now = self._clock()
        if self._suspicions.record_lag(
            hello.daemon_id, hello.incarnation, beat.lag_s, now
        ):
            logs.log(
                LOGGER,
                "owner_suspected_falsely",
                peer=hello.daemon_id,
                lag_s=round(beat.lag_s, 3),
                alarms=self._suspicions.count_alarms(now),
            )
        self._limit_silence(link, beat.is_owner)

    def _limit_silence(self, link: links.Link, is_owner: bool) -> None:
        peers = len(self._roster.peers)
        alarms = self._suspicions.count_alarms(self._clock())
        link.limit_silence(cadence.choose_silence_s(peers, is_owner, alarms))

    def _take_close(self, link: links.Link, reason: links.CloseReason) -> None:
        daemon_id = link.peer.daemon_id
        if self._links.get(daemon_id) is not link:
            return
        del self._links[daemon_id]
        now = self._clock()
        peer = self._roster.peers.get(daemon_id)
        was_owner = bool(peer and peer.beat and peer.beat.is_owner)
        if was_owner and reason is links.CloseReason.SILENT:
            incarnation = link.peer.incarnation
            self._suspicions.record_lost(daemon_id, incarnation, now)
        self._roster.record_linked(daemon_id, False, now)
        logs.log(LOGGER, "link_lost", peer=daemon_id, reason=reason.value)
        self._handlers.on_change(daemon_id, False)
        self._wake.set()
