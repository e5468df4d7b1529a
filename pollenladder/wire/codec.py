"""Messages as `[tag, field, ...]`, checked field by field when they arrive."""

from collections.abc import Iterable
from typing import Any

import msgpack

from pollenladder.wire import exceptions
from pollenladder.wire import shapes


class Codec:
    """The messages that both ends of a link know, by tag."""

    def __init__(self, messages: Iterable[tuple[int, type]] = ()):
        self._encoders: dict[type, tuple[int, shapes.Encoder]] = {}
        self._decoders: dict[int, shapes.Decoder] = {}
        self._pack = msgpack.Packer().pack
        for tag, cls in messages:
            self.register(tag, cls)

    def register(self, tag: int, cls: type) -> None:
        """Add a dataclass under a tag that is sent with it.

        Raises:
            ValueError: The tag or the class is taken.
            TypeError: A field is of a type that can't be sent.
        """
        if tag in self._decoders or cls in self._encoders:
            raise ValueError(f"registered already: {tag}, {cls.__name__}")
        encode, decode = shapes.compile_record(cls)
        self._encoders[cls] = (tag, encode)
        self._decoders[tag] = decode

    def encode(self, message: Any) -> bytes:
        """Return a message, packed.

        Raises:
            exceptions.EncodingError: Its class is not registered, or a field
                holds what msgpack can't pack.
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
        """Return the message that unpacked values stand for.

        Args:
            values: A list, the tag first.

        Raises:
            exceptions.MessageError: The tag is unknown or a field is wrong.
        """
        if type(values) is not list or not values:
            raise exceptions.MessageError("not an array with a tag")
        tag = values[0]
        decode = self._decoders.get(tag) if type(tag) is int else None
        if decode is None:
            raise exceptions.MessageError(f"unknown tag {tag!r:.40}")
        return decode(values[1:])
