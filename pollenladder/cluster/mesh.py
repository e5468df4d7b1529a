"""Maintain the links to all other daemons.

Of two daemons, the one with the smaller id connects. The other one connects
only after it has waited for `PEER_CONNECT_WAIT_S`, as the first one may not
know it yet. A link that was silent for the timeout in `heartbeats` is closed,
and the daemon reconnects immediately, because a connection may go silent
permanently while new connections still work.

After a loss of power, daemons start one after another. A request for a connection
to a machine that is not up yet is lost, and the kernel repeats it only after 1 s.
The first attempts to connect to a peer are therefore short, and follow one another
at once. Later ones are longer, with a pause between them, as the peer may be gone.
A peer that the roster has forgotten is tried less often.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

import gevent
from gevent import event

from pollenladder.cluster import heartbeats
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

# Interval of the link's own heartbeats, which are empty frames. They are rarely needed,
# as daemons send heartbeats of their own more often.
LINK_HEARTBEAT_S = 5.0
CONNECT_TIMEOUT_S = 0.3
# Time limit of the first attempt to connect to a peer. Each of the first attempts
# that time out doubles it, up to `CONNECT_TIMEOUT_S`.
FIRST_CONNECT_TIMEOUT_S = 0.05
MAX_CONNECT_DOUBLINGS = 3
CONNECT_RETRY_S = 0.15
PEER_CONNECT_WAIT_S = 0.8
MAX_FRAME_BYTES = 1024 * 1024
# Shared secret of the handshake; links are not encrypted.
SECRET = b"pollenladder"


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the mesh calls.

    Attributes:
        on_message: Called with the sender's id and each message.
        on_link_change: Called with a peer's id and whether it is linked, when
            a link was established or has ended.
        is_owner: Returns whether this daemon owns any workers.
    """

    on_message: Callable[[str, object], None]
    on_link_change: Callable[[str, bool], None]
    is_owner: Callable[[], bool]


class Mesh:
    """The links of this daemon, one for each peer."""

    def __init__(
        self,
        own: rosters.Member,
        roster: rosters.Roster,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._own = own
        self._own_endpoint = rosters.get_endpoint(own)
        self._roster = roster
        self._callbacks = callbacks
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
            on_message=self._handle_message,
            on_close=self._handle_close,
            limits=links.Limits(
                max_frame_bytes=MAX_FRAME_BYTES,
                heartbeat_s=LINK_HEARTBEAT_S,
                peer_timeout_s=heartbeats.OWNER_TIMEOUT_S,
            ),
            handshake_timeout_s=CONNECT_TIMEOUT_S,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._server = server.Server(
            self._settings, own.address, own.port, self._register_link
        )

    def start(self) -> None:
        """Start to accept links."""
        self._server.start()

    def wake(self) -> None:
        """Connect to the peers without a link now, without waiting."""
        self._wake.set()

    def run(self) -> None:
        """Connect to peers without a link, forever."""
        while True:
            self._connect_missing()
            self._wake.wait(CONNECT_RETRY_S)
            self._wake.clear()

    def send(self, daemon_id: str, message: object) -> bool:
        """Send a message to a peer; return False if it cannot arrive."""
        link = self._links.get(daemon_id)
        return link is not None and link.send(message)

    def broadcast(
        self, message: object, daemon_ids: Iterable[str] | None = None
    ) -> None:
        """Send a message to linked peers.

        Args:
            message: The message.
            daemon_ids: The peers; None for all.
        """
        packed = self._settings.messages.encode(message)
        for daemon_id in list(
            self._links if daemon_ids is None else daemon_ids
        ):
            link = self._links.get(daemon_id)
            if link is not None:
                link.send_packed(packed)

    def list_read_times(self) -> dict[str, float]:
        """Return when the last bytes from each linked peer were read, by id."""
        return {
            daemon_id: link.received_at
            for daemon_id, link in self._links.items()
        }

    def _connect_missing(self) -> None:
        now = self._clock()
        for daemon_id, peer in list(self._roster.peers.items()):
            if (
                self._own.daemon_id < daemon_id
                or now - peer.unlinked_since > PEER_CONNECT_WAIT_S
            ):
                self._begin_to_connect(peer)
        for peer in self._roster.take_forgotten_due(now):
            self._begin_to_connect(peer)

    def _begin_to_connect(self, peer: rosters.Peer) -> None:
        """Connect to a peer, unless it is linked or this is under way."""
        daemon_id = peer.member.daemon_id
        if daemon_id in self._links or daemon_id in self._connecting:
            return
        if rosters.get_endpoint(peer.member) == self._own_endpoint:
            # This daemon has taken the place of that one.
            return
        self._connecting.add(daemon_id)
        gevent.spawn(self._connect, peer)

    def _connect(self, peer: rosters.Peer) -> None:
        """Connect to a peer once; the next attempt follows in `run`."""
        daemon_id = peer.member.daemon_id
        link = None
        try:
            link = self._open_link(peer)
            if link is not None:
                self._register_link(link)
        except Exception:
            logs.log_failure(LOGGER, "link_connect", daemon_id)
            if link is not None:
                link.close(links.CloseReason.FAILED)
        finally:
            self._connecting.discard(daemon_id)

    def _open_link(self, peer: rosters.Peer) -> links.Link | None:
        """Return a link to a peer, or None if none could be made."""
        member = peer.member
        try:
            return server.connect(
                self._settings,
                member.address,
                member.port,
                choose_connect_timeout_s(peer.connect_timeouts),
            )
        except (exceptions.WireError, OSError) as error:
            LOGGER.debug(
                "cannot connect to peer %s: %s", member.daemon_id, error
            )
            if isinstance(error, exceptions.ConnectTimeoutError):
                peer.connect_timeouts += 1
                if peer.connect_timeouts <= MAX_CONNECT_DOUBLINGS:
                    self._wake.set()
            return None

    def _register_link(self, link: links.Link) -> None:
        hello = link.peer
        member = rosters.Member(
            hello.daemon_id,
            hello.address,
            hello.peer_port,
            hello.data_centre,
            hello.incarnation,
        )
        now = self._clock()
        self._roster.record_member(member, now, is_linked=True)
        previous = self._links.get(hello.daemon_id)
        self._links[hello.daemon_id] = link
        if previous is not None:
            previous.close()
        self._update_link_timeout(link, True)
        self._roster.record_link_state(hello.daemon_id, True, now)
        self._callbacks.on_link_change(hello.daemon_id, True)

    def _handle_message(self, link: links.Link, message: object) -> None:
        if self._links.get(link.peer.daemon_id) is not link:
            return
        if isinstance(message, messages.Heartbeat):
            self._handle_heartbeat(link, message)
        self._callbacks.on_message(link.peer.daemon_id, message)

    def _handle_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        hello = link.peer
        now = self._clock()
        if self._suspicions.record_lag(
            hello.daemon_id, hello.incarnation, heartbeat.lag_s, now
        ):
            logs.log(
                LOGGER,
                "owner_suspected_falsely",
                peer=hello.daemon_id,
                lag_s=round(heartbeat.lag_s, 3),
                alarms=self._suspicions.count_false_alarms(now),
            )
        is_owner = heartbeat.count_owned() > 0
        lag_s = heartbeat.lag_s if is_owner else 0.0
        link.set_heartbeat_interval(
            heartbeats.TO_OWNER_INTERVAL_S if is_owner else LINK_HEARTBEAT_S
        )
        self._update_link_timeout(link, is_owner, lag_s)

    def _update_link_timeout(
        self, link: links.Link, is_owner: bool, lag_s: float = 0.0
    ) -> None:
        false_alarms = self._suspicions.count_false_alarms(self._clock())
        if self._roster.is_near(link.peer.daemon_id):
            timeout_s = heartbeats.choose_timeout_s(
                self._roster.count_near(), is_owner, false_alarms, lag_s
            )
        else:
            timeout_s = heartbeats.choose_distant_timeout_s(
                self._callbacks.is_owner(), is_owner, false_alarms, lag_s
            )
        link.set_peer_timeout(timeout_s)

    def _handle_close(
        self, link: links.Link, reason: links.CloseReason
    ) -> None:
        daemon_id = link.peer.daemon_id
        if self._links.get(daemon_id) is not link:
            return
        del self._links[daemon_id]
        now = self._clock()
        peer = self._roster.peers.get(daemon_id)
        was_owner = bool(
            peer and peer.heartbeat and peer.heartbeat.count_owned()
        )
        if was_owner and reason is links.CloseReason.SILENT:
            incarnation = link.peer.incarnation
            self._suspicions.record_timeout(daemon_id, incarnation, now)
        self._roster.record_link_state(daemon_id, False, now)
        logs.log(LOGGER, "link_lost", peer=daemon_id, reason=reason.value)
        self._callbacks.on_link_change(daemon_id, False)
        self._wake.set()


def choose_connect_timeout_s(timeouts: int) -> float:
    """Return the time limit of an attempt to connect to a peer, in seconds.

    Args:
        timeouts: The number of attempts that have timed out since the last link
            to the peer was made.
    """
    doublings = min(timeouts, MAX_CONNECT_DOUBLINGS)
    return min(CONNECT_TIMEOUT_S, FIRST_CONNECT_TIMEOUT_S * 2**doublings)
