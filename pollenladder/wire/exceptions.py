"""Errors of the peer protocol."""


class WireError(Exception):
    """Something that ends a link."""


class FrameError(WireError):
    """A frame can't be read."""


class OversizedFrameError(FrameError):
    """A frame is longer than the receiver accepts."""


class TruncatedFrameError(FrameError):
    """The stream ended within a frame."""


class GarbageFrameError(FrameError):
    """A frame is not one msgpack array."""


class MessageError(WireError):
    """A message has an unknown tag, a wrong arity or a wrong type."""


class EncodingError(WireError):
    """A message of our own can't be encoded."""


class HandshakeError(WireError):
    """The peer did not prove that it knows the secret, or not in time."""


class VersionError(HandshakeError):
    """The peer speaks another version of the protocol."""


class UnreachableError(WireError):
    """No connection to the peer could be made; nothing was sent."""
