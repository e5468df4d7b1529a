"""Encoding of messages as msgpack arrays of the form `[tag, field, ...]`.

The decoder checks the type of each field.
"""

from collections.abc import Iterable
from typing import Any

import msgpack

from pollenladder.wire import converters
from pollenladder.wire import exceptions


class Codec:
    """Registry of the message types that both ends of a link support, by tag.

    A tag is the integer that identifies a message type on the wire.
    """

    def __init__(self, messages: Iterable[tuple[int, type]] = ()):
        self._encoders: dict[type, tuple[int, converters.Encoder]] = {}
        self._decoders: dict[int, converters.Decoder] = {}
        self._pack = msgpack.Packer().pack
        for tag, cls in messages:
            self.register(tag, cls)

    def register(self, tag: int, cls: type) -> None:
        """Register a dataclass as the message type of a tag.

        Raises:
            ValueError: The tag or the class is already registered.
            TypeError: A field has a type that has no encoding.
        """
        if tag in self._decoders or cls in self._encoders:
            raise ValueError(
                f"tag {tag} or class {cls.__name__} is already registered"
            )
        encode, decode = converters.compile_record(cls)
        self._encoders[cls] = (tag, encode)
        self._decoders[tag] = decode

    def encode(self, message: Any) -> bytes:
        """Return a message as msgpack bytes.

        Raises:
            exceptions.EncodingError: The message's class is not registered,
                or msgpack can't pack the value of a field.
        """
        entry = self._encoders.get(type(message))
        if entry is None:
            raise exceptions.EncodingError(type(message).__name__)
        tag, encode = entry
        try:
            return self._pack((tag, *encode(message)))
        except (
            TypeError,
            ValueError,
            OverflowError,
            AttributeError,
            KeyError,
        ) as error:
            raise exceptions.EncodingError(
                f"{type(message).__name__}: {error}"
            ) from error

    def decode(self, values: Any) -> Any:
        """Return the message that an unpacked msgpack array encodes.

        Args:
            values: A list of the tag and the fields, in order.

        Raises:
            exceptions.MessageError: The values are not a list that starts
                with a known tag, or a field has a wrong type.
        """
        if type(values) is not list or not values:
            raise exceptions.MessageError(
                "message is not an array that starts with a tag"
            )
        tag = values[0]
        decode = self._decoders.get(tag) if type(tag) is int else None
        if decode is None:
            raise exceptions.MessageError(f"unknown message tag {tag!r:.40}")
        return decode(values[1:])
