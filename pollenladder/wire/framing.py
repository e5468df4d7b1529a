"""Length-prefixed frames, each a msgpack array of messages.

A frame is a length of four bytes, big-endian, and that many bytes of msgpack.
An empty array is a heartbeat.
"""

from collections.abc import Sequence
import struct
from typing import Any

import msgpack

from pollenladder.wire import exceptions

HEADER = struct.Struct(">I")
MAX_ARRAY_HEADER_BYTES = 5


def pack_batch(messages: Sequence[bytes]) -> bytes:
    """Return one frame that holds messages already packed.

    Args:
        messages: Each one msgpack value; none makes a heartbeat.
    """
    array = msgpack.Packer().pack_array_header(len(messages))
    length = len(array) + sum(map(len, messages))
    return b"".join((HEADER.pack(length), array, *messages))


def unpack_batch(body: bytes) -> list[Any]:
    """Return the messages of a frame's body.

    Raises:
        exceptions.GarbageFrameError: The body is not one msgpack array.
    """
    try:
        messages = msgpack.unpackb(body, raw=False, strict_map_key=True)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.GarbageFrameError(type(error).__name__) from error
    if type(messages) is not list:
        raise exceptions.GarbageFrameError("not an array")
    return messages


class FrameBuffer:
    """Bytes received so far that do not make a whole frame yet."""

    def __init__(self, max_frame_bytes: int):
        self.max_frame_bytes = max_frame_bytes
        self._pending = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the bodies of the frames they complete.

        Raises:
            exceptions.OversizedFrameError: A frame announces too many bytes;
                it is raised before they are buffered.
        """
        self._pending += data
        bodies = []
        start = 0
        while len(self._pending) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self._pending, start)
            if length > self.max_frame_bytes:
                raise exceptions.OversizedFrameError(f"{length} bytes")
            end = start + HEADER.size + length
            if end > len(self._pending):
                break
            bodies.append(bytes(self._pending[start + HEADER.size : end]))
            start = end
        del self._pending[:start]
        return bodies

    def finish(self) -> None:
        """Check that the stream ended between two frames.

        Raises:
            exceptions.TruncatedFrameError: It ended within one.
        """
        if self._pending:
            raise exceptions.TruncatedFrameError(f"{len(self._pending)} bytes")
