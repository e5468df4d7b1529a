"""One authenticated connection to a peer.

A link sends each message at most once: whatever is queued or in flight when it
closes is never sent again, on this or on another connection.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import logging
from typing import Any

import gevent
from gevent import event
from gevent import socket

from pollenladder.wire import codec
from pollenladder.wire import exceptions
from pollenladder.wire import framing
from pollenladder.wire import handshake

LOGGER = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536


class CloseReason(enum.Enum):
    """Why a link ended."""

    LOCAL = "local"
    PEER_CLOSED = "peer_closed"
    SILENT = "silent"
    STALLED = "stalled"
    BROKEN = "broken"
    OVERSIZED = "oversized"
    TRUNCATED = "truncated"
    GARBAGE = "garbage"
    BAD_MESSAGE = "bad_message"


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of a link.

    Attributes:
        max_frame_bytes: The longest frame sent or accepted.
        max_queued_messages: Messages waiting to be written.
        max_queued_bytes: Bytes of them.
        heartbeat_s: An idle sender sends a heartbeat this often.
        peer_timeout_s: Nothing heard, or nothing written, for so long ends
            the link.
    """

    max_frame_bytes: int = 4 * 1024 * 1024
    max_queued_messages: int = 20_000
    max_queued_bytes: int = 16 * 1024 * 1024
    heartbeat_s: float = 1.0
    peer_timeout_s: float = 3.0


@dataclasses.dataclass
class Counts:
    """What has gone over a link."""

    frames_in: int = 0
    frames_out: int = 0
    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    heartbeats_in: int = 0
    heartbeats_out: int = 0


_REASONS = (
    (exceptions.OversizedFrameError, CloseReason.OVERSIZED),
    (exceptions.TruncatedFrameError, CloseReason.TRUNCATED),
    (exceptions.GarbageFrameError, CloseReason.GARBAGE),
    (exceptions.MessageError, CloseReason.BAD_MESSAGE),
)


def _get_reason(error: exceptions.WireError) -> CloseReason:
    return next(reason for cls, reason in _REASONS if isinstance(error, cls))


class Link:
    """A connection, its queue of messages to send, and its counts.

    Attributes:
        peer: What the peer said of itself.
        counts: Frames, messages and bytes so far.
        closed: Whether it has ended.
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
        self._wake = event.Event()
        self._idle = event.Event()
        self._idle.set()
        self._ended = event.Event()

    def start(self) -> None:
        """Begin to read and to write."""
        if self.closed:
            return
        self._sock.settimeout(self._limits.peer_timeout_s)
        gevent.spawn(self._read)
        gevent.spawn(self._write)

    def send(self, message: Any) -> bool:
        """Queue a message; it goes out with all others queued by then.

        Returns:
            False if the link is closed or its queue is full: the message
            will not be sent. True says only that it may be.

        Raises:
            exceptions.EncodingError: It can't be encoded or is too long.
        """
        if self.closed:
            return False
        return self.send_packed(self._codec.encode(message))

    def send_packed(self, packed: bytes) -> bool:
        """Queue a message that the codec of this link has encoded; see `send`.

        Raises:
            exceptions.EncodingError: It is too long.
        """
        if self.closed:
            return False
        size = len(packed)
        room = self._limits.max_frame_bytes - framing.MAX_ARRAY_HEADER_BYTES
        if size > room:
            raise exceptions.EncodingError(f"{size} bytes")
        if not self._has_room(size):
            return False
        self._queue.append(packed)
        self._queued_bytes += size
        self._idle.clear()
        self._wake.set()
        return True

    def limit_silence(self, peer_timeout_s: float) -> None:
        """Change `Limits.peer_timeout_s`, from the next frame on."""
        if not self.closed:
            self._sock.settimeout(peer_timeout_s)

    def join(self) -> None:
        """Wait until the link has ended."""
        self._ended.wait()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all that is queued is written; return whether it is."""
        return self._idle.wait(timeout_s) and not self.closed

    def close(self, reason: CloseReason = CloseReason.LOCAL) -> None:
        """End the link, drop what is queued and call `on_close`, once."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._wake.set()
        self._idle.set()
        self._sock.close()
        self._ended.set()
        self._on_close(self, reason)

    def _has_room(self, size: int) -> bool:
        return (
            len(self._queue) < self._limits.max_queued_messages
            and self._queued_bytes + size <= self._limits.max_queued_bytes
        )

    def _take_batch(self) -> list[bytes]:
        """Take what fits one frame off the queue."""
        room = self._limits.max_frame_bytes - framing.MAX_ARRAY_HEADER_BYTES
        batch = []
        while self._queue and len(self._queue[0]) <= room:
            packed = self._queue.popleft()
            room -= len(packed)
            batch.append(packed)
        self._queued_bytes -= sum(map(len, batch))
        return batch

    def _write(self) -> None:
        try:
            while not self.closed:
                woken = self._wake.wait(self._limits.heartbeat_s)
                self._wake.clear()
                if woken:
                    self._write_queued()
                else:
                    self._write_frame([])
        except TimeoutError:
            self.close(CloseReason.STALLED)
        except OSError:
            self.close(CloseReason.BROKEN)

    def _write_queued(self) -> None:
        while self._queue:
            self._write_frame(self._take_batch())
        self._idle.set()

    def _write_frame(self, batch: list[bytes]) -> None:
        frame = framing.pack_batch(batch)
        self._sock.sendall(frame)
        self.counts.frames_out += 1
        self.counts.messages_out += len(batch)
        self.counts.heartbeats_out += not batch
        self.counts.bytes_out += len(frame)

    def _read(self) -> None:
        try:
            self._read_frames()
        except TimeoutError:
            self.close(CloseReason.SILENT)
        except OSError:
            self.close(CloseReason.BROKEN)
        except exceptions.WireError as error:
            LOGGER.warning(
                "link to %s: %s: %s",
                self.peer.daemon_id,
                type(error).__name__,
                error,
            )
            self.close(_get_reason(error))

    def _read_frames(self) -> None:
        frames = framing.FrameBuffer(self._limits.max_frame_bytes)
        while not self.closed:
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                frames.finish()
                self.close(CloseReason.PEER_CLOSED)
                return
            self.counts.bytes_in += len(data)
            for body in frames.feed(data):
                self._take_frame(body)
            if len(data) == RECEIVE_BYTES:
                # A full buffer never blocks: let other greenlets run.
                gevent.sleep(0)

    def _take_frame(self, body: bytes) -> None:
        """Decode a whole frame before any of its messages is acted on."""
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
            LOGGER.exception(
                "%s from %s", type(message).__name__, self.peer.daemon_id
            )
