"""Length-prefixed frames, each a msgpack array of messages.

A frame is a four-byte big-endian length followed by a body of that many bytes.
A frame with an empty array is a heartbeat.
"""

from collections.abc import Sequence
import struct
from typing import Any

import msgpack

from pollenladder.wire import exceptions

HEADER = struct.Struct(">I")
# The longest array header of msgpack: a type byte and a 32-bit length.
MAX_ARRAY_HEADER_BYTES = 5


def pack_batch(messages: Sequence[bytes]) -> bytes:
    """Return one frame that contains the given packed messages.

    Args:
        messages: One msgpack value each. An empty sequence makes a heartbeat.
    """
    array = msgpack.Packer().pack_array_header(len(messages))
    length = len(array) + sum(map(len, messages))
    return b"".join((HEADER.pack(length), array, *messages))


def unpack_batch(body: bytes) -> list[Any]:
    """Return the unpacked values of the messages in a frame's body.

    Raises:
        exceptions.GarbageFrameError: The body is not exactly one msgpack
            array.
    """
    try:
        messages = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.GarbageFrameError(type(error).__name__) from error
    if type(messages) is not list:
        raise exceptions.GarbageFrameError("frame body is not an array")
    return messages


class FrameBuffer:
    """Splits a byte stream into frames and buffers an incomplete last frame."""

    def __init__(self, max_frame_bytes: int):
        self.max_frame_bytes = max_frame_bytes
        self._pending = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the bodies of the completed frames.

        Raises:
            exceptions.OversizedFrameError: The header of a frame announces
                more than `max_frame_bytes`. The error is raised before the
                body is buffered.
        """
        self._pending += data
        bodies = []
        start = 0
        while len(self._pending) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self._pending, start)
            if length > self.max_frame_bytes:
                raise exceptions.OversizedFrameError(f"frame of {length} bytes")
            end = start + HEADER.size + length
            if end > len(self._pending):
                break
            bodies.append(bytes(self._pending[start + HEADER.size : end]))
            start = end
        del self._pending[:start]
        return bodies

    def finish(self) -> None:
        """Check, at the end of the stream, that no frame is incomplete.

        Raises:
            exceptions.TruncatedFrameError: The stream ended within a frame.
        """
        if self._pending:
            raise exceptions.TruncatedFrameError(
                f"stream ended after {len(self._pending)} bytes of a frame"
            )
