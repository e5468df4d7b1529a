"""One authenticated connection to a peer daemon.

A link sends each message at most once. Messages that are queued or in flight
when the link closes are never sent again, on this or on another connection.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import logging
import select
from typing import Any

import gevent
from gevent import event
from gevent import socket

from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.wire import codec
from pollenladder.wire import exceptions
from pollenladder.wire import framing
from pollenladder.wire import handshake

LOGGER = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536


class CloseReason(enum.Enum):
    """Why a link was closed.

    Attributes:
        LOCAL: This daemon closed the link.
        PEER_CLOSED: The peer closed the connection between two frames.
        SILENT: Nothing was received for `Limits.peer_timeout_s`.
        STALLED: Nothing could be written for `Limits.peer_timeout_s`.
        BROKEN: The connection failed.
        OVERSIZED: The peer sent a frame longer than `Limits.max_frame_bytes`.
        TRUNCATED: The connection ended within a frame.
        GARBAGE: The peer sent a frame that is not a msgpack array.
        BAD_MESSAGE: The peer sent a message that can't be decoded.
        FAILED: This daemon failed unexpectedly.
    """

    LOCAL = "local"
    PEER_CLOSED = "peer_closed"
    SILENT = "silent"
    STALLED = "stalled"
    BROKEN = "broken"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    GARBAGE = "garbage"
    BAD_MESSAGE = "bad_message"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a link.

    Attributes:
        max_frame_bytes: Maximum length of a frame sent or accepted.
        max_queued_messages: Maximum number of messages waiting to be written.
        max_queued_bytes: Maximum total length of these messages.
        heartbeat_s: Interval between heartbeats while nothing else is sent,
            in seconds.
        peer_timeout_s: The link is closed when nothing is received, or
            nothing can be written, for this many seconds.
    """

    max_frame_bytes: int = 4 * 1024 * 1024
    max_queued_messages: int = 20_000
    max_queued_bytes: int = 16 * 1024 * 1024
    heartbeat_s: float = 1.0
    peer_timeout_s: float = 3.0


@dataclasses.dataclass
class Counts:
    """Traffic of a link in each direction since its start."""

    frames_in: int = 0
    frames_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    heartbeats_in: int = 0
    heartbeats_out: int = 0


_CLOSE_REASONS = (
    (exceptions.OversizedFrameError, CloseReason.OVERSIZED),
    (exceptions.TruncatedFrameError, CloseReason.TRUNCATED),
    (exceptions.GarbageFrameError, CloseReason.GARBAGE),
    (exceptions.MessageError, CloseReason.BAD_MESSAGE),
)


def _get_close_reason(error: exceptions.WireError) -> CloseReason:
    return next(
        (reason for cls, reason in _CLOSE_REASONS if isinstance(error, cls)),
        CloseReason.FAILED,
    )


class Link:
    """A connection to a peer with a queue of outgoing messages.

    Attributes:
        peer: The peer's description of itself, from the handshake.
        counts: Frames, messages and bytes sent and received.
        closed: Whether the link is closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer: handshake.Hello,
        limits: Limits,
        messages: codec.Codec,
        on_message: Callable[["Link", Any], None],
        on_close: Callable[["Link", CloseReason], None],
    ):
        self.peer = peer
        self.counts = Counts()
        self.closed = False
        self._sock = sock
        self._limits = limits
        self._codec = messages
        self._on_message = on_message
        self._on_close = on_close
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._data_queued = event.Event()
        self._queue_written = event.Event()
        self._queue_written.set()
        self._closed_event = event.Event()
        self._peer_timeout_s = limits.peer_timeout_s
        self._heartbeat_s = limits.heartbeat_s
        self._timeout_changed = event.Event()
        self._received_at = clocks.read_monotonic_s()
        self._write_began_at: float | None = None
        self._written_at = self._received_at

    @property
    def received_at(self) -> float:
        """When bytes were last received, monotonic, in seconds."""
        return self._received_at

    def start(self) -> None:
        """Start the greenlets that read from and write to the connection."""
        if self.closed:
            return
        self._sock.settimeout(None)
        for task in (self._read, self._write, self._watch_peer):
            gevent.spawn(self._run, task)

    def send(self, message: Any) -> bool:
        """Queue a message; it is sent in one frame with other queued messages.

        Returns:
            Whether the message is queued. If it is not, because the link is
            closed or its queue is full, it is never sent. A queued message is
            lost if the link closes before it is written.

        Raises:
            exceptions.EncodingError: The message can't be encoded or does not
                fit into a frame.
        """
        if self.closed:
            return False
        return self.send_packed(self._codec.encode(message))

    def send_packed(self, packed: bytes) -> bool:
        """Queue a message already encoded by this link's codec; see `send`.

        Returns:
            Whether the message is queued.

        Raises:
            exceptions.EncodingError: The message does not fit into a frame.
        """
        if self.closed:
            return False
        size = len(packed)
        max_bytes = (
            self._limits.max_frame_bytes - framing.MAX_ARRAY_HEADER_BYTES
        )
        if size > max_bytes:
            raise exceptions.EncodingError(
                f"message of {size} bytes does not fit into a frame"
            )
        if not self._can_queue(size):
            return False
        self._queue.append(packed)
        self._queued_bytes += size
        self._queue_written.clear()
        self._data_queued.set()
        return True

    def set_peer_timeout(self, peer_timeout_s: float) -> None:
        """Replace `Limits.peer_timeout_s`."""
        is_shorter = peer_timeout_s < self._peer_timeout_s
        self._peer_timeout_s = peer_timeout_s
        if is_shorter:
            self._timeout_changed.set()

    def set_heartbeat_interval(self, heartbeat_s: float) -> None:
        """Replace `Limits.heartbeat_s`."""
        is_shorter = heartbeat_s < self._heartbeat_s
        self._heartbeat_s = heartbeat_s
        if is_shorter:
            self._timeout_changed.set()

    def join(self) -> None:
        """Wait until the link is closed."""
        self._closed_event.wait()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all queued messages are written.

        Returns:
            Whether all were written; False if the timeout expired or the
            link is closed.
        """
        return self._queue_written.wait(timeout_s) and not self.closed

    def close(self, reason: CloseReason = CloseReason.LOCAL) -> None:
        """Close the link, drop queued messages and call `on_close`.

        Further calls have no effect.
        """
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._data_queued.set()
        self._timeout_changed.set()
        self._queue_written.set()
        self._sock.close()
        self._closed_event.set()
        try:
            self._on_close(self, reason)
        except Exception:
            logs.log_failure(LOGGER, "link_close", self.peer.daemon_id)

    def _run(self, task: Callable[[], None]) -> None:
        """Run a greenlet of the link; an error closes the link.

        Otherwise the link would stay open without a reader, a writer or a
        timeout.
        """
        try:
            task()
        except OSError:
            self.close(CloseReason.BROKEN)
        except exceptions.WireError as error:
            LOGGER.warning(
                "closing link to %s: %s: %s",
                self.peer.daemon_id,
                type(error).__name__,
                error,
            )
            self.close(_get_close_reason(error))
        except Exception:
            logs.log_failure(LOGGER, "link", self.peer.daemon_id)
            self.close(CloseReason.FAILED)

    def _can_queue(self, size: int) -> bool:
        return (
            len(self._queue) < self._limits.max_queued_messages
            and self._queued_bytes + size <= self._limits.max_queued_bytes
        )

    def _dequeue_batch(self) -> list[bytes]:
        """Remove from the queue the messages that fit into one frame.

        `send_packed` limits the size of a message, so at least one fits.
        """
        free_bytes = (
            self._limits.max_frame_bytes - framing.MAX_ARRAY_HEADER_BYTES
        )
        batch = []
        while self._queue and len(self._queue[0]) <= free_bytes:
            packed = self._queue.popleft()
            free_bytes -= len(packed)
            batch.append(packed)
        self._queued_bytes -= sum(map(len, batch))
        return batch

    def _write(self) -> None:
        while not self.closed:
            self._data_queued.wait()
            self._data_queued.clear()
            if self._queue:
                self._write_queued()
            elif not self.closed:
                # A frame without messages is a heartbeat.
                self._write_frame([])

    def _watch_peer(self) -> None:
        """Send heartbeats, and close the link if the peer falls silent.

        The peer counts as silent if it sends nothing or reads nothing. One
        greenlet watches for both, as a timer for each call costs too much.
        """
        while not self.closed:
            now = clocks.read_monotonic_s()
            idle_s = now - self._written_at
            if idle_s >= self._heartbeat_s:
                self._written_at = now
                self._data_queued.set()
                idle_s = 0.0
            since = self._received_at
            if self._write_began_at is not None:
                since = min(since, self._write_began_at)
            left_s = since + self._peer_timeout_s - now
            if left_s > 0:
                self._timeout_changed.wait(
                    min(left_s, self._heartbeat_s - idle_s)
                )
                self._timeout_changed.clear()
            elif since == self._write_began_at:
                self.close(CloseReason.STALLED)
            elif self._has_received_since_check():
                gevent.sleep(0)
            else:
                self.close(CloseReason.SILENT)

    def _has_received_since_check(self) -> bool:
        """Return whether bytes have arrived that were not read yet.

        A process that was delayed or suspended may notice the timeout before
        the bytes that arrived in time.
        """
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        if not poll.poll(0):
            return False
        self._received_at = clocks.read_monotonic_s()
        return True

    def _write_queued(self) -> None:
        while self._queue:
            self._write_frame(self._dequeue_batch())
        self._queue_written.set()

    def _write_frame(self, batch: list[bytes]) -> None:
        frame = framing.pack_batch(batch)
        self._write_began_at = clocks.read_monotonic_s()
        self._sock.sendall(frame)
        self._write_began_at = None
        self._written_at = clocks.read_monotonic_s()
        self.counts.frames_out += 1
        self.counts.messages_out += len(batch)
        self.counts.heartbeats_out += not batch
        self.counts.bytes_out += len(frame)

    def _read(self) -> None:
        frames = framing.FrameBuffer(self._limits.max_frame_bytes)
        while not self.closed:
            data = self._sock.recv(RECEIVE_BYTES)
            self._received_at = clocks.read_monotonic_s()
            if not data:
                frames.finish()
                self.close(CloseReason.PEER_CLOSED)
                return
            self.counts.bytes_in += len(data)
            for body in frames.feed(data):
                self._handle_frame(body)
            if len(data) == RECEIVE_BYTES:
                # The next recv may not block either: let other greenlets run.
                gevent.sleep(0)

    def _handle_frame(self, body: bytes) -> None:
        """Decode all messages of a frame, then deliver them.

        If one message is invalid, none of the frame is delivered.
        """
        decode = self._codec.decode
        batch = [decode(values) for values in framing.unpack_batch(body)]
        self.counts.frames_in += 1
        self.counts.messages_in += len(batch)
        self.counts.heartbeats_in += not batch
        for message in batch:
            if self.closed:
                return
            self._deliver(message)

    def _deliver(self, message: Any) -> None:
        try:
            self._on_message(self, message)
        except Exception:
            subject = f"{type(message).__name__} from {self.peer.daemon_id}"
            logs.log_failure(LOGGER, "peer_message", subject)
