"""Errors of the protocol between daemons."""


class WireError(Exception):
    """Base class of the errors of links and of their handshakes."""


class FrameError(WireError):
    """A received frame is invalid."""


class OversizedFrameError(FrameError):
    """A frame is longer than `Limits.max_frame_bytes` of the receiver."""


class TruncatedFrameError(FrameError):
    """The stream ended within a frame."""


class GarbageFrameError(FrameError):
    """The body of a frame is not exactly one msgpack array."""


class MessageError(WireError):
    """A message has an unknown tag, or fields of a wrong number or type."""


class EncodingError(WireError):
    """A message to be sent can't be encoded or is too long for a frame."""


class HandshakeError(WireError):
    """The peer did not authenticate itself within the time limit."""


class VersionError(HandshakeError):
    """The peer uses another version of the protocol."""


class UnreachableError(WireError):
    """No connection to the peer could be opened; nothing was sent."""


class ConnectTimeoutError(UnreachableError):
    """The peer's machine has not replied to a request for a connection."""
